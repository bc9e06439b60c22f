/** @file
 * Directory: how often it calls the platform for changes, from which revision
 * it watches after a list of several pages, and which peers it asks.
 */
#include "core/dir.h"
#include "core/mpk.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define UPSTREAMS 71
/** All upstreams of a new fleet register within this time. */
#define START_MS (3 * CLK_SECOND)
#define INTERVAL_MS 800

typedef struct
{
  env_t *env;
  mbr_t *members;
  dir_t *dir;
  size_t effects_read;   /**< number of effects that were examined */
  fx_platform_t pending; /**< the call for upstreams in progress; call 0: none
                          */
  unsigned call_count;   /**< calls for upstreams so far */
} fixture_t;

/* Read the new effects for calls that read the list of upstreams. */
static void
_effects_read (fixture_t *fixture)
{
  for (; fixture->effects_read < fixture->env->fx->count;
       fixture->effects_read++)
    {
      const fx_t *f = &fixture->env->fx->v[fixture->effects_read];
      if (f->kind != FX_PLATFORM || f->platform.op != FX_PLATFORM_UPSTREAMS)
        continue;
      fixture->pending = f->platform;
      fixture->call_count++;
    }
}

static fixture_t
_fixture (void)
{
  fixture_t fixture = { 0 };
  fixture.env
      = env_setup (NULL, &(env_desc_t){ .vm = "n-1", .data_centre = "n" });
  fixture.members = mbr_setup (fixture.env, &(mbr_desc_t){ 0 });
  fixture.dir
      = dir_setup (fixture.env, &(dir_desc_t){ .members = fixture.members,
                                               .interval_ms = INTERVAL_MS });
  dir_start (fixture.dir, fixture.env);
  _effects_read (&fixture);
  return fixture;
}

static void
_reply (fixture_t *fixture, const ev_platform_t *reply)
{
  plt_done_t done;
  ev_platform_t numbered = *reply;
  numbered.call = fixture->pending.call;
  fixture->pending.call = 0;
  bool known = plt_reply (fixture->env, &numbered, &done);
  TST_NEED (known);
  dir_platform_replied (fixture->dir, fixture->env, &done, &numbered);
  _effects_read (fixture);
}

/* Advance the clock by MS and fire the timers that are due. */
static void
_time_advance (fixture_t *fixture, clk_ms_t ms)
{
  tmr_due_t due;
  fixture->env->now += ms;
  while (tmr_pop (fixture->env->tmr, fixture->env->now, &due))
    if (due.mod == MOD_DIRECTORY)
      dir_timer_fired (fixture->dir, fixture->env, due.tag);
  _effects_read (fixture);
}

static ev_upstream_entry_t
_entry (unsigned i, char *name, size_t size)
{
  (void)snprintf (name, size, "u-%u", i);
  return (ev_upstream_entry_t){ .name = name,
                                .deployment = "llm",
                                .data_centre = "n",
                                .address = "10.0.0.1:80" };
}

/* Upstreams of a new fleet register one by one.  A VM does not make a call for
 * each of them. */
static void
test_calls_while_upstreams_register (void)
{
  fixture_t fixture = _fixture ();
  _reply (&fixture, &(ev_platform_t){ .revision = 1 });
  unsigned registered = 0;
  for (clk_ms_t t = 0; t < START_MS; t += 10)
    {
      unsigned now = (unsigned)(t * UPSTREAMS / START_MS);
      char name[16];
      ev_upstream_entry_t e = _entry (now, name, sizeof name);
      if (fixture.pending.call != 0 && now > registered)
        {
          registered = now;
          _reply (&fixture, &(ev_platform_t){ .revision = 1 + now,
                                              .entries = &e,
                                              .entry_count = 1 });
        }
      _time_advance (&fixture, 10);
    }
  /* One read of the list, and one long poll in each interval. */
  CU_ASSERT (fixture.call_count <= 2 + START_MS / INTERVAL_MS);
  env_shutdown (fixture.env);
}

/* After a change that follows a quiet interval, the next long poll starts at
 * once. */
static void
test_single_change_is_read_at_once (void)
{
  fixture_t fixture = _fixture ();
  _reply (&fixture, &(ev_platform_t){ .revision = 1 });
  _time_advance (&fixture, CLK_SECOND);
  _time_advance (&fixture, 4 * CLK_SECOND);
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  unsigned before = fixture.call_count;
  _reply (&fixture,
          &(ev_platform_t){ .revision = 2, .entries = &e, .entry_count = 1 });
  CU_ASSERT_EQUAL (fixture.call_count, before + 1);
  CU_ASSERT_EQUAL (fixture.pending.revision, 2);
  env_shutdown (fixture.env);
}

/* A change on the first page while the second is read is in neither page.  The
 * watch therefore starts from the first page's revision. */
