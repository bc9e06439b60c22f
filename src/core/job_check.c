/** @file
 * What of an item may not become part of the head of a request.  A submission
 * is refused for it; an item that an earlier version has accepted is given up.
 */
#include "core/hck.h"
#include "core/job_int.h"

#include <glib.h>
#include <talloc.h>

const char *
job_item_fault (void *ctx, const char *id, const char *target,
                http_headers_t headers)
{
  if (!hck_id_is_valid (id))
    return "the id is empty, has a control character, or white space around "
           "it";
  if (headers.n > JOB_HEADERS_MAX)
    return talloc_asprintf (ctx, "there are more than %d headers",
                            JOB_HEADERS_MAX);
  hck_fault_t fault
      = hck_request (&(hck_request_t){ .target = target, .headers = headers });
  return fault.part == NULL ? NULL : hck_describe (ctx, &fault);
}

const char *
job_submitted_fault (void *ctx, const ev_job_t *submitted)
{
  if (!hck_id_is_valid (submitted->id)
      || !g_utf8_validate (submitted->id, -1, NULL))
    return "the job's id is empty or not UTF-8, has a control character, or "
           "white space around it";
  if (submitted->items == NULL)
    return submitted->fault != NULL ? submitted->fault
                                    : "the body is not the JSON of a job";
  if (submitted->item_count == 0 || submitted->item_count > JOB_ITEMS_MAX)
    return talloc_asprintf (ctx, "items: expected 1 to %d", JOB_ITEMS_MAX);
  for (size_t i = 0; i < submitted->item_count; i++)
    {
      const ev_job_item_t *item = &submitted->items[i];
      const char *why
          = job_item_fault (ctx, item->id, item->target, item->headers);
      if (why != NULL)
        return talloc_asprintf (ctx, "items[%zu]: %s", i, why);
    }
  return NULL;
}

const char *
job_stored_fault (void *ctx, const job_rec_t *rec, uint32_t index)
{
  const job_rec_item_t *item = &rec->items[index];
  if (!hck_value_is_valid (rec->host))
    return "the host has a control character";
  if (!hck_value_is_valid (rec->customer))
    return "the customer's name has a control character";
  return job_item_fault (ctx, item->id, item->target, item->headers);
}
