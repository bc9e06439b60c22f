#include "core/stv.h"

#include "core/mpk.h"
#include "core/tbl.h"

#include <string.h>
#include <talloc.h>

/** Size of a stream's key, in bytes: the start of a SHA-256. */
#define STV_KEY_SIZE 16
/** Most questions in progress. */
#define STV_QUESTIONS_MAX 4096

/** Hash that names a stream of a customer. */
typedef struct
{
  char bytes[STV_KEY_SIZE];
} _stv_key_t;

/** The origin of a stream. */
typedef struct
{
  _stv_key_t key;
  clk_ms_t noted_at;
  bool own; /**< the stream began at this VM */
  char *deployment;
  char *version;
} _stv_entry_t;

/** A question to other VMs. */
typedef struct
{
  uint64_t tag;  /**< of stv_find */
  size_t silent; /**< VMs asked that have not replied */
} _stv_question_t;

/** An outcome that waits for stv_result_pop. */
typedef struct
{
  stv_result_t result; /**< its strings belong to this */
} _stv_outcome_t;

struct stv
{
  mbr_t *members;
  GHashTable *entries; /**< by key */
  GQueue by_age;       /**< _stv_entry_t, oldest first */
  tbl_t *questions;    /**< _stv_question_t */
  GQueue outcomes;     /**< _stv_outcome_t */
  _stv_outcome_t *popped;
};

/* -- set up --------------------------------------------------------------- */

static guint
_stv_key_hash (gconstpointer data)
{
  guint hash;
  memcpy (&hash, ((const _stv_key_t *)data)->bytes, sizeof hash);
  return hash;
}

static gboolean
_stv_key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, STV_KEY_SIZE) == 0;
}

static int
_stv_destroy (stv_t *s)
{
  g_hash_table_destroy (s->entries);
  g_queue_clear (&s->by_age);
  g_queue_clear (&s->outcomes);
  return 0;
}

stv_t *
stv_setup (void *ctx, mbr_t *members)
{
  stv_t *s = talloc_zero (ctx, stv_t);
  s->members = members;
  s->entries = g_hash_table_new (_stv_key_hash, _stv_key_equal);
  s->questions = tbl_setup (s, &(tbl_desc_t){ .size = sizeof (_stv_question_t),
                                              .max = STV_QUESTIONS_MAX });
  g_queue_init (&s->by_age);
  g_queue_init (&s->outcomes);
  talloc_set_destructor (s, _stv_destroy);
  return s;
}

void
stv_shutdown (stv_t *s)
{
  talloc_free (s);
}

bool
stv_id_is_valid (const char *id)
{
  size_t n = strlen (id);
  if (n == 0 || n > STV_ID_MAX)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!g_ascii_isgraph (id[i]))
      return false;
  return true;
}

size_t
stv_count (const stv_t *s)
{
  return g_hash_table_size (s->entries);
}

/* -- origins that this VM keeps ------------------------------------------- */

/** The key of STREAM: no customer can name another's. */
static _stv_key_t
_stv_key (const stv_stream_t *stream)
{
  _stv_key_t key;
  guint8 digest[32];
  gsize size = sizeof digest;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  /* The NUL between them is in neither. */
  g_checksum_update (sum, (const guchar *)stream->customer,
                     (gssize)strlen (stream->customer) + 1);
  g_checksum_update (sum, (const guchar *)stream->request,
                     (gssize)strlen (stream->request));
  g_checksum_get_digest (sum, digest, &size);
  g_checksum_free (sum);
  memcpy (key.bytes, digest, sizeof key.bytes);
  return key;
}

static void
_stv_oldest_drop (stv_t *s)
{
  _stv_entry_t *e = g_queue_pop_head (&s->by_age);
  g_hash_table_remove (s->entries, &e->key);
  talloc_free (e);
}

static void
_stv_expire (stv_t *s, clk_ms_t now)
{
  const _stv_entry_t *oldest = g_queue_peek_head (&s->by_age);
  while (oldest != NULL
         && (now - oldest->noted_at >= STV_KEEP_MS
             || g_hash_table_size (s->entries) > STV_MAX))
    {
      _stv_oldest_drop (s);
      oldest = g_queue_peek_head (&s->by_age);
    }
}

static const _stv_entry_t *
_stv_entry_find (stv_t *s, const env_t *env, const _stv_key_t *key)
{
  _stv_expire (s, env->now);
  return g_hash_table_lookup (s->entries, key);
}

/** Keep that the stream of KEY began at ORIGIN.  What is known stays: a stream
 * begins once. */
static void
_stv_entry_add (stv_t *s, const env_t *env, const _stv_key_t *key,
                const stv_origin_t *origin, bool own)
{
  if (_stv_entry_find (s, env, key) != NULL)
    return;
  _stv_entry_t *e = talloc_zero (s, _stv_entry_t);
  e->key = *key;
  e->noted_at = env->now;
  e->own = own;
  e->deployment = talloc_strdup (e, origin->deployment);
  e->version = talloc_strdup (e, origin->version);
  g_hash_table_insert (s->entries, &e->key, e);
  g_queue_push_tail (&s->by_age, e);
  _stv_expire (s, env->now);
}