static void
test_paged_list_is_watched_from_its_first_page (void)
{
  fixture_t fixture = _fixture ();
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  _reply (&fixture, &(ev_platform_t){ .revision = 5,
                                      .entries = &e,
                                      .entry_count = 1,
                                      .continue_after = "u-1" });
  TST_NEED (fixture.pending.after != NULL);
  CU_ASSERT_STRING_EQUAL (fixture.pending.after, "u-1");
  e = _entry (2, name, sizeof name);
  _reply (&fixture,
          &(ev_platform_t){ .revision = 9, .entries = &e, .entry_count = 1 });
  _time_advance (&fixture, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (fixture.pending.revision, 5);
  env_shutdown (fixture.env);
}

/* Guards against an upstream that stays in use because its entry has become
 * unusable shortly after a failed call: only a missing entry may come back. */
static void
test_unusable_entry_ends_the_upstream_at_once (void)
{
  fixture_t fixture = _fixture ();
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  cfg_doc_t parts = { 0 };
  dir_document_decoded (fixture.dir, fixture.env,
                        &(ev_document_t){ .version = 7, .parts = &parts });
  _reply (&fixture,
          &(ev_platform_t){ .revision = 5, .entries = &e, .entry_count = 1 });
  CU_ASSERT (dir_changed (fixture.dir, fixture.env));
  CU_ASSERT_EQUAL (dir_doc (fixture.dir)->upstream_count, 1);
  _time_advance (&fixture, CLK_SECOND);
  _reply (&fixture, &(ev_platform_t){ .code = ST_UNAVAILABLE });
  _time_advance (&fixture, CLK_SECOND);
  e = (ev_upstream_entry_t){ .name = name, .deleted = true, .unusable = true };
  _reply (&fixture,
          &(ev_platform_t){ .revision = 6, .entries = &e, .entry_count = 1 });
  CU_ASSERT (dir_changed (fixture.dir, fixture.env));
  CU_ASSERT_EQUAL (dir_doc (fixture.dir)->upstream_count, 0);
  env_shutdown (fixture.env);
}

/* Guards against a document that is rebuilt at each heartbeat of a cold
 * upstream, and against a cold time that is lost or counted twice. */
static void
test_cold_time_does_not_rebuild (void)
{
  static const clk_ms_t beats[] = { 20000, 18800, 18800, -1, 0 };
  fixture_t fixture = _fixture ();
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  cfg_doc_t parts = { 0 };
  dir_cold_t cold;
  clk_ms_t last = 0;
  dir_document_decoded (fixture.dir, fixture.env,
                        &(ev_document_t){ .version = 7, .parts = &parts });
  for (size_t i = 0; i < sizeof beats / sizeof beats[0]; i++)
    {
      e.cold_ms = beats[i];
      _reply (&fixture, &(ev_platform_t){ .revision = 5 + i,
                                          .entries = &e,
                                          .entry_count = 1 });
      if (i == 0)
        CU_ASSERT (!dir_cold_pop (fixture.dir, &cold));
      CU_ASSERT_EQUAL (dir_changed (fixture.dir, fixture.env), i == 0);
      bool news = dir_cold_pop (fixture.dir, &cold);
      CU_ASSERT_EQUAL (news, beats[i] != last);
      if (news)
        CU_ASSERT (cold.ms == beats[i] && cold.at == fixture.env->now);
      CU_ASSERT (!dir_cold_pop (fixture.dir, &cold));
      last = beats[i];
      _time_advance (&fixture, 1200);
    }
  env_shutdown (fixture.env);
}

/* Guards against an upstream that stays cold to the end of its last cold time,
 * as its entry says otherwise together with another change. */
static void
test_cold_time_ends_with_another_change (void)
{
  fixture_t fixture = _fixture ();
  char name[16];
  ev_upstream_entry_t e = _entry (1, name, sizeof name);
  cfg_doc_t parts = { 0 };
  dir_cold_t cold;
  dir_document_decoded (fixture.dir, fixture.env,
                        &(ev_document_t){ .version = 7, .parts = &parts });
  for (uint64_t revision = 5; revision < 7; revision++)
    {
      e.cold_ms = revision == 5 ? 20000 : 0;
      e.leaving = revision == 5;
      _reply (&fixture, &(ev_platform_t){ .revision = revision,
                                          .entries = &e,
                                          .entry_count = 1 });
      CU_ASSERT (dir_changed (fixture.dir, fixture.env));
      bool news = dir_cold_pop (fixture.dir, &cold);
      CU_ASSERT (news && cold.ms == e.cold_ms);
      _time_advance (&fixture, 1200);
    }
  env_shutdown (fixture.env);
}

/* -- peers ----------------------------------------------------------------
 */

static void
_peer_says (fixture_t *fixture, const char *vm, uint16_t kind,
            uint64_t version)
{
  mpk_writer_t w;
  mpk_writer_init (&w, fixture->env);
  mpk_put_uint (&w, version);
  dir_message_received (fixture->dir, fixture->env, vm,
                        &(msg_t){ .kind = kind, .body = mpk_done (&w) });
}

/* Number of messages of KIND that were sent to VM. */
static unsigned
_sent_count (const fixture_t *fixture, const char *vm, uint16_t kind)
{
  unsigned n = 0;
  for (size_t i = 0; i < fixture->env->fx->count; i++)
    {
      const fx_t *f = &fixture->env->fx->v[i];
      n += f->kind == FX_PEER_SEND && f->peer.msg.kind == kind
           && strcmp (f->peer.vm, vm) == 0;
    }
  return n;
}

/* Guards against a VM that the platform does not serve and that keeps the old
 * configuration, because the one peer that it asked for the newer one did not
 * answer. */
static void
test_each_peer_with_a_newer_document_is_asked (void)
{
  fixture_t fixture = _fixture ();
  _peer_says (&fixture, "n-2", MSG_DIRECTORY_VERSION, 7);
  _peer_says (&fixture, "n-3", MSG_DIRECTORY_VERSION, 7);
  _peer_says (&fixture, "n-3", MSG_DIRECTORY_VERSION, 7);
  _peer_says (&fixture, "n-4", MSG_DIRECTORY_VERSION, 6);
  _time_advance (&fixture, CLK_SECOND);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-2", MSG_DIRECTORY_REQUEST), 1);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-3", MSG_DIRECTORY_REQUEST), 0);
  for (unsigned i = 0; i < 10; i++)
    _time_advance (&fixture, CLK_SECOND);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-2", MSG_DIRECTORY_REQUEST), 1);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-3", MSG_DIRECTORY_REQUEST), 1);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-4", MSG_DIRECTORY_REQUEST), 0);
  env_shutdown (fixture.env);
}

