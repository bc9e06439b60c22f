/** @file
 * Configuration store (cfs): operators' changes.
 *
 * A change writes the parts that it modifies as new objects, then replaces the
 * head by a conditional update, so that all of the change takes effect at
 * once.  The head lists the tokens of the last changes: after a lost response,
 * a token in the head shows that its change has taken effect.
 */
#include "core/cfs_int.h"

#include <string.h>
#include <talloc.h>

#define CFS_BACKOFF_MS ((clk_ms_t)10) /**< before the second attempt */
#define CFS_BACKOFF_SHIFT_MAX 2       /**< most doublings of the delay */
#define CFS_TOKEN_MAX 64              /**< in bytes */
#define CFS_PART_RETRIES_MAX 8 /**< after lost responses, in one attempt */
#define CFS_GARBAGE_DELAY_MS (30 * CLK_SECOND)
#define CFS_GARBAGE_MAX 512    /**< most parts that wait for deletion */
#define CFS_GARBAGE_PER_TICK 4 /**< most parts deleted in one tick */

static void
_cfs_task_finish (cfs_t *c, env_t *env, st_code_t code)
{
  cfs_task_t *t = c->task;
  c->task = t->next;
  t->next = NULL;
  t->result.code = code;
  cfs_task_t **end = &c->done;
  while (*end != NULL)
    end = &(*end)->next;
  *end = t;
  char labels[64];
  g_snprintf (labels, sizeof labels, "outcome=\"%s\"", st_code_name (code));
  cnt_add (env->cnt, "rts_config_applies_total", labels, 1);
  cnt_add (env->cnt, "rts_config_apply_retries_total", "", t->result.retries);
  tln_record (env->tln, env->now, MOD_CONFIG, "apply",
              "outcome=%s version=%" G_GUINT64_FORMAT " retries=%u",
              st_code_name (code), t->result.version, t->result.retries);
}

static void
_cfs_task_fail (cfs_t *c, env_t *env, const char *text)
{
  cfs_task_t *t = c->task;
  t->result.text = text;
  _cfs_task_finish (c, env, t->outcome_unknown ? ST_UNKNOWN : ST_UNAVAILABLE);
}

/* Schedule the next attempt; the delay doubles up to its maximum. */
static void
_cfs_task_retry_schedule (cfs_t *c, env_t *env)
{
  cfs_task_t *t = c->task;
  unsigned shift = t->attempts < CFS_BACKOFF_SHIFT_MAX ? t->attempts
                                                       : CFS_BACKOFF_SHIFT_MAX;
  t->attempts++;
  t->step = CFS_APPLY_WAIT;
  t->next_attempt = env->now + env_jitter (env, CFS_BACKOFF_MS << shift);
  tmr_arm (env->tmr, t->next_attempt, MOD_CONFIG,
           cfs_tag (CFS_TAG_APPLY, 0, t->seq));
}

/* Schedule the deletion of PART.  When the list is full, the object stays in
   the platform. */
static void
_cfs_part_discard (cfs_t *c, env_t *env, const cfs_part_t *part)
{
  if (part->name[0] == '\0' || part->object_version == 0
      || c->garbage_count == CFS_GARBAGE_MAX)
    return;
  if (c->garbage == NULL)
    c->garbage = talloc_array (c, cfs_garbage_t, CFS_GARBAGE_MAX);
  cfs_garbage_t *g = &c->garbage[c->garbage_count++];
  *g = (cfs_garbage_t){ .due = env->now + CFS_GARBAGE_DELAY_MS,
                        .part = *part };
  g->part.name = talloc_strdup (c, part->name);
}

void
cfs_garbage_collect (cfs_t *c, env_t *env)
{
  size_t n = 0;
  while (n < c->garbage_count && n < CFS_GARBAGE_PER_TICK
         && c->garbage[n].due <= env->now)
    {
      const cfs_part_t *part = &c->garbage[n++].part;
      plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG,
                                   .tag = cfs_tag (CFS_TAG_PART_DELETE, 0, 0),
                                   .op = FX_PLATFORM_DELETE,
                                   .name = part->name,
                                   .if_version = part->object_version });
      talloc_free ((void *)part->name);
    }
  c->garbage_count -= n;
  if (n > 0)
    memmove (c->garbage, c->garbage + n,
             c->garbage_count * sizeof c->garbage[0]);
}

