#include "core/job_rec.h"

#include "core/mpk.h"

#include <talloc.h>

#define JOB_REC_VERSION 1

static void
_job_rec_item_put (mpk_writer_t *w, const job_rec_item_t *item)
{
  mpk_put_str (w, buf_str (item->id));
  mpk_put_str (w, buf_str (item->target));
  mpk_put_uint (w, item->headers.n);
  for (size_t i = 0; i < item->headers.n; i++)
    {
      mpk_put_str (w, buf_str (item->headers.v[i].name));
      mpk_put_str (w, buf_str (item->headers.v[i].value));
    }
  mpk_put_uint (w, item->tokens);
  mpk_put_uint (w, item->part);
  mpk_put_uint (w, item->offset);
  mpk_put_uint (w, item->length);
}

buf_t
job_rec_encode (void *ctx, const job_rec_t *rec)
{
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_uint (&w, JOB_REC_VERSION);
  mpk_put_str (&w, buf_str (rec->id));
  mpk_put_str (&w, buf_str (rec->customer));
  mpk_put_str (&w, buf_str (rec->host));
  mpk_put_str (&w, buf_str (rec->path));
  mpk_put_int (&w, rec->arrived);
  mpk_put_int (&w, rec->due_ms);
  mpk_put_int (&w, rec->keep_ms);
  mpk_put_uint (&w, rec->attempts);
  mpk_put_uint (&w, rec->ended);
  mpk_put_uint (&w, rec->parts);
  mpk_put_uint (&w, rec->item_count);
  for (uint32_t i = 0; i < rec->item_count; i++)
    _job_rec_item_put (&w, &rec->items[i]);
  mpk_put_uint (&w, rec->result_count);
  for (uint32_t i = 0; i < rec->result_count; i++)
    mpk_put_uint (&w, 2 * (uint64_t)rec->results[i].item
                          + rec->results[i].completed);
  return mpk_done (&w);
}

static void
_job_rec_item_get (mpk_reader_t *r, job_rec_item_t *item)
{
  item->id = mpk_get_str (r).p;
  item->target = mpk_get_str (r).p;
  uint64_t n = mpk_get_uint (r);
  if (n > JOB_HEADERS_MAX)
    r->failed = true;
  if (r->failed)
    return;
  http_header_t *v = talloc_zero_array (r->ctx, http_header_t, n + 1);
  for (size_t i = 0; i < n; i++)
    {
      v[i].name = mpk_get_str (r).p;
      v[i].value = mpk_get_str (r).p;
    }
  item->headers = (http_headers_t){ .v = v, .n = n };
  item->tokens = mpk_get_uint (r);
  item->part = (uint32_t)mpk_get_uint (r);
  item->offset = (uint32_t)mpk_get_uint (r);
  item->length = (uint32_t)mpk_get_uint (r);
}

static void
_job_rec_items_get (mpk_reader_t *r, job_rec_t *rec)
{
  uint64_t n = mpk_get_uint (r);
  if (n > JOB_ITEMS_MAX)
    r->failed = true;
  if (r->failed)
    return;
  rec->items = talloc_zero_array (rec, job_rec_item_t, n + 1);
  for (rec->item_count = 0; rec->item_count < n && !r->failed;
       rec->item_count++)
    _job_rec_item_get (r, &rec->items[rec->item_count]);
}

static void
_job_rec_results_get (mpk_reader_t *r, job_rec_t *rec)
{
  uint64_t n = mpk_get_uint (r);
  if (n > rec->item_count)
    r->failed = true;
  if (r->failed)
    return;
  rec->results = talloc_zero_array (rec, job_rec_result_t, n + 1);
  for (rec->result_count = 0; rec->result_count < n; rec->result_count++)
    {
      uint64_t word = mpk_get_uint (r);
      if (word / 2 >= rec->item_count)
        r->failed = true;
      rec->results[rec->result_count]
          = (job_rec_result_t){ .item = (uint32_t)(word / 2),
                                .completed = word % 2 == 1 };
    }
}

job_rec_t *
job_rec_decode (void *ctx, buf_t bytes)
{
  job_rec_t *rec = talloc_zero (ctx, job_rec_t);
  mpk_reader_t r = mpk_reader (rec, bytes);
  if (mpk_get_uint (&r) != JOB_REC_VERSION)
    r.failed = true;
  rec->id = mpk_get_str (&r).p;
  rec->customer = mpk_get_str (&r).p;
  rec->host = mpk_get_str (&r).p;
  rec->path = mpk_get_str (&r).p;
  rec->arrived = mpk_get_int (&r);
  rec->due_ms = mpk_get_int (&r);
  rec->keep_ms = mpk_get_int (&r);
  rec->attempts = (uint32_t)mpk_get_uint (&r);
  rec->ended = mpk_get_uint (&r) != 0;
  rec->parts = (uint32_t)mpk_get_uint (&r);
  _job_rec_items_get (&r, rec);
  _job_rec_results_get (&r, rec);
  if (mpk_end (&r))
    return rec;
  talloc_free (rec);
  return NULL;
}
