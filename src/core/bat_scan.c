#include "core/bat_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/* The scan interval is at least this per VM of the fleet, which bounds the
 * number of lists that the fleet sends per second. */
#define BAT_SCAN_INTERVAL_MS_PER_VM 150
#define BAT_JOB_READS_PER_SCAN 8
#define BAT_JOB_READ_INTERVAL_MS CLK_SECOND /* least, for the same job */

/* The candidates of a job, the VMs that may take its chunks, are the first in
 * the rendezvous order of its id. */
#define BAT_CANDIDATES_MIN 4
#define BAT_CHUNKS_PER_CANDIDATE 8

/* A lease counts as lapsed after its term, plus one part in
 * BAT_CLOCK_DRIFT_DIVISOR, by which the rates of two clocks may differ, plus
 * BAT_LEASE_GUARD_MS. */
#define BAT_LEASE_GUARD_MS 200
#define BAT_CLOCK_DRIFT_DIVISOR 50

/* -- jobs ----------------------------------------------------------------- */

bat_job_t *
bat_job_find (bat_t *b, const char *id)
{
  for (tbl_id_t i = tbl_next (b->jobs, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->jobs, i))
    {
      bat_job_t *job = tbl_get (b->jobs, i);
      if (strcmp (job->id, id) == 0)
        return job;
    }
  return NULL;
}

static bat_job_t *
_bat_job_new (bat_t *b, env_t *env, const char *id, const bat_open_job_t *open)
{
  tbl_id_t self = tbl_alloc (b->jobs);
  bat_job_t *job = tbl_get (b->jobs, self);
  *job = (bat_job_t){ .self = self, .ctx = talloc_new (b), .open = *open };
  job->known_at = env->now;
  job->read_started_at = -CLK_HOUR; /* the first read is due at once */
  job->open.customer = talloc_strdup (job->ctx, open->customer);
  g_strlcpy (job->id, id, sizeof job->id);
  job->views = talloc_zero_array (job->ctx, bat_chunk_view_t, open->chunks);
  for (uint32_t i = 0; i < open->chunks; i++)
    job->views[i].version_seen_at = env->now;
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      const bat_hold_t *h = tbl_get (b->holds, i);
      if (strcmp (h->id, id) == 0 && h->chunk < open->chunks)
        job->views[h->chunk].held_here = true;
    }
  return job;
}

void
bat_scan_job_free (bat_t *b, bat_job_t *job)
{
  talloc_free (job->ctx);
  tbl_free (b->jobs, job->self);
}

static bool
_bat_is_candidate (const bat_t *b, const env_t *env, const bat_job_t *job)
{
  uint32_t candidates = job->open.chunks / BAT_CHUNKS_PER_CANDIDATE;
  if (candidates < BAT_CANDIDATES_MIN)
    candidates = BAT_CANDIDATES_MIN;
  return bat_rank (b, env->vm, job->id) < candidates;
}

static clk_ms_t
_bat_scan_interval (const bat_t *b)
{
  return clk_max (b->desc.scan_ms,
                  (clk_ms_t)b->vm_count * BAT_SCAN_INTERVAL_MS_PER_VM);
}

/* -- taking chunks -------------------------------------------------------- */

/* Whether the lease in V has certainly lapsed. */
static bool
_bat_view_is_lapsed (const bat_chunk_view_t *v, clk_ms_t now)
{
  clk_ms_t wait
      = v->term_ms + v->term_ms / BAT_CLOCK_DRIFT_DIVISOR + BAT_LEASE_GUARD_MS;
  return v->state == BAT_CHUNK_LEASED && now - v->version_seen_at >= wait;
}

/* Whether this VM may take a chunk now.  The first VM in the rendezvous order
 * of the chunk takes it at once; the others wait some time first. */
static bool
_bat_view_is_takeable (const bat_t *b, const env_t *env, const bat_job_t *job,
                       uint32_t chunk)
{
  const bat_chunk_view_t *v = &job->views[chunk];
  bool lapsed = _bat_view_is_lapsed (v, env->now);
  if (v->held_here || (v->state != BAT_CHUNK_WAITING && !lapsed))
    return false;
  char key[64];
  g_snprintf (key, sizeof key, "%s/%u", job->id, chunk);
  if (bat_rank (b, env->vm, key) == 0)
    return true;
  clk_ms_t delay = b->desc.scan_ms + (lapsed ? v->term_ms : 0);
  return env->now - v->version_seen_at >= delay;
}