/* The attempt has failed: schedule the next one and discard the parts that
   this one wrote.  When the outcome is unknown, the head may refer to
   these parts, so they stay. */
static void
_cfs_task_retry (cfs_t *c, env_t *env)
{
  cfs_task_t *t = c->task;
  for (unsigned b = 0;
       !t->outcome_unknown && t->head != NULL && b < CFS_BUCKETS; b++)
    {
      if (t->written[b])
        _cfs_part_discard (c, env, &t->head->parts[b]);
    }
  t->head = NULL;
  cfs_head_clear (c);
  _cfs_task_retry_schedule (c, env);
}

static void
_cfs_head_token_add (cfs_head_t *h, const char *token)
{
  if (h->token_count == CFS_TOKENS_MAX)
    {
      memmove (h->tokens, h->tokens + 1,
               (CFS_TOKENS_MAX - 1) * sizeof h->tokens[0]);
      h->token_count--;
    }
  h->tokens[h->token_count++] = (cfs_token_t){
    .token = talloc_strdup (h, token),
    .version = h->version,
  };
}

/* Value of the part of bucket B after the change. */
static buf_t
_cfs_part_dump (cfs_t *c, const cfs_task_t *t, unsigned b)
{
  cfs_set_t *set = cfs_set_setup (t->attempt);
  cfs_records_t old = cfs_set_in_bucket (set, c->set, b);
  for (size_t i = 0; i < old.count; i++)
    cfs_set_put (set, &old.v[i]);
  for (size_t i = 0; i < t->effect.records.count; i++)
    {
      if (cfs_set_bucket (t->effect.records.v[i].name) == b)
        cfs_set_put (set, &t->effect.records.v[i]);
    }
  cfs_records_t all = cfs_set_since (set, set, 0);
  buf_t value = cfs_part_dump (t->attempt, &all);
  cfs_set_shutdown (set);
  return value;
}

static void
_cfs_head_write (cfs_t *c, env_t *env)
{
  cfs_task_t *t = c->task;
  t->step = CFS_APPLY_HEAD;
  plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG,
                               .tag = cfs_tag (CFS_TAG_HEAD_WRITE, 0, t->seq),
                               .op = FX_PLATFORM_PUT,
                               .name = CFS_HEAD_NAME,
                               .if_version = t->head->object_version,
                               .value = cfs_head_dump (t->attempt, t->head) });
}

/* Write the part of bucket B under its new name; false when it is too
   large. */
static bool
_cfs_part_write (cfs_t *c, env_t *env, unsigned b)
{
  cfs_task_t *t = c->task;
  buf_t value = _cfs_part_dump (c, t, b);
  if (value.n > CFS_PART_MAX)
    return false;
  t->written[b] = true;
  t->parts_waiting++;
  plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG,
                               .tag = cfs_tag (CFS_TAG_PART_WRITE, b, t->seq),
                               .op = FX_PLATFORM_PUT,
                               .name = t->head->parts[b].name,
                               .value = value });
  return true;
}

/* Give the part of bucket B a name that no other attempt uses: when the part
   exists already, this attempt has written it. */
static void
_cfs_part_name_set (env_t *env, cfs_task_t *t, unsigned b)
{
  cfs_part_t *part = &t->head->parts[b];
  part->object_version = 0;
  part->name = talloc_asprintf (t->head,
                                CFS_PART_PREFIX "%02u-%s-%" G_GUINT64_FORMAT
                                                "-%" G_GUINT64_FORMAT,
                                b, env->vm, env->incarnation, t->seq);
}