/* Guards against a request for a document that this VM has got meanwhile. */
static void
test_no_peer_is_asked_for_a_known_document (void)
{
  fixture_t fixture = _fixture ();
  _peer_says (&fixture, "n-2", MSG_DIRECTORY_VERSION, 7);
  _peer_says (&fixture, "n-3", MSG_DIRECTORY_VERSION, 7);
  _time_advance (&fixture, CLK_SECOND);
  cfg_doc_t parts = { 0 };
  dir_document_decoded (fixture.dir, fixture.env,
                        &(ev_document_t){ .version = 7, .parts = &parts });
  CU_ASSERT_EQUAL (dir_version (fixture.dir), 7);
  for (unsigned i = 0; i < 10; i++)
    _time_advance (&fixture, CLK_SECOND);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-3", MSG_DIRECTORY_REQUEST), 0);
  env_shutdown (fixture.env);
}

/* Guards against a VM that keeps an old document, because the message with the
 * newer version was lost: whoever hears of an older one says its own. */
static void
test_older_version_is_answered (void)
{
  fixture_t fixture = _fixture ();
  dir_peer_up (fixture.dir, fixture.env, "n-2");
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-2", MSG_DIRECTORY_VERSION), 1);
  cfg_doc_t parts = { 0 };
  dir_document_decoded (fixture.dir, fixture.env,
                        &(ev_document_t){ .version = 7, .parts = &parts });
  _peer_says (&fixture, "n-3", MSG_DIRECTORY_VERSION, 6);
  _peer_says (&fixture, "n-4", MSG_DIRECTORY_VERSION, 7);
  _peer_says (&fixture, "n-5", MSG_DIRECTORY_VERSION, 8);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-3", MSG_DIRECTORY_VERSION), 1);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-4", MSG_DIRECTORY_VERSION), 0);
  CU_ASSERT_EQUAL (_sent_count (&fixture, "n-5", MSG_DIRECTORY_VERSION), 0);
  env_shutdown (fixture.env);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "calls_while_upstreams_register", test_calls_while_upstreams_register },
    { "single_change_is_read_at_once", test_single_change_is_read_at_once },
    { "paged_list_is_watched_from_its_first_page",
      test_paged_list_is_watched_from_its_first_page },
    { "unusable_entry_ends_the_upstream_at_once",
      test_unusable_entry_ends_the_upstream_at_once },
    { "cold_time_does_not_rebuild", test_cold_time_does_not_rebuild },
    { "cold_time_ends_with_another_change",
      test_cold_time_ends_with_another_change },
    { "each_peer_with_a_newer_document_is_asked",
      test_each_peer_with_a_newer_document_is_asked },
    { "older_version_is_answered", test_older_version_is_answered },
    { "no_peer_is_asked_for_a_known_document",
      test_no_peer_is_asked_for_a_known_document },
  };
  return tst_run ("dir", cases, sizeof cases / sizeof cases[0]);
}