static uint32_t
_bat_customer_hold_count (const bat_t *b, const char *customer)
{
  uint32_t n = 0;
  for (tbl_id_t i = tbl_next (b->holds, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->holds, i))
    {
      const bat_hold_t *h = tbl_get (b->holds, i);
      n += strcmp (h->customer, customer) == 0;
    }
  return n;
}

/* Whether this VM may hold one more chunk of CUSTOMER.  A customer without a
 * held chunk may exceed max_holds, so that a customer with many chunks cannot
 * block others. */
static bool
_bat_may_hold (const bat_t *b, const char *customer)
{
  uint32_t total = tbl_count (b->holds);
  uint32_t own = _bat_customer_hold_count (b, customer);
  if (own == 0)
    return total < 2 * b->desc.max_holds;
  return total < b->desc.max_holds;
}

/* Finds the first chunk of JOB that this VM may take. */
static bool
_bat_next_chunk (const bat_t *b, const env_t *env, const bat_job_t *job,
                 uint32_t *chunk)
{
  for (uint32_t i = 0; i < job->open.chunks; i++)
    {
      if (!_bat_view_is_takeable (b, env, job, i))
        continue;
      *chunk = i;
      return true;
    }
  return false;
}

static sch_job_t
_bat_job_schedule_entry (const bat_t *b, const bat_job_t *job)
{
  double left = (double)(job->open.chunks - job->final) * job->open.items
                / job->open.chunks;
  double rate = b->rate * (b->vm_count > 0 ? (double)b->vm_count : 1);
  clk_ms_t due
      = job->open.due == 0 ? 0 : job->open.due - b->desc.unix_offset_ms;
  return (sch_job_t){ .customer = job->open.customer,
                      .weight = bat_weight (b, job->open.customer),
                      .due = due,
                      .need_ms = rate > 0 ? left * CLK_SECOND / rate : 0 };
}

/* Takes chunks as long as this VM may hold more and knows of some. */
static void
_bat_chunks_take (bat_t *b, env_t *env)
{
  uint32_t count = tbl_count (b->jobs);
  if (b->leaving || count == 0)
    return;
  sch_job_t *list = talloc_zero_array (NULL, sch_job_t, count);
  bat_job_t **jobs = talloc_zero_array (list, bat_job_t *, count);
  uint32_t n = 0;
  for (tbl_id_t i = tbl_next (b->jobs, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->jobs, i))
    {
      jobs[n] = tbl_get (b->jobs, i);
      list[n] = _bat_job_schedule_entry (b, jobs[n]);
      n++;
    }
  for (;;)
    {
      uint32_t chunk = 0;
      for (uint32_t i = 0; i < n; i++)
        list[i].ready = jobs[i]->accepted
                        && _bat_may_hold (b, jobs[i]->open.customer)
                        && _bat_is_candidate (b, env, jobs[i])
                        && _bat_next_chunk (b, env, jobs[i], &chunk);
      int best = sch_pick (b->take_order, env->now, list, n);
      if (best < 0 || !_bat_next_chunk (b, env, jobs[best], &chunk))
        break;
      bat_job_t *job = jobs[best];
      job->views[chunk].held_here = true;
      sch_service_add (b->take_order, job->open.customer, list[best].weight,
                       (double)job->open.items / job->open.chunks);
      bat_hold_start (b, env, job, chunk);
    }
  talloc_free (list);
}

/* -- reading the records of a job ----------------------------------------- */

static void
_bat_job_chunks_list (bat_t *b, env_t *env, bat_job_t *job)
{
  char *name = bat_name_chunks (NULL, job->id);
  bat_platform_call (b, env, BAT_OP_JOB_CHUNKS, job->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_LIST, .name = name });
  talloc_free (name);
}

/* Reads the records of JOB.  The first VM in the rendezvous order reads the
 * manifest each time, to see a cancellation; the others read it once. */
static void
_bat_job_read (bat_t *b, env_t *env, bat_job_t *job)
{
  if (job->reading)
    {
      job->read_again = true;
      return;
    }
  job->reading = true;
  job->read_again = false;
  job->read_started_at = env->now;
  if (job->accepted && bat_rank (b, env->vm, job->id) != 0)
    {
      _bat_job_chunks_list (b, env, job);
      return;
    }
  char *name = bat_name_job (NULL, job->id);
  bat_platform_call (b, env, BAT_OP_JOB_MANIFEST, job->self, 0,
                     &(plt_req_t){ .op = FX_PLATFORM_GET, .name = name });
  talloc_free (name);
}

