/** @file
 * Status (st_): the outcome of a function that can fail.
 *
 * Such a function returns an st_code_t.  If its caller passes an st_t, the
 * function also stores a message that names the fault and the expected input.
 * Use this module for bad input and failed operations; a fault of the program
 * itself is a violated invariant (inv.h) and stops the process.
 *
 *   st_t st = { 0 };
 *   if (cfg_doc_parse (ctx, text, &doc, &st) != ST_OK)
 *     g_warning ("%s", st.message);
 */
#ifndef RTS_ST_H
#define RTS_ST_H

/** Codes of outcomes. */
typedef enum
{
  ST_OK,
  ST_INVALID,      /**< bad input; the same input will always fail */
  ST_NOT_FOUND,    /**< the object does not exist */
  ST_CONFLICT,     /**< another writer changed the object first */
  ST_STALE,        /**< the handle or version has been superseded */
  ST_UNAUTHORIZED, /**< the key is missing or unknown */
  ST_EXHAUSTED,    /**< a limit is reached or a table is full; try later */
  ST_TOO_LARGE,    /**< the size exceeds its limit */
  ST_UNAVAILABLE,  /**< the other side is unreachable; no effect took place */
  ST_UNKNOWN,      /**< the operation may have had its effect */
  ST_TIMEOUT,      /**< the deadline has passed */
  ST_CANCELLED,    /**< the owner has cancelled the operation */
  ST_UNSUPPORTED,  /**< reserved: the callee does not offer the operation */
  ST_NUM
} st_code_t;

/** Size of a message in bytes, with its NUL byte; longer ones are cut. */
#define ST_MESSAGE_SIZE 256

/** A code with its message. */
typedef struct
{
  st_code_t code;
  char message[ST_MESSAGE_SIZE];
} st_t;

/** Stores CODE and a printf-style message in ST, unless ST is NULL.  Returns
 * CODE. */
st_code_t st_set (st_t *st, st_code_t code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Returns the lower-case name of CODE for JSON and logs. */
const char *st_code_name (st_code_t code);

#endif
