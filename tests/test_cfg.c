/** @file
 * Tests of the configuration document: values, references, faults, lookups,
 * sizes.
 */
#include "core/cfg.h"
#include "tst.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define HASH_A                                                                \
  "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

static const char good[] = "# fleet\n"
                           "[data-centre jy-vejle]\n"
                           "owner = platform\n"
                           "[customer kvist-roster]\n"
                           "owner = accounts\n"
                           "rate = 90/min\n"
                           "burst=80\n"
                           "[key kvist-1]\n"
                           "owner = accounts\n"
                           "customer = kvist-roster\n"
                           "sha256 = " HASH_A "\n"
                           "[deployment snit-llm]\n"
                           "owner = models\n"
                           "kind = engine\n"
                           "slots = 8\n"
                           "checks_fencing = yes\n"
                           "[upstream snit-1]\n"
                           "owner = models\n"
                           "deployment = snit-llm\n"
                           "data_centre = jy-vejle\n"
                           "address = 127.0.0.1:7101\n"
                           "[route  POST   /v1/completions]\n"
                           "owner = models\n"
                           "deployment = snit-llm\n"
                           "idempotent = yes\n"
                           "deadline = 250 ms\n"
                           "[route GET /notes/*]\n"
                           "owner = models\n"
                           "deployment = snit-llm\n"
                           "open = yes\n";

static cfg_doc_t *
parse (void *ctx, const char *text)
{
  cfg_doc_t *doc = NULL;
  st_t st = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_parse (ctx, buf_str (text), &doc, &st), ST_OK);
  return doc;
}

static void
test_values_and_defaults (void)
{
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = parse (ctx, good);
  TST_NEED (doc != NULL);
  const cfg_customer_t *c = cfg_customer_find (doc, "kvist-roster");
  TST_NEED (c != NULL);
  CU_ASSERT_DOUBLE_EQUAL (c->rate, 1.5, 1e-9);
  CU_ASSERT_EQUAL (c->burst, 80);
  CU_ASSERT_EQUAL (c->weight, 1);
  CU_ASSERT_STRING_EQUAL (c->owner, "accounts");
  const cfg_deployment_t *d = cfg_deployment_find (doc, "snit-llm");
  TST_NEED (d != NULL);
  CU_ASSERT (d->kind == CFG_ENGINE && d->checks_fencing && d->slots == 8);
  const cfg_upstream_t *u = cfg_upstream_find (doc, "snit-1");
  TST_NEED (u != NULL);
  CU_ASSERT (!u->leaving && strcmp (u->address, "127.0.0.1:7101") == 0);
  CU_ASSERT_STRING_EQUAL (cfg_key_find (doc, HASH_A)->name, "kvist-1");
  CU_ASSERT_STRING_EQUAL (cfg_key_find_name (doc, "kvist-1")->sha256, HASH_A);
  CU_ASSERT_PTR_NULL (cfg_customer_find (doc, "kvist"));
  talloc_free (ctx);
}

static void
test_routes_exact_then_below (void)
{
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = parse (ctx, good);
  TST_NEED (doc != NULL);
  const cfg_route_t *r = cfg_route_find (doc, "POST", "/v1/completions");
  TST_NEED (r != NULL);
  CU_ASSERT (r->idempotent && !r->open && r->deadline_ms == 250);
  CU_ASSERT_PTR_NULL (cfg_route_find (doc, "GET", "/v1/completions"));
  r = cfg_route_find (doc, "GET", "/notes/7/pins");
  TST_NEED (r != NULL);
  CU_ASSERT (r->open && r->deadline_ms == 30 * CLK_SECOND);
  CU_ASSERT_PTR_NULL (cfg_route_find (doc, "GET", "/notes"));
  CU_ASSERT_PTR_NULL (cfg_route_find (doc, "GET", ""));
  char *wide = talloc_zero_array (ctx, char, 5000);
  memset (wide, '/', 4999);
  CU_ASSERT_PTR_NULL (cfg_route_find (doc, "GET", wide));
  talloc_free (ctx);
}