static void
_bat_job_read_done (bat_t *b, env_t *env, bat_job_t *job)
{
  job->reading = false;
  if (job->read_again)
    _bat_job_read (b, env, job);
  _bat_chunks_take (b, env);
}

static void
_bat_job_manifest_replied (bat_t *b, env_t *env, bat_job_t *job,
                           const ev_platform_t *reply)
{
  void *ctx = talloc_new (job->ctx);
  bat_manifest_t m;
  bool ok = reply->code == ST_OK && reply->object_count > 0
            && bat_manifest_decode (ctx, reply->objects[0].value, &m)
            && m.chunks == job->open.chunks;
  if (!ok)
    {
      talloc_free (ctx);
      _bat_job_read_done (b, env, job);
      return;
    }
  talloc_free (job->manifest_ctx);
  job->manifest_ctx = ctx;
  job->manifest = m;
  job->accepted = true;
  if (job->manifest.state != BAT_JOB_RUNNING)
    bat_end_start (b, env, job->id);
  _bat_job_chunks_list (b, env, job);
}

static void
_bat_view_update (bat_chunk_view_t *v, clk_ms_t now, uint64_t version,
                  const bat_chunk_t *rec)
{
  if (v->version != version)
    v->version_seen_at = now;
  v->version = version;
  v->state = rec->state;
  v->term_ms = rec->term_ms;
}

static void
_bat_job_chunks_replied (bat_t *b, env_t *env, bat_job_t *job,
                         const ev_platform_t *reply)
{
  if (reply->code != ST_OK)
    {
      _bat_job_read_done (b, env, job);
      return;
    }
  void *ctx = talloc_new (NULL);
  job->final = 0;
  for (uint32_t i = 0; i < job->open.chunks; i++)
    {
      if (job->views[i].version == 0)
        job->views[i].state = BAT_CHUNK_WAITING;
    }
  for (size_t i = 0; i < reply->object_count; i++)
    {
      const ev_object_t *o = &reply->objects[i];
      uint32_t n = bat_name_chunk_number (o->name);
      bat_chunk_t rec;
      if (n >= job->open.chunks || !bat_chunk_decode (ctx, o->value, &rec))
        continue;
      _bat_view_update (&job->views[n], env->now, o->version, &rec);
      job->final += rec.state == BAT_CHUNK_FINAL;
    }
  talloc_free (ctx);
  bool first = bat_rank (b, env->vm, job->id) == 0;
  if (job->final == job->open.chunks && (first || job->recorded_final))
    bat_end_start (b, env, job->id);
  job->recorded_final = false;
  _bat_job_read_done (b, env, job);
}

void
bat_scan_job (bat_t *b, env_t *env, const char *id, const bat_open_job_t *open)
{
  bat_job_t *job = bat_job_find (b, id);
  if (job == NULL && open == NULL)
    {
      bat_scan (b, env);
      return;
    }
  if (job == NULL)
    job = _bat_job_new (b, env, id, open);
  _bat_job_read (b, env, job);
}

void
bat_scan_notify (bat_t *b, env_t *env, const char *id, uint32_t chunks,
                 uint16_t kind)
{
  uint32_t candidates = chunks / BAT_CHUNKS_PER_CANDIDATE;
  if (candidates < BAT_CANDIDATES_MIN || kind == BAT_MSG_STOP)
    candidates = MAX (candidates, BAT_CANDIDATES_MIN) * 2;
  void *ctx = talloc_new (NULL);
  mpk_writer_t w;
  mpk_writer_init (&w, ctx);
  mpk_put_str (&w, buf_str (id));
  buf_t body = mpk_done (&w);
  for (size_t i = 0; i < b->vm_count; i++)
    {
      if (strcmp (b->vms[i], env->vm) != 0
          && bat_rank (b, b->vms[i], id) < candidates)
        fx_peer_send (env->fx, b->vms[i], kind, body);
    }
  talloc_free (ctx);
}

/* -- scanning ------------------------------------------------------------- */