/* -- the VMs that are told and asked -------------------------------------- */

/** Write the VMs other than this one that are told (ASKED: asked) about KEY to
 * OUT, which has room for MAX; returns their number. */
static size_t
_stv_peers (const stv_t *s, const env_t *env, const _stv_key_t *key,
            bool asked, const char **out, size_t max)
{
  char name[2 * STV_KEY_SIZE + 1];
  size_t n = 0;
  for (size_t i = 0; i < STV_KEY_SIZE; i++)
    g_snprintf (name + 2 * i, 3, "%02x", (unsigned char)key->bytes[i]);
  for (size_t i = 0; i < mbr_data_centre_count (s->members); i++)
    {
      const char *dc = mbr_data_centre_get (s->members, i);
      bool local = strcmp (dc, env->data_centre) == 0;
      size_t wanted = asked ? STV_ASKED : (local ? STV_NOTED_LOCAL : 1);
      const char *ranked[STV_ASKED + STV_NOTED_LOCAL];
      /* This VM may be one of them, and stands for none. */
      size_t count
          = mbr_rank (s->members, dc, MOD_STREAM, name, ranked, wanted + 1);
      for (size_t k = 0; k < count && wanted > 0 && n < max; k++)
        if (strcmp (ranked[k], env->vm) != 0)
          {
            out[n++] = ranked[k];
            wanted--;
          }
    }
  return n;
}

/** Largest number of VMs that are told or asked. */
#define STV_PEERS_MAX 32

/** Tell the VMs chosen for E. */
static void
_stv_tell (const stv_t *s, env_t *env, const _stv_entry_t *e)
{
  const char *peers[STV_PEERS_MAX];
  mpk_writer_t w;
  void *tmp = talloc_new (NULL);
  mpk_writer_init (&w, tmp);
  mpk_put_str (&w, (buf_t){ .p = e->key.bytes, .n = sizeof e->key.bytes });
  mpk_put_str (&w, buf_str (e->deployment));
  mpk_put_str (&w, buf_str (e->version));
  buf_t body = mpk_done (&w);
  size_t n = _stv_peers (s, env, &e->key, false, peers, STV_PEERS_MAX);
  for (size_t i = 0; i < n; i++)
    fx_peer_send (env->fx, peers[i], MSG_STREAM_NOTE, body);
  talloc_free (tmp);
  cnt_add (env->cnt, "rts_stream_notes_total", "", n);
}

void
stv_note (stv_t *s, env_t *env, const stv_stream_t *stream,
          const stv_origin_t *origin)
{
  if (!stv_id_is_valid (stream->request)
      || strlen (origin->version) > STV_VERSION_MAX)
    return;
  _stv_key_t key = _stv_key (stream);
  _stv_entry_add (s, env, &key, origin, true);
  const _stv_entry_t *e = _stv_entry_find (s, env, &key);
  if (e != NULL)
    _stv_tell (s, env, e);
}

void
stv_members_changed (stv_t *s, env_t *env)
{
  for (const GList *l = s->by_age.tail; l != NULL; l = l->prev)
    {
      const _stv_entry_t *e = l->data;
      if (env->now - e->noted_at >= STV_TOLD_AGAIN_MS)
        return;
      if (e->own)
        _stv_tell (s, env, e);
    }
}

/* -- questions ------------------------------------------------------------ */

/** Queue the outcome of TAG; ORIGIN is NULL if it is not known. */
static void
_stv_outcome_push (stv_t *s, uint64_t tag, const stv_origin_t *origin)
{
  _stv_outcome_t *o = talloc_zero (s, _stv_outcome_t);
  o->result = (stv_result_t){ .tag = tag, .known = origin != NULL };
  if (origin != NULL)
    o->result.origin = (stv_origin_t){
      .deployment = talloc_strdup (o, origin->deployment),
      .version = talloc_strdup (o, origin->version),
    };
  g_queue_push_tail (&s->outcomes, o);
}

bool
stv_result_pop (stv_t *s, stv_result_t *result)
{
  TALLOC_FREE (s->popped);
  s->popped = g_queue_pop_head (&s->outcomes);
  if (s->popped == NULL)
    return false;
  *result = s->popped->result;
  return true;
}

static void
_stv_question_end (stv_t *s, env_t *env, tbl_id_t id,
                   const stv_origin_t *origin)
{
  const _stv_question_t *q = tbl_get (s->questions, id);
  if (q == NULL)
    return;
  cnt_add (env->cnt, "rts_stream_questions_total",
           origin != NULL ? "known=\"yes\"" : "known=\"no\"", 1);
  _stv_outcome_push (s, q->tag, origin);
  tbl_free (s->questions, id);
}