/* Check that TEXT is refused with a fault of KEY in SECTION. */
static void
refused (const char *text, const char *section, const char *key)
{
  void *ctx = talloc_new (NULL);
  cfg_doc_t *doc = NULL;
  cfg_faults_t faults = { 0 };
  CU_ASSERT_EQUAL (cfg_doc_check (ctx, buf_str (text), &doc, &faults),
                   ST_INVALID);
  CU_ASSERT_PTR_NULL (doc);
  bool found = false;
  for (size_t i = 0; i < faults.count; i++)
    found = found
            || (strcmp (faults.v[i].section, section) == 0
                && strcmp (faults.v[i].key, key) == 0);
  if (!found)
    g_print ("no fault [%s] %s in: %s\n", section, key, text);
  CU_ASSERT (found);
  talloc_free (ctx);
}

static void
test_each_fault_is_found (void)
{
#define CUSTOMER "[customer a]\nowner = t\nburst = 1\n"
  static const char *const rates[]
      = { "40",        "40/h",  "40 s",  "-1/s",     "0/s", "nan/s",
          "0x10/s",    "1e3/s", "/s",    "2e9/s",    "",    "1.2.3/s",
          "40/s # ok", "1/s/s", "inf/s", "1000001/s" };
  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      char *text = g_strdup_printf (CUSTOMER "rate = %s\n", rates[i]);
      refused (text, "customer a", "rate");
      g_free (text);
    }
  refused (CUSTOMER, "customer a", "rate");
  refused (CUSTOMER "rate = 1/s\nrate = 1/s\n", "customer a", "rate");
  refused (CUSTOMER "rate = 1/s\ncolour = red\n", "customer a", "colour");
  refused ("[customer a]\nrate = 1/s\nburst = 1\n", "customer a", "owner");
  refused (CUSTOMER "rate = 1/s\n" CUSTOMER "rate = 1/s\n", "customer a", "");
  refused ("[tailor a]\nowner = t\n", "tailor a", "");
  refused ("[customer]\nowner = t\n", "customer", "");
  refused ("[customer a b]\nowner = t\n", "customer a b", "");
  refused ("owner = t\n", "", "");
  refused (CUSTOMER "rate = 1/s\nburst\n", "customer a", "");
  refused ("[key k]\nowner = t\ncustomer = a\nsha256 = " HASH_A "\n", "key k",
           "customer");
  refused ("[key k]\nowner = t\nsha256 = ABC\n", "key k", "sha256");
  refused (CUSTOMER "rate = 1/s\n"
                    "[key k]\nowner = t\ncustomer = a\nsha256 = " HASH_A "\n"
                    "[key l]\nowner = t\ncustomer = a\nsha256 = " HASH_A "\n",
           "key l", "sha256");
  refused ("[upstream u]\nowner = t\naddress = localhost:80\n", "upstream u",
           "address");
  refused ("[upstream u]\nowner = t\naddress = 10.0.0.1:0\n", "upstream u",
           "address");
  refused ("[upstream u]\nowner = t\nleaving = true\n", "upstream u",
           "leaving");
  refused ("[deployment d]\nowner = t\nkind = llm\n", "deployment d", "kind");
  refused ("[deployment d]\nowner = t\nslots = 1.5\n", "deployment d",
           "slots");
  refused ("[route POST orders]\nowner = t\n", "route POST orders", "");
  refused ("[route post /a]\nowner = t\n", "route post /a", "");
  refused ("[route GET /a*]\nowner = t\n", "route GET /a*", "");
  refused ("[route GET /a]\nowner = t\ndeadline = 2 h\n", "route GET /a",
           "deadline");
  refused ("\xff\xfe", "", "");
}

