/** @file
 * Fuzz target: the parser of the configuration document.
 */
#include "core/cfg.h"

#include <talloc.h>

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  void *ctx = talloc_new (NULL);
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  (void)cfg_doc_parse (ctx, (buf_t){ .p = (const char *)data, .n = size },
                       &doc, &st);
  talloc_free (ctx);
  return 0;
}
