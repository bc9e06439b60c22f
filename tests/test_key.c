/** @file
 * API keys: the customer of a key, withdrawals during outages and partitions,
 * and removal of keys from requests that go upstream.
 */
#include "cfs_fleet.h"
#include "tst.h"

#define SEEDS 5
#define SECRET "kvist-Secret_42"

static char *
key_section (void *ctx, const char *name, const char *secret)
{
  char hash[KEY_HASH_SIZE + 1];
  key_hash (secret, hash);
  return talloc_asprintf (
      ctx, "[key %s]\nowner = t\ncustomer = c\nsha256 = %s\n", name, hash);
}

/* A fleet with customer c and keys k0 to k9 whose secrets are s0 to s9. */
static fleet_t *
fleet (unsigned vms, uint32_t seed)
{
  fleet_t *f = fleet_setup (NULL, &(fleet_desc_t){ .vms = vms, .seed = seed });
  fleet_run (f, 2 * CLK_SECOND);
  char *text
      = talloc_strdup (f, "[customer c]\nowner = t\nrate = 1/s\nburst = 1\n");
  for (int i = 0; i < 10; i++)
    {
      char *name = talloc_asprintf (f, "k%d", i);
      char *secret = talloc_asprintf (f, "s%d", i);
      text = talloc_strdup_append (text, key_section (f, name, secret));
    }
  (void)fleet_apply (f, 0, &(cfs_change_t){ .text = buf_str (text) });
  fleet_run (f, 4 * CLK_SECOND);
  for (unsigned i = 0; i < vms; i++)
    CU_ASSERT_EQUAL (cfs_version (f->vm[i].cfs), 1);
  return f;
}

static bool
works (fleet_t *f, unsigned vm, const char *secret)
{
  fleet_vm_t *v = &f->vm[vm];
  return key_check (v->key, v->env, cfs_doc (v->cfs), secret) != NULL;
}

static const char *
withdraw (fleet_t *f, unsigned vm, const char *name)
{
  fleet_vm_t *v = &f->vm[vm];
  const char *sha256 = NULL;
  v->env->now = f->now;
  CU_ASSERT_EQUAL (
      key_withdraw (v->key, v->env, cfs_doc (v->cfs), name, &sha256), ST_OK);
  fleet_effects_run (f, vm);
  return talloc_strdup (f, sha256);
}

static void
test_key_belongs_to_its_customer (void)
{
  fleet_t *f = fleet (2, 1);
  fleet_vm_t *v = &f->vm[1];
  const cfg_key_t *key = key_check (v->key, v->env, cfs_doc (v->cfs), "s3");
  CU_ASSERT_PTR_NOT_NULL_FATAL (key);
  if (key == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (key->name, "k3");
  CU_ASSERT_STRING_EQUAL (key->customer, "c");
  CU_ASSERT_FALSE (works (f, 1, "s10"));
  CU_ASSERT_FALSE (works (f, 1, ""));
  CU_ASSERT_FALSE (works (f, 1, NULL));
  CU_ASSERT_FALSE (works (f, 1, key->sha256));
  CU_ASSERT_PTR_NULL (key_check (v->key, v->env, NULL, "s3"));
  fleet_shutdown (f);
}

static void
test_withdrawal_reaches_all_within_2_s (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f = fleet (8, seed);
      const char *sha256 = withdraw (f, seed, "k3");
      CU_ASSERT_FALSE (works (f, seed, "s3"));
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 0; i < 8; i++)
        {
          CU_ASSERT_FALSE (works (f, i, "s3"));
          CU_ASSERT (works (f, i, "s4"));
          CU_ASSERT (
              key_confirmed_by (f->vm[seed].key, sha256, f->vm[i].name));
          const char *name = NULL;
          CU_ASSERT (key_withdrawn_pop (f->vm[i].key, &name));
          CU_ASSERT_STRING_EQUAL (name, "k3");
          CU_ASSERT_FALSE (key_withdrawn_pop (f->vm[i].key, &name));
        }
      CU_ASSERT (key_stored (f->vm[seed].key, sha256));
      /* The withdrawal overrides every document, also a later one. */
      char *text = key_section (f, "again", "s3");
      text = talloc_asprintf (f, "[key k3]\n%s", text);
      (void)fleet_apply (f, 2,
                         &(cfs_change_t){ .text = buf_str (text), .base = 1 });
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 0; i < 8; i++)
        {
          CU_ASSERT_PTR_NOT_NULL (
              cfg_key_find_name (cfs_doc (f->vm[i].cfs), "again"));
          CU_ASSERT_FALSE (works (f, i, "s3"));
        }
      fleet_shutdown (f);
    }
}