static void
_cfs_task_write (cfs_t *c, env_t *env)
{
  cfs_task_t *t = c->task;
  cfs_head_t *h = t->head = cfs_head_copy (t->attempt, c->head);
  cfs_digests_t digests = cfs_set_digests (c->set, &t->effect.records);
  bool touched[CFS_BUCKETS] = { false };
  for (size_t i = 0; i < t->effect.records.count; i++)
    touched[cfs_set_bucket (t->effect.records.v[i].name)] = true;
  h->version = c->version + 1;
  h->writer = talloc_strdup (h, env->vm);
  _cfs_head_token_add (h, t->change.token);
  t->step = CFS_APPLY_PARTS;
  t->part_code = ST_OK;
  t->part_retries = 0;
  for (unsigned b = 0; b < CFS_BUCKETS; b++)
    {
      /* A part that the change does not touch differs when the platform has
         lost records that this VM has, such as after a restore of an old
         backup.  The part is then written again. */
      bool differs = h->parts[b].digest != digests.v[b];
      h->parts[b].digest = digests.v[b];
      if (!touched[b] && !differs)
        continue;
      _cfs_part_name_set (env, t, b);
      if (!_cfs_part_write (c, env, b))
        {
          t->result.text = "a group of sections is above the size limit";
          _cfs_task_finish (c, env, ST_TOO_LARGE);
          return;
        }
    }
}

/* Start an attempt.  The head has been read and is not newer than the version
   in force on this VM. */
static void
_cfs_task_attempt (cfs_t *c, env_t *env)
{
  cfs_task_t *t = c->task;
  talloc_free (t->attempt);
  t->attempt = talloc_new (t);
  t->effect = (cfs_effect_t){ 0 };
  t->head = NULL;
  memset (t->written, 0, sizeof t->written);
  t->parts_waiting = 0;
  t->seq = ++c->seq;
  /* The head was replaced after the write whose response was lost, so the
     tokens of this head show whether that write took effect. */
  if (c->head->object_version > t->unknown_object_version)
    t->outcome_unknown = false;
  uint64_t applied_version = cfs_head_token_version (c->head, t->change.token);
  if (applied_version > 0)
    {
      t->result.version = applied_version;
      t->result.text = "";
      _cfs_task_finish (c, env, ST_OK);
      return;
    }
  st_code_t code
      = cfs_effect_compute (t->attempt, c, &t->change, &t->effect, &t->result);
  if (t->result.unchanged && !t->head_is_fresh)
    {
      /* The head may be stale: report "unchanged" only after another read. */
      cfs_head_clear (c);
      cfs_store_read (c, env);
    }
  else if (code != ST_OK || t->result.unchanged)
    _cfs_task_finish (c, env, t->outcome_unknown ? ST_UNKNOWN : code);
  else
    _cfs_task_write (c, env);
}

void
cfs_task_step (cfs_t *c, env_t *env)
{
  while (c->task != NULL && c->task->step == CFS_APPLY_WAIT
         && env->now >= c->task->next_attempt)
    {
      cfs_task_t *t = c->task;
      if (env->now >= t->deadline)
        _cfs_task_fail (c, env, "the platform did not answer in time");
      else if (c->head != NULL && t->change.base <= c->version)
        _cfs_task_attempt (c, env);
      else
        {
          if (c->fetch.ctx == NULL)
            cfs_store_read (c, env);
          return;
        }
      if (c->task == t && t->step == CFS_APPLY_WAIT)
        return;
    }
}

void
cfs_task_head_replied (cfs_t *c, env_t *env, st_code_t code)
{
  cfs_task_t *t = c->task;
  if (t == NULL || t->step != CFS_APPLY_WAIT)
    return;
  if (code == ST_NOT_FOUND)
    {
      cfs_head_clear (c);
      c->head = talloc_zero (c, cfs_head_t);
      c->head->writer = "";
      for (unsigned b = 0; b < CFS_BUCKETS; b++)
        c->head->parts[b].name = "";
    }
  else if (code != ST_OK && !t->outcome_unknown)
    _cfs_task_fail (c, env, "the platform cannot be reached");
  else if (c->head == NULL || c->fetch.ctx != NULL)
    _cfs_task_retry_schedule (c, env);
  else if (t->change.base > c->version)
    {
      t->result.text = "the base version is not known: read again";
      _cfs_task_finish (c, env, ST_STALE);
    }
  else
    t->head_is_fresh = true;
}