static bool
_bat_job_may_be_read (const bat_t *b, const env_t *env, const bat_job_t *job)
{
  if (job->reading
      || env->now - job->read_started_at < BAT_JOB_READ_INTERVAL_MS)
    return false;
  return _bat_is_candidate (b, env, job);
}

/* Reads the records of the jobs whose latest read is oldest, at most
 * BAT_JOB_READS_PER_SCAN. */
static void
_bat_jobs_read_oldest (bat_t *b, env_t *env)
{
  for (int n = 0; n < BAT_JOB_READS_PER_SCAN; n++)
    {
      bat_job_t *oldest = NULL;
      for (tbl_id_t i = tbl_next (b->jobs, (tbl_id_t){ 0 }); i.id != 0;
           i = tbl_next (b->jobs, i))
        {
          bat_job_t *job = tbl_get (b->jobs, i);
          if (_bat_job_may_be_read (b, env, job)
              && (oldest == NULL
                  || job->read_started_at < oldest->read_started_at))
            oldest = job;
        }
      if (oldest == NULL)
        return;
      _bat_job_read (b, env, oldest);
    }
}

void
bat_scan_take_more (bat_t *b, env_t *env, const char *id)
{
  if (b->leaving)
    return;
  _bat_chunks_take (b, env);
  bat_job_t *job = bat_job_find (b, id);
  if (job != NULL && job->recorded_final)
    _bat_job_read (b, env, job);
  if (tbl_count (b->holds) < b->desc.max_holds)
    _bat_jobs_read_oldest (b, env);
}

void
bat_scan (bat_t *b, env_t *env)
{
  if (b->leaving || b->scanning)
    {
      b->scan_again = true;
      return;
    }
  b->scanning = true;
  b->scan_again = false;
  bat_platform_call (
      b, env, BAT_OP_SCAN, (tbl_id_t){ 0 }, 0,
      &(plt_req_t){ .op = FX_PLATFORM_LIST, .name = BAT_OPEN_PREFIX });
}

void
bat_scan_timer (bat_t *b, env_t *env)
{
  if (b->leaving)
    return;
  bat_timer_arm (b, env, env_jitter (env, _bat_scan_interval (b)),
                 BAT_OP_SCAN_TIMER, (tbl_id_t){ 0 });
  bat_scan (b, env);
}

static void
_bat_scan_entry_add (bat_t *b, env_t *env, const ev_object_t *o)
{
  const char *id = o->name + strlen (BAT_OPEN_PREFIX);
  bat_job_t *job = bat_job_find (b, id);
  void *ctx = talloc_new (NULL);
  bat_open_job_t open;
  if (job == NULL && strlen (id) == BAT_ID_SIZE - 1
      && bat_open_job_decode (ctx, o->value, &open))
    job = _bat_job_new (b, env, id, &open);
  if (job != NULL)
    job->listed = true;
  talloc_free (ctx);
}

static void
_bat_scan_list_replied (bat_t *b, env_t *env, const ev_platform_t *reply)
{
  b->scanning = false;
  if (b->scan_again)
    bat_scan (b, env);
  if (reply->code != ST_OK)
    return;
  for (tbl_id_t i = tbl_next (b->jobs, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->jobs, i))
    ((bat_job_t *)tbl_get (b->jobs, i))->listed = false;
  for (size_t i = 0; i < reply->object_count; i++)
    _bat_scan_entry_add (b, env, &reply->objects[i]);
  for (tbl_id_t i = tbl_next (b->jobs, (tbl_id_t){ 0 }); i.id != 0;
       i = tbl_next (b->jobs, i))
    {
      bat_job_t *job = tbl_get (b->jobs, i);
      if (!job->listed)
        bat_scan_job_free (b, job);
    }
  _bat_chunks_take (b, env);
  _bat_jobs_read_oldest (b, env);
}

void
bat_scan_replied (bat_t *b, env_t *env, const bat_op_t *op,
                  const ev_platform_t *reply)
{
  if (op->kind == BAT_OP_SCAN)
    {
      _bat_scan_list_replied (b, env, reply);
      return;
    }
  bat_job_t *job = tbl_get (b->jobs, op->owner);
  if (job == NULL)
    return;
  if (op->kind == BAT_OP_JOB_MANIFEST)
    _bat_job_manifest_replied (b, env, job, reply);
  else
    _bat_job_chunks_replied (b, env, job, reply);
}
