/** @file
 * What the files of the stand-in replica share: its state, and the connections
 * on which it answers.  Times are in milliseconds.  For tests only.
 */
#ifndef STANDIN_REPLICA_H
#define STANDIN_REPLICA_H

#include "wire.h"

#include <stdatomic.h>
#include <stdio.h>

/** Chances, from 0 to 1, of what goes wrong with an answer. */
typedef struct
{
  double twice;        /**< the whole answer comes again, late */
  double report_twice; /**< a load report comes again, late */
  double pieces;       /**< it comes in pieces of some bytes */
  double close; /**< the connection ends after it; with twice, in the midst of
                     the second answer */
  double cut_head; /**< the connection ends in its head */
  double cut;      /**< the connection ends in its midst */
} replica_faults_t;

typedef struct
{
  const char *name;
  const char *service;
  const char *zone;
  const char *version; /**< of its software */
  uint16_t store_port; /**< 0: does not register */
  uint16_t port;
  uint64_t heartbeat_ms;
  uint64_t first_ms; /**< from a request to its first event */
  uint64_t event_ms; /**< between events */
  uint64_t late_ms;  /**< longest time to a second answer */
  unsigned events;   /**< of an answer */
  unsigned slots;
  bool silent_leave; /**< leaving, it never tells the store */
  bool leave_keeps;  /**< leaving, it says nothing of closing connections */
  replica_faults_t faults;
  GRand *random;
  FILE *log; /**< one JSON line for each request and change */
  struct tevent_context *loop;
  int fd; /**< listening */
  int64_t born;
  unsigned running;
  atomic_bool leaving;
  atomic_bool ended;
} replica_t;

/** Begins to answer on the listening socket of R. */
void replica_serve (replica_t *r);

/** Starts the thread that keeps the entry of R in the store. */
void replica_register (replica_t *r);

/** Writes a line to the log that says that EVENT happened. */
void replica_log_event (replica_t *r, const char *event);

#endif