static void
test_withdrawal_during_outage (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f = fleet (6, seed);
      fleet_platform_stop (f);
      const char *sha256 = withdraw (f, 4, "k1");
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 0; i < 6; i++)
        CU_ASSERT_FALSE (works (f, i, "s1"));
      CU_ASSERT_FALSE (key_stored (f->vm[4].key, sha256));
      /* A VM that starts now learns the withdrawal from its peers. */
      fleet_start (f, 5);
      fleet_run (f, 2 * CLK_SECOND);
      CU_ASSERT (works (f, 5, "s2"));
      CU_ASSERT_FALSE (works (f, 5, "s1"));
      /* The VM that got the request is lost; a relay writes the object. */
      fleet_stop (f, 4);
      f->platform_down = false;
      fleet_run (f, 15 * CLK_SECOND);
      CU_ASSERT (g_hash_table_contains (
          f->objects, talloc_asprintf (f, "keys/withdrawn/%s", sha256)));
      for (unsigned i = 0; i < 6; i++)
        fleet_stop (f, i);
      fleet_start (f, 3);
      fleet_run (f, 5 * CLK_SECOND);
      CU_ASSERT (works (f, 3, "s2"));
      CU_ASSERT_FALSE (works (f, 3, "s1"));
      fleet_shutdown (f);
    }
}

static void
test_withdrawal_across_partition (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      fleet_t *f = fleet (6, seed);
      fleet_platform_stop (f);
      for (unsigned i = 1; i < 6; i += 2)
        f->vm[i].partition = 1;
      const char *here = withdraw (f, 0, "k1");
      const char *there = withdraw (f, 1, "k2");
      fleet_run (f, 2 * CLK_SECOND);
      for (unsigned i = 0; i < 6; i++)
        {
          bool left = i % 2 == 0;
          CU_ASSERT_EQUAL (works (f, i, "s1"), !left);
          CU_ASSERT_EQUAL (works (f, i, "s2"), left);
          CU_ASSERT_EQUAL (
              key_confirmed_by (f->vm[0].key, here, f->vm[i].name), left);
          CU_ASSERT_EQUAL (
              key_confirmed_by (f->vm[1].key, there, f->vm[i].name), !left);
        }
      for (unsigned i = 0; i < 6; i++)
        f->vm[i].partition = 0;
      fleet_run (f, 6 * CLK_SECOND);
      for (unsigned i = 0; i < 6; i++)
        {
          CU_ASSERT_FALSE (works (f, i, "s1"));
          CU_ASSERT_FALSE (works (f, i, "s2"));
          CU_ASSERT (key_confirmed_by (f->vm[0].key, here, f->vm[i].name));
        }
      fleet_shutdown (f);
    }
}

/* The VM that got the request is lost: when the request is repeated on another
 * VM, the confirmations go there. */
