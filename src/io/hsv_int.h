/** @file
 * State that the files of the HTTP server (hsv.c, hsv_head.c, hsv_check.c)
 * share.  Other modules use hsv.h instead.
 */
#ifndef RTS_HSV_INT_H
#define RTS_HSV_INT_H

#include "io/hsv.h"

#include <glib.h>
#include <microhttpd.h>

/** A request, from its first byte to the end of its response. */
typedef struct
{
  hsv_t *server;
  struct MHD_Connection *connection;
  uint64_t caller; /**< 0 until the request is complete */
  const char *method;
  const char *path;
  const char *target; /**< path and query as the caller wrote them */
  GByteArray *body;
  GByteArray *queue;   /**< bytes of the response's body */
  size_t queue_offset; /**< bytes of the queue already given to the library */
  size_t received;     /**< bytes of the body, with those discarded */
  size_t checked;      /**< received at the last check */
  unsigned stuck;      /**< checks since it made progress */
  int status;          /**< 0 until hsv_reply_head */
  http_header_t *headers;
  size_t header_count;
  const char *refused;  /**< why the head is refused; NULL: it is not */
  int refused_status;   /**< with REFUSED */
  bool unframed;        /**< with REFUSED: where the body ends is unclear */
  bool too_large;       /**< the body exceeds body_max */
  bool over_total;      /**< all bodies together would exceed bodies_max */
  bool response_queued; /**< the library has the response's head */
  bool is_http_1_0;     /**< the caller knows no chunks */
  bool close_delimited; /**< as in hsv_reply_close_delimited */
  bool ends_by_close;   /**< the response has neither a length nor chunks */
  bool ended;
  bool aborted;
  bool suspended;     /**< the library ignores the connection */
  bool full;          /**< the queue has exceeded queue_max */
  bool gone_reported; /**< EV_CALLER_GONE was sent */
} hsv_request_t;

struct hsv
{
  hsv_desc_t desc;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fd;
  struct tevent_timer *timer;
  struct tevent_timer *disconnect_timer;
  struct tevent_immediate *run;
  bool run_scheduled;
  unsigned runs;         /**< of the library since other events had a turn */
  bool has_run;          /**< the library, since the last check */
  GHashTable *requests;  /**< caller -> hsv_request_t */
  GHashTable *receiving; /**< set of hsv_request_t, not delivered yet */
  size_t bodies;         /**< bytes of all buffered bodies */
  uint64_t last_caller;
};

/* hsv.c */

/** Has the library go on with the connection of R. */
void hsv_resume (hsv_request_t *r);

/** Tells the handler that the caller of R has gone, once. */
void hsv_gone_report (hsv_request_t *r);

/* hsv_head.c */

/** Checks the head of R, of which method and target are set, and sets what is
 * refused of it. */
void hsv_head_check (hsv_request_t *r);

/** Responds to R that its head is refused, and closes after that. */
enum MHD_Result hsv_head_refuse (hsv_request_t *r);

/* hsv_socket.c */

/** Descriptor of the connection of R. */
int hsv_fd (const hsv_request_t *r);

/** RESETS: whatever closes the connection of R from now on, also the end of
 * this process, resets it. */
void hsv_close_resets (const hsv_request_t *r, bool resets);

/** Resets the connection of R now; the library closes its descriptor. */
void hsv_reset (const hsv_request_t *r);

/* hsv_check.c */

/** Checks the connections of S now and from then on: callers that have
 * disconnected, and connections on which the library is stuck. */
void hsv_checks_start (hsv_t *s);

#endif