static void
_cfs_part_write_replied (cfs_t *c, env_t *env, unsigned b,
                         const ev_platform_t *reply)
{
  cfs_task_t *t = c->task;
  if (reply->code == ST_OK && reply->object_count == 1)
    t->head->parts[b].object_version = reply->objects[0].version;
  else if (reply->code == ST_UNKNOWN
           && t->part_retries++ < CFS_PART_RETRIES_MAX)
    (void)_cfs_part_write (c, env, b);
  else if (reply->code != ST_OK && reply->code != ST_CONFLICT)
    t->part_code = reply->code;
  if (--t->parts_waiting > 0)
    return;
  if (t->part_code == ST_OK)
    _cfs_head_write (c, env);
  else if (t->part_code == ST_UNAVAILABLE && !t->outcome_unknown)
    _cfs_task_fail (c, env, "the platform cannot be reached");
  else
    _cfs_task_retry (c, env);
}

static void
_cfs_task_commit (cfs_t *c, env_t *env, const ev_platform_t *reply)
{
  cfs_task_t *t = c->task;
  cfs_head_t *old = talloc_steal (t, c->head);
  c->head = NULL;
  cfs_update_t update = { .version = t->head->version,
                          .writer = t->head->writer,
                          .records = t->effect.records,
                          .source = CFS_FROM_APPLY };
  t->result.version = update.version;
  bool adopted = cfs_update_adopt (c, env, &update, t->effect.doc);
  if (adopted && reply->object_count == 1)
    {
      t->head->object_version = reply->objects[0].version;
      c->head = talloc_steal (c, t->head);
    }
  for (unsigned b = 0; old != NULL && b < CFS_BUCKETS; b++)
    {
      if (t->written[b])
        _cfs_part_discard (c, env, &old->parts[b]);
    }
  /* The platform was restored from a backup that is older than the version in
     force. */
  if (!adopted)
    t->result.text = "the platform is behind the fleet: apply again";
  _cfs_task_finish (c, env, adopted ? ST_OK : ST_UNKNOWN);
}

static void
_cfs_head_write_replied (cfs_t *c, env_t *env, const ev_platform_t *reply)
{
  cfs_task_t *t = c->task;
  switch (reply->code)
    {
    case ST_OK:
      _cfs_task_commit (c, env, reply);
      break;
    case ST_CONFLICT:
      t->result.retries++;
      _cfs_task_retry (c, env);
      break;
    case ST_UNAVAILABLE:
      if (t->outcome_unknown)
        _cfs_task_retry (c, env);
      else
        _cfs_task_fail (c, env, "the platform cannot be reached");
      break;
    default:
      t->outcome_unknown = true;
      t->unknown_object_version = t->head->object_version;
      _cfs_task_retry (c, env);
      break;
    }
}

void
cfs_task_replied (cfs_t *c, env_t *env, const plt_done_t *done,
                  const ev_platform_t *reply)
{
  cfs_task_t *t = c->task;
  if (t == NULL || t->seq != done->tag >> 16)
    return;
  unsigned b = (unsigned)(done->tag >> 8 & 0xff);
  if ((done->tag & 0xff) == CFS_TAG_PART_WRITE)
    _cfs_part_write_replied (c, env, b, reply);
  else
    _cfs_head_write_replied (c, env, reply);
}

uint64_t
cfs_apply (cfs_t *c, env_t *env, const cfs_change_t *change)
{
  size_t waiting = 0;
  cfs_task_t **end = &c->task;
  for (; *end != NULL; end = &(*end)->next)
    waiting++;
  if (waiting >= c->desc.changes_max)
    return 0;
  cfs_task_t *t = *end = talloc_zero (c, cfs_task_t);
  t->change = *change;
  t->change.text = buf_copy (t, change->text);
  t->change.team = talloc_strdup (t, change->team);
  t->deadline = env->now + c->desc.apply_timeout_ms;
  t->result.id = ++c->task_id;
  if (change->token == NULL || change->token[0] == '\0')
    t->change.token
        = talloc_asprintf (t, "%s-%" G_GUINT64_FORMAT, env->vm, t->result.id);
  else
    t->change.token = talloc_strndup (t, change->token, CFS_TOKEN_MAX);
  t->result.text = "";
  uint64_t id = t->result.id;
  cfs_task_step (c, env);
  return id;
}

bool
cfs_result_pop (cfs_t *c, void *ctx, cfs_result_t *result)
{
  cfs_task_t *t = c->done;
  if (t == NULL)
    return false;
  c->done = t->next;
  *result = t->result;
  result->text = talloc_strdup (ctx, t->result.text);
  talloc_free (t);
  return true;
}