static void
test_withdrawal_requested_again (void)
{
  fleet_t *f = fleet (6, 2);
  const char *sha256 = withdraw (f, 1, "k1");
  fleet_run (f, 10 * CLK_SECOND);
  fleet_stop (f, 1);
  CU_ASSERT_FALSE (key_confirmed_by (f->vm[2].key, sha256, f->vm[3].name));
  (void)withdraw (f, 2, "k1");
  fleet_run (f, 2 * CLK_SECOND);
  for (unsigned i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (key_confirmed_by (f->vm[2].key, sha256, f->vm[i].name),
                     i != 1);
  CU_ASSERT_EQUAL (key_withdrawn_count (f->vm[2].key), 1);
  /* A VM collects confirmations only for the last withdrawals requested. */
  char hash[KEY_HASH_SIZE + 1];
  for (int i = 0; i < 100; i++)
    {
      key_hash (talloc_asprintf (f, "gone-%d", i), hash);
      (void)withdraw (f, 2, hash);
    }
  fleet_run (f, 2 * CLK_SECOND);
  CU_ASSERT_FALSE (key_confirmed_by (f->vm[2].key, sha256, f->vm[3].name));
  CU_ASSERT (key_confirmed_by (f->vm[2].key, hash, f->vm[3].name));
  fleet_shutdown (f);
}

/* The platform is the only connection between two halves of the fleet. */
static void
test_withdrawal_over_the_platform (void)
{
  fleet_t *f = fleet (6, 3);
  for (unsigned i = 1; i < 6; i += 2)
    f->vm[i].partition = 1;
  (void)withdraw (f, 0, "k1");
  fleet_run (f, 2 * CLK_SECOND);
  for (unsigned i = 0; i < 6; i++)
    CU_ASSERT_FALSE (works (f, i, "s1"));
  fleet_shutdown (f);
}

static void
test_unknown_keys_leave_nothing (void)
{
  fleet_t *f = fleet (2, 1);
  fleet_vm_t *v = &f->vm[1];
  (void)works (f, 1, "warm");
  size_t before = talloc_total_size (v->ctx);
  uint64_t calls = f->calls;
  char secret[32];
  for (int i = 0; i < 20000; i++)
    {
      g_snprintf (secret, sizeof secret, "guess-%d", i);
      CU_ASSERT_FALSE (works (f, 1, secret));
    }
  CU_ASSERT_EQUAL (talloc_total_size (v->ctx), before);
  CU_ASSERT_EQUAL (v->env->fx->count, 0);
  CU_ASSERT_EQUAL (f->calls, calls);
  CU_ASSERT (
      cnt_value (v->env->cnt, "rts_key_checks_total", "outcome=\"unknown\"")
      >= 20000);
  char *huge = talloc_zero_array (f, char, 1000000);
  memset (huge, 'x', 999999);
  CU_ASSERT_FALSE (works (f, 1, huge));
  fleet_shutdown (f);
}

static void
test_garbage_messages_are_dropped (void)
{
  fleet_t *f = fleet (2, 1);
  fleet_vm_t *v = &f->vm[1];
  char bytes[64];
  for (unsigned n = 0; n < 4000; n++)
    {
      for (size_t i = 0; i < sizeof bytes; i++)
        bytes[i] = (char)g_rand_int_range (f->rand, 0, n % 2 ? 256 : 8);
      msg_t msg = { .kind = (uint16_t)(MSG_KEY_FIRST + n % 6),
                    .body = { .p = bytes, .n = n % sizeof bytes } };
      key_message_received (v->key, v->env, f->vm[0].name, &msg);
      fleet_effects_run (f, 1);
    }
  CU_ASSERT_EQUAL (key_withdrawn_count (v->key), 0);
  CU_ASSERT (works (f, 1, "s1"));
  fleet_shutdown (f);
}

/* -- requests that go upstream -------------------------------------------- */

static bool
contains_secret (http_headers_t headers, const char *query)
{
  for (size_t i = 0; i < headers.n; i++)
    {
      if (strstr (headers.v[i].value, SECRET) != NULL)
        return true;
    }
  return strstr (query, SECRET) != NULL
         || strstr (query, "kvist-Secret%5F42") != NULL;
}

static void
test_key_is_found_and_stripped (void)
{
  static const struct
  {
    const char *name;
    const char *value;
    const char *query;
    const char *key;
    const char *query_left;
  } cases[] = {
    { "Authorization", "Bearer " SECRET, "", SECRET, "" },
    { "authorization", "bearer   " SECRET "  ", "a=1", SECRET, "a=1" },
    { "X-API-KEY", " " SECRET, "a=1&b", SECRET, "a=1&b" },
    { "Accept", "*/*", "api_key=" SECRET, SECRET, "" },
    { "Accept", "*/*", "x=1&api_key=" SECRET "&y=2", SECRET, "x=1&y=2" },
    { "Accept", "*/*", "API%5FKEY=kvist-Secret%5F42&y=2", SECRET, "y=2" },
    { "Authorization", "Bearer " SECRET, "api_key=other&q=" SECRET, SECRET,
      "" },
    { "Cookie", "k=" SECRET, "api_key=" SECRET, SECRET, "" },
    { "Authorization", "Basic abc", "", NULL, "" },
    { "Authorization", "Bearer ", "", NULL, "" },
    { "Accept", "*/*", "api_keys=1&&c=%zz", NULL, "api_keys=1&c=%zz" },
    { "X-Api-Key", "", "", NULL, "" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      http_header_t v[] = { { "Host", "entry" },
                            { cases[i].name, cases[i].value },
                            { "Content-Type", "application/json" } };
      http_headers_t headers = { .v = v, .n = 3 };
      char *key = key_extract (ctx, headers, cases[i].query);
      CU_ASSERT_EQUAL (g_strcmp0 (key, cases[i].key), 0);
      http_headers_t left = key_strip_headers (ctx, headers, key);
      char *query = key_strip_query (ctx, cases[i].query, key);
      CU_ASSERT_STRING_EQUAL (query, cases[i].query_left);
      CU_ASSERT_FALSE (contains_secret (left, query));
      CU_ASSERT_PTR_NOT_NULL (http_header_find (left, "Content-Type"));
      CU_ASSERT_PTR_NOT_NULL (http_header_find (left, "Host"));
      talloc_free (ctx);
    }
}

static void
test_key_is_stripped_from_random_requests (void)
{
  static const char *const names[]
      = { "Authorization", "X-Api-Key", "Cookie", "Accept", "X-Trace" };
  static const char *const values[]
      = { "Bearer " SECRET, SECRET, "a", "Basic " SECRET, "" };
  static const char *const fields[]
      = { "api_key=" SECRET,    "a=1",       "&",
          "b=" SECRET,          "Api_Key=z", "api%5fkey",
          "c=kvist-Secret%5F42" };
  GRand *rand = g_rand_new_with_seed (7);
  for (int n = 0; n < 2000; n++)
    {
      void *ctx = talloc_new (NULL);
      http_header_t v[4];
      for (int i = 0; i < 4; i++)
        v[i] = (http_header_t){ names[g_rand_int_range (rand, 0, 5)],
                                values[g_rand_int_range (rand, 0, 5)] };
      char *query = talloc_strdup (ctx, "");
      for (int i = g_rand_int_range (rand, 0, 5); i > 0; i--)
        query = talloc_asprintf_append (query, "%s&",
                                        fields[g_rand_int_range (rand, 0, 7)]);
      http_headers_t headers = { .v = v, .n = 4 };
      char *key = key_extract (ctx, headers, query);
      if (key != NULL && strcmp (key, SECRET) == 0)
        CU_ASSERT_FALSE (
            contains_secret (key_strip_headers (ctx, headers, key),
                             key_strip_query (ctx, query, key)));
      talloc_free (ctx);
    }
  g_rand_free (rand);
}

static void
test_outgoing_data_holds_no_key (void)
{
  fleet_t *f = fleet (2, 1);
  fleet_vm_t *v = &f->vm[0];
  const char *sha256;
  v->env->now = f->now;
  CU_ASSERT_FALSE (works (f, 0, SECRET));
  CU_ASSERT_EQUAL (
      key_withdraw (v->key, v->env, cfs_doc (v->cfs), SECRET, &sha256),
      ST_NOT_FOUND);
  CU_ASSERT_EQUAL (
      key_withdraw (v->key, v->env, cfs_doc (v->cfs), "k1", &sha256), ST_OK);
  for (size_t i = 0; i < v->env->fx->count; i++)
    {
      const fx_t *fx = &v->env->fx->v[i];
      buf_t b
          = fx->kind == FX_PLATFORM ? fx->platform.value : fx->peer.msg.body;
      CU_ASSERT_PTR_NULL (memmem (b.p, b.n, SECRET, strlen (SECRET)));
    }
  char *line = tln_format (f, v->env->tln, "x");
  CU_ASSERT_PTR_NULL (strstr (line, SECRET));
  char *metrics = cnt_format (f, v->env->cnt);
  CU_ASSERT_PTR_NULL (strstr (metrics, SECRET));
  fleet_shutdown (f);
}

/* -- randomised ----------------------------------------------------------- */

/* Whether the platform or a VM other than VM holds the withdrawal. */
static bool
held_elsewhere (fleet_t *f, unsigned vm, const char *sha256)
{
  char *object = talloc_asprintf (f, "keys/withdrawn/%s", sha256);
  bool held = g_hash_table_contains (f->objects, object);
  for (unsigned i = 0; i < f->desc.vms; i++)
    held = held || (i != vm && key_withdrawn (f->vm[i].key, sha256));
  return held;
}

static void
random_fault (fleet_t *f, char hash[10][KEY_HASH_SIZE + 1])
{
  unsigned i = (unsigned)g_rand_int_range (f->rand, 0, (gint32)f->desc.vms);
  switch (g_rand_int_range (f->rand, 0, 6))
    {
    case 0:
      fleet_platform_stop (f);
      break;
    case 1:
      f->platform_down = false;
      break;
    case 2:
      f->vm[i].partition = 1;
      break;
    case 3:
      f->vm[i].platform_cut = !f->vm[i].platform_cut;
      break;
    case 4:
      /* A withdrawal that only this VM holds would be lost with it; this test
       * does not restart such a VM. */
      for (int k = 0; k < 10; k++)
        {
          if (key_withdrawn (f->vm[i].key, hash[k])
              && !held_elsewhere (f, i, hash[k]))
            return;
        }
      fleet_start (f, i);
      break;
    default:
      for (unsigned k = 0; k < f->desc.vms; k++)
        f->vm[k].partition = 0;
      break;
    }
}

static void
random_heal (fleet_t *f)
{
  f->platform_down = false;
  f->lose_response = f->lose_message = 0;
  for (unsigned k = 0; k < f->desc.vms; k++)
    {
      f->vm[k].partition = 0;
      f->vm[k].platform_cut = false;
    }
  fleet_run (f, 20 * CLK_SECOND);
}

/* After random outages, partitions and restarts, each withdrawn key is refused
 * on all VMs and recorded in the platform, and the other keys work. */
static void
test_randomised (void)
{
  const char *more = g_getenv ("RTS_SEEDS");
  uint32_t seeds = more ? (uint32_t)g_ascii_strtoull (more, NULL, 10) : 10;
  for (uint32_t seed = 1; seed <= seeds; seed++)
    {
      fleet_t *f = fleet (6, seed);
      char hash[10][KEY_HASH_SIZE + 1];
      for (int k = 0; k < 10; k++)
        key_hash (talloc_asprintf (f, "s%d", k), hash[k]);
      f->lose_response = 0.2;
      f->lose_message = 0.1;
      f->watch_lag = 3 * CLK_SECOND;
      bool withdrawn[10] = { false };
      for (int step = 0; step < 60; step++)
        {
          unsigned vm = (unsigned)g_rand_int_range (f->rand, 0, 6);
          int k = g_rand_int_range (f->rand, 0, 9);
          if (step % 5 == 0 && cfs_doc (f->vm[vm].cfs) != NULL)
            {
              (void)withdraw (f, vm, talloc_asprintf (f, "k%d", k));
              CU_ASSERT_FALSE (works (f, vm, talloc_asprintf (f, "s%d", k)));
              withdrawn[k] = true;
            }
          random_fault (f, hash);
          fleet_run (f, g_rand_int_range (f->rand, 1, 900));
        }
      random_heal (f);
      for (int k = 0; k < 10; k++)
        {
          const char *secret = talloc_asprintf (f, "s%d", k);
          for (unsigned i = 0; i < 6; i++)
            CU_ASSERT_EQUAL (works (f, i, secret), !withdrawn[k]);
          CU_ASSERT_EQUAL (
              g_hash_table_contains (
                  f->objects,
                  talloc_asprintf (f, "keys/withdrawn/%s", hash[k])),
              withdrawn[k]);
        }
      fleet_shutdown (f);
    }
}

/* In a large fleet without the platform, a withdrawal reaches all VMs, and all
 * confirm it, within 2 s. */
static void
test_420_vms (void)
{
  fleet_t *f = fleet_setup (
      NULL, &(fleet_desc_t){ .vms = 420, .centres = 4, .seed = 1 });
  fleet_run (f, 1 * CLK_SECOND);
  fleet_platform_stop (f);
  char hash[KEY_HASH_SIZE + 1];
  key_hash (SECRET, hash);
  const char *sha256 = withdraw (f, 7, hash);
  fleet_run (f, 2 * CLK_SECOND);
  unsigned held = 0;
  unsigned confirmed = 0;
  for (unsigned i = 0; i < 420; i++)
    {
      held += key_withdrawn (f->vm[i].key, hash);
      confirmed += key_confirmed_by (f->vm[7].key, sha256, f->vm[i].name);
    }
  CU_ASSERT_EQUAL (held, 420);
  CU_ASSERT_EQUAL (confirmed, 420);
  fleet_shutdown (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "key_belongs_to_its_customer", test_key_belongs_to_its_customer },
    { "withdrawal_reaches_all_within_2_s",
      test_withdrawal_reaches_all_within_2_s },
    { "withdrawal_during_outage", test_withdrawal_during_outage },
    { "withdrawal_across_partition", test_withdrawal_across_partition },
    { "withdrawal_requested_again", test_withdrawal_requested_again },
    { "withdrawal_over_the_platform", test_withdrawal_over_the_platform },
    { "unknown_keys_leave_nothing", test_unknown_keys_leave_nothing },
    { "garbage_messages_are_dropped", test_garbage_messages_are_dropped },
    { "key_is_found_and_stripped", test_key_is_found_and_stripped },
    { "key_is_stripped_from_random_requests",
      test_key_is_stripped_from_random_requests },
    { "outgoing_data_holds_no_key", test_outgoing_data_holds_no_key },
    { "randomised", test_randomised },
    { "420_vms", test_420_vms },
  };
  return tst_run ("key", cases, sizeof cases / sizeof cases[0]);
}