static void
test_all_faults_are_reported (void)
{
  void *ctx = talloc_new (NULL);
  cfg_doc_t *doc = NULL;
  cfg_faults_t faults = { 0 };
  const char *text = "[customer a]\n"
                     "rate = 40\n"
                     "burst = 0\n"
                     "\n"
                     "[key k]\n"
                     "owner = t\n"
                     "customer = b\n";
  CU_ASSERT_EQUAL (cfg_doc_check (ctx, buf_str (text), &doc, &faults),
                   ST_INVALID);
  CU_ASSERT_EQUAL (faults.count, 5);
  char *all = talloc_strdup (ctx, "");
  for (size_t i = 0; i < faults.count; i++)
    all = talloc_asprintf_append (
        all, "%s\n", cfg_fault_format (ctx, &faults.v[i], "a.ini"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (all, "a.ini:1: [customer a] rate: found \"40\", expected "
                   "requests a second or minute"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (all, "a.ini:5: [key k] customer: found \"b\", expected the "
                   "name of a [customer NAME] section"));
  talloc_free (ctx);
}

static void
test_sizes_are_capped (void)
{
  GString *s = g_string_new ("[deployment d]\nowner = t\nmodel = ");
  for (int i = 0; i < CFG_SECTION_MAX; i++)
    g_string_append_c (s, 'x');
  refused (s->str, "deployment d", "");
  g_string_truncate (s, 0);
  for (int i = 0; i < 2000; i++)
    g_string_append_printf (s, "[nothing n%d]\n", i);
  void *ctx = talloc_new (NULL);
  cfg_doc_t *doc = NULL;
  cfg_faults_t faults = { 0 };
  (void)cfg_doc_check (ctx, (buf_t){ s->str, s->len }, &doc, &faults);
  CU_ASSERT_EQUAL (faults.count, CFG_FAULTS_MAX);
  CU_ASSERT_EQUAL (faults.more, 2000 - CFG_FAULTS_MAX);
  faults = (cfg_faults_t){ 0 };
  CU_ASSERT_EQUAL (
      cfg_doc_check (ctx, (buf_t){ s->str, CFG_TEXT_MAX + 1 }, &doc, &faults),
      ST_INVALID);
  talloc_free (ctx);
  g_string_free (s, TRUE);
}

/* A document of the size expected in two years, 3800 customers and 8000 keys,
   is accepted, and its last key is found. */
static void
test_target_size (void)
{
  GString *s = g_string_new ("");
  for (int i = 0; i < 3800; i++)
    g_string_append_printf (
        s, "[customer c%d]\nowner = t\nrate = 1/s\nburst = 2\n", i);
  for (int i = 0; i < 8000; i++)
    g_string_append_printf (
        s, "[key k%d]\nowner = t\ncustomer = c%d\nsha256 = %064x\n", i,
        i % 3800, (unsigned)i);
  void *ctx = talloc_new (NULL);
  const cfg_doc_t *doc = parse (ctx, s->str);
  TST_NEED (doc != NULL);
  CU_ASSERT_EQUAL (doc->customer_count, 3800);
  char hash[65];
  g_snprintf (hash, sizeof hash, "%064x", 7999U);
  CU_ASSERT_STRING_EQUAL (cfg_key_find (doc, hash)->customer, "c399");
  talloc_free (ctx);
  g_string_free (s, TRUE);
}

/* Whether both documents have the same content in the same order. */
static bool
same_doc (const cfg_doc_t *a, const cfg_doc_t *b)
{
  bool same = a->customer_count == b->customer_count
              && a->key_count == b->key_count
              && a->data_centre_count == b->data_centre_count;
  for (size_t i = 0; same && i < a->customer_count; i++)
    same = strcmp (a->customers[i].name, b->customers[i].name) == 0
           && a->customers[i].rate == b->customers[i].rate;
  for (size_t i = 0; same && i < a->key_count; i++)
    same = strcmp (a->keys[i].name, b->keys[i].name) == 0
           && strcmp (a->keys[i].customer, b->keys[i].customer) == 0
           && cfg_key_find (a, b->keys[i].sha256) == &a->keys[i]
           && cfg_key_find_name (a, b->keys[i].name) == &a->keys[i];
  return same;
}

/* A random section: a customer, or a key whose customer may not exist. */
static char *
random_section (void *ctx, GRand *rand, char **name)
{
  int i = g_rand_int_range (rand, 0, 8);
  if (g_rand_boolean (rand))
    {
      *name = talloc_asprintf (ctx, "customer c%d", i);
      return talloc_asprintf (ctx, "[%s]\nowner = t\nrate = %d/s\nburst = 1\n",
                              *name, g_rand_int_range (rand, 0, 9));
    }
  *name = talloc_asprintf (ctx, "key k%d", i);
  return talloc_asprintf (
      ctx, "[%s]\nowner = t\ncustomer = c%d\nsha256 = %064x\n", *name,
      g_rand_int_range (rand, 0, 10), g_rand_int_range (rand, 0, 40));
}

static gboolean
text_append (void *key, void *value, void *data)
{
  (void)key;
  g_string_append (data, value);
  return FALSE;
}

/* A patch gives the same document as a parse of the complete text, or the same
   error. */
static void
test_patch_is_the_same_as_parsing (void)
{
  GRand *rand = g_rand_new_with_seed (3);
  void *all = talloc_new (NULL);
  GTree *texts = g_tree_new ((GCompareFunc)strcmp);
  cfg_doc_t *doc = NULL;
  unsigned accepted = 0;
  for (int n = 0; n < 3000; n++)
    {
      void *ctx = talloc_new (NULL);
      char *name;
      char *text = random_section (all, rand, &name);
      if (g_rand_int_range (rand, 0, 4) == 0)
        text = talloc_strdup (all, "");
      talloc_steal (all, name);
      cfg_section_t section = { .name = name, .text = text };
      cfg_sections_t changes = { .v = &section, .count = 1 };
      cfg_doc_t *patched = NULL;
      cfg_doc_t *parsed = NULL;
      cfg_faults_t faults = { 0 };
      st_t st = { 0 };
      st_code_t code = cfg_doc_patch (ctx, doc, &changes, &patched, &faults);
      char *before = g_tree_lookup (texts, name);
      g_tree_replace (texts, name, text);
      GString *whole = g_string_new ("");
      g_tree_foreach (texts, text_append, whole);
      CU_ASSERT_EQUAL (cfg_doc_parse (ctx, buf_str (whole->str), &parsed, &st),
                       code);
      g_string_free (whole, TRUE);
      if (code == ST_OK)
        {
          accepted++;
          CU_ASSERT (same_doc (patched, parsed));
          cfg_doc_t *old = doc;
          doc = talloc_steal (all, patched);
          talloc_free (old);
        }
      else
        g_tree_replace (texts, name, before ? before : "");
      talloc_free (ctx);
    }
  CU_ASSERT (accepted > 500);
  CU_ASSERT (accepted < 2900);
  g_tree_destroy (texts);
  talloc_free (all);
  g_rand_free (rand);
}

/* A change is refused when its text is not exactly one section with the name
   of the change. */
static void
test_patch_refuses_foreign_text (void)
{
  static const char *const texts[]
      = { "[data-centre b]\nowner = t\n",
          "[data-centre a]\nowner = t\n[data-centre b]\nowner = t\n",
          "owner = t\n", "[data-centre a\n" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      void *ctx = talloc_new (NULL);
      cfg_section_t section = { .name = "data-centre a", .text = texts[i] };
      cfg_sections_t changes = { .v = &section, .count = 1 };
      cfg_doc_t *doc = NULL;
      cfg_faults_t faults = { 0 };
      CU_ASSERT_EQUAL (cfg_doc_patch (ctx, NULL, &changes, &doc, &faults),
                       ST_INVALID);
      talloc_free (ctx);
    }
}

static void
test_sections_split (void)
{
  void *ctx = talloc_new (NULL);
  cfg_sections_t s;
  cfg_faults_t faults = { 0 };
  const char *text = "[customer  a]\n# note\n rate=1/s\n\n[key k]\n";
  CU_ASSERT_EQUAL (cfg_sections_split (ctx, buf_str (text), &s, &faults),
                   ST_OK);
  TST_NEED (s.count == 2);
  CU_ASSERT_STRING_EQUAL (s.v[0].text, "[customer a]\nrate = 1/s\n");
  CU_ASSERT (!s.v[0].empty && s.v[1].empty);
  CU_ASSERT_EQUAL (s.v[1].line, 5);
  talloc_free (ctx);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "values_and_defaults", test_values_and_defaults },
    { "routes_exact_then_below", test_routes_exact_then_below },
    { "each_fault_is_found", test_each_fault_is_found },
    { "all_faults_are_reported", test_all_faults_are_reported },
    { "sizes_are_capped", test_sizes_are_capped },
    { "target_size", test_target_size },
    { "patch_is_the_same_as_parsing", test_patch_is_the_same_as_parsing },
    { "patch_refuses_foreign_text", test_patch_refuses_foreign_text },
    { "sections_split", test_sections_split },
  };
  return tst_run ("cfg", cases, sizeof cases / sizeof cases[0]);
}
