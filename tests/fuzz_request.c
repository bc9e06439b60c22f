/** @file
 * Fuzz target: requests of callers and operators to a node.
 *
 * The first three lines of the input are the method, the path and the query;
 * the rest is the body.  Each input makes three requests: one with these
 * values, and two POST requests to a known path, as a caller and as an
 * operator.
 */
#include "flt.h"

#include <string.h>
#include <talloc.h>

#define STEP_MS 2
#define INPUTS_PER_NODE 200 /* then a new fleet replaces the old one */

#define DOCUMENT                                                              \
  "[data-centre dc-0]\nowner = ops\n"                                         \
  "[customer c]\nowner = ops\nrate = 40/s\nburst = 80\n"                      \
  "[key k]\nowner = ops\ncustomer = c\nsha256 = " KEY_SHA256 "\n"             \
  "[deployment echo]\nowner = ops\nkind = engine\nslots = 4\n"                \
  "[upstream echo-1]\nowner = ops\ndeployment = echo\n"                       \
  "data_centre = dc-0\naddress = 127.0.0.1:1\n"                               \
  "[route POST /v1/completions]\nowner = ops\ndeployment = echo\n"            \
  "open = yes\nidempotent = yes\n"                                            \
  "[route POST /orders]\nowner = ops\ndeployment = echo\nopen = yes\n"

/* SHA-256 of "operator", the API key of customer c. */
#define KEY_SHA256                                                            \
  "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t size);

/* Removes the first line from *REST and returns the line, owned by CTX,
 * without its line end. */
static char *
take_line (void *ctx, buf_t *rest)
{
  const char *end = rest->n == 0 ? NULL : memchr (rest->p, '\n', rest->n);
  size_t n = end == NULL ? rest->n : (size_t)(end - rest->p);
  char *copy = talloc_strndup (ctx, rest->n == 0 ? "" : rest->p, n);
  size_t used = end == NULL ? n : n + 1;
  rest->p += used;
  rest->n -= used;
  return copy;
}

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t size)
{
  static const char *const paths[]
      = { "/v1/completions", "/orders", "/v1/batches", "/v1/operator/config",
          "/v1/operator/keys/issue" };
  static flt_t *f;
  static unsigned inputs;
  if (inputs++ % INPUTS_PER_NODE == 0)
    {
      talloc_free (f);
      f = flt_setup (NULL, &(flt_desc_t){ .seed = 1,
                                          .data_centres = 1,
                                          .vms = 1,
                                          .document = DOCUMENT });
    }
  void *ctx = talloc_new (NULL);
  buf_t rest = { .p = (const char *)data, .n = size };
  unsigned pick = size == 0 ? 0 : data[0];
  const char *method = take_line (ctx, &rest);
  const char *path = take_line (ctx, &rest);
  const char *query = take_line (ctx, &rest);
  char *body = buf_to_str (ctx, rest);
  const flt_request_t requests[] = {
    { method, path, query, "operator", "id-1", body },
    { "POST", paths[pick % 5], query, "operator", path, body },
    { "POST", paths[pick % 5], query, FLT_OPERATOR_TOKEN, NULL, body },
  };
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    {
      (void)flt_request (f, 0, &requests[i]);
      flt_run (f, flt_now (f) + STEP_MS);
    }
  talloc_free (ctx);
  return 0;
}