static void
_stv_ask (stv_t *s, env_t *env, const _stv_key_t *key, uint64_t tag)
{
  const char *peers[STV_PEERS_MAX];
  mpk_writer_t w;
  size_t n = _stv_peers (s, env, key, true, peers, STV_PEERS_MAX);
  tbl_id_t id = n > 0 ? tbl_alloc (s->questions) : (tbl_id_t){ 0 };
  if (id.id == 0)
    {
      _stv_outcome_push (s, tag, NULL);
      return;
    }
  *(_stv_question_t *)tbl_get (s->questions, id)
      = (_stv_question_t){ .tag = tag, .silent = n };
  void *tmp = talloc_new (NULL);
  mpk_writer_init (&w, tmp);
  mpk_put_uint (&w, env_number_base (env) + id.id);
  mpk_put_str (&w, (buf_t){ .p = key->bytes, .n = sizeof key->bytes });
  buf_t body = mpk_done (&w);
  for (size_t i = 0; i < n; i++)
    fx_peer_send (env->fx, peers[i], MSG_STREAM_ASK, body);
  talloc_free (tmp);
  tmr_arm (env->tmr, env->now + STV_WAIT_MS, MOD_STREAM, id.id);
}

void
stv_find (stv_t *s, env_t *env, const stv_stream_t *stream, uint64_t tag)
{
  _stv_key_t key = _stv_key (stream);
  const _stv_entry_t *e = _stv_entry_find (s, env, &key);
  if (e == NULL)
    _stv_ask (s, env, &key, tag);
  else
    _stv_outcome_push (
        s, tag,
        &(stv_origin_t){ .deployment = e->deployment, .version = e->version });
}

void
stv_timer_fired (stv_t *s, env_t *env, uint64_t tag)
{
  _stv_question_end (s, env, (tbl_id_t){ .id = tag }, NULL);
}

/* -- messages ------------------------------------------------------------- */

/** Read a stream's key; false: it has another size. */
static bool
_stv_key_read (mpk_reader_t *r, _stv_key_t *key)
{
  buf_t bytes = mpk_get_str (r);
  if (bytes.n != sizeof key->bytes)
    return false;
  memcpy (key->bytes, bytes.p, sizeof key->bytes);
  return true;
}

static bool
_stv_note_received (stv_t *s, const env_t *env, mpk_reader_t *r)
{
  _stv_key_t key;
  bool has_key = _stv_key_read (r, &key);
  stv_origin_t origin = { .deployment = mpk_get_str (r).p };
  buf_t version = mpk_get_str (r);
  origin.version = version.p;
  if (!has_key || !mpk_end (r) || version.n > STV_VERSION_MAX)
    return false;
  _stv_entry_add (s, env, &key, &origin, false);
  return true;
}

static bool
_stv_ask_received (stv_t *s, env_t *env, const char *vm, mpk_reader_t *r)
{
  _stv_key_t key;
  mpk_writer_t w;
  uint64_t number = mpk_get_uint (r);
  if (!_stv_key_read (r, &key) || !mpk_end (r))
    return false;
  const _stv_entry_t *e = _stv_entry_find (s, env, &key);
  mpk_writer_init (&w, r->ctx);
  mpk_put_uint (&w, number);
  mpk_put_uint (&w, e != NULL);
  mpk_put_str (&w, buf_str (e == NULL ? "" : e->deployment));
  mpk_put_str (&w, buf_str (e == NULL ? "" : e->version));
  fx_peer_send (env->fx, vm, MSG_STREAM_TELL, mpk_done (&w));
  return true;
}

static bool
_stv_tell_received (stv_t *s, env_t *env, mpk_reader_t *r)
{
  tbl_id_t id = { .id = mpk_get_uint (r) - env_number_base (env) };
  bool known = mpk_get_uint (r) == 1;
  stv_origin_t origin = { .deployment = mpk_get_str (r).p };
  origin.version = mpk_get_str (r).p;
  if (!mpk_end (r))
    return false;
  _stv_question_t *q = tbl_get (s->questions, id);
  if (q == NULL)
    return true;
  q->silent--;
  if (known)
    _stv_question_end (s, env, id, &origin);
  else if (q->silent == 0)
    _stv_question_end (s, env, id, NULL);
  return true;
}

void
stv_message_received (stv_t *s, env_t *env, const char *vm, const msg_t *msg)
{
  void *tmp = talloc_new (NULL);
  mpk_reader_t r = mpk_reader (tmp, msg->body);
  bool good = false;
  if (msg->kind == MSG_STREAM_NOTE)
    good = _stv_note_received (s, env, &r);
  else if (msg->kind == MSG_STREAM_ASK)
    good = _stv_ask_received (s, env, vm, &r);
  else if (msg->kind == MSG_STREAM_TELL)
    good = _stv_tell_received (s, env, &r);
  if (!good)
    cnt_add (env->cnt, "rts_stream_malformed_total", "", 1);
  talloc_free (tmp);
}
