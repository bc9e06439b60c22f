/** @file
 * Fuzz target: decodes the input as a frame from a peer, then the frame's body
 * as strings.
 */
#include "core/mpk.h"
#include "io/frm.h"

#include <talloc.h>

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  void *ctx = talloc_new (NULL);
  msg_t msg = { 0 };
  size_t used = 0;
  buf_t bytes = { .p = (const char *)data, .n = size };
  if (frm_decode (ctx, bytes, &msg, &used) == ST_OK)
    {
      mpk_reader_t r = mpk_reader (ctx, msg.body);
      while (mpk_more (&r))
        (void)mpk_get_str (&r);
    }
  talloc_free (ctx);
  return 0;
}
