/** @file
 * Settings of the features for heavy load: each key is read, is off or has its
 * default where the platform leaves its value empty, and a wrong value is
 * named.
 */
#include "setfile.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

/** A key, a value that it takes and one that it does not. */
typedef struct
{
  const char *section;
  const char *key;
  const char *good;
  const char *wrong[3];
  double (*read) (const set_t *set);
  double expected;  /**< of good */
  double otherwise; /**< of an empty value, and without the key */
} _key_t;

#define READ(field)                                                           \
  static double _##field (const set_t *set) { return (double)set->field; }

READ (evacuate_ms)
READ (cold_overshoot)
READ (cold_slack)
READ (even_load)
READ (avoid_failing)
READ (refuse_late)
READ (yield_late)
READ (preempt_once)

#define NUMBERS                                                               \
  {                                                                           \
    "-1", "nan", "5 s"                                                        \
  }
#define WORDS                                                                 \
  {                                                                           \
    "yes", "ON", "1"                                                          \
  }

static const _key_t keys[] = {
  { "evacuation", "within_ms", "5000", NUMBERS, _evacuate_ms, 5000, 0 },
  { "upstreams", "cold_overshoot", "1.5", NUMBERS, _cold_overshoot, 1.5, 0 },
  { "upstreams", "cold_slack", "5", NUMBERS, _cold_slack, 5, 0 },
  { "routing", "even_load", "on", WORDS, _even_load, RTE_EVEN_ON,
    RTE_EVEN_AUTO },
  { "routing", "avoid_failing", "on", WORDS, _avoid_failing, true, false },
  { "jobs", "refuse_late", "on", WORDS, _refuse_late, true, false },
  { "jobs", "yield_late", "on", WORDS, _yield_late, true, false },
  { "jobs", "preempt_once", "on", WORDS, _preempt_once, true, false },
};

#define KEY_COUNT (sizeof keys / sizeof keys[0])

/* Loads settings with VALUE for KEY; NULL: without KEY. */
static const set_t *
_load (void *ctx, const _key_t *key, const char *value, char **faults)
{
  const char *lines = value == NULL
                          ? ""
                          : talloc_asprintf (ctx, "[%s]\n%s = %s\n",
                                             key->section, key->key, value);
  return setfile_load (ctx, lines, faults);
}

/* Guards against a key that is not read, or is read as another one. */
static void
test_each_key_is_read (void)
{
  for (size_t i = 0; i < KEY_COUNT; i++)
    {
      void *ctx = talloc_new (NULL);
      char *faults = NULL;
      const set_t *set = _load (ctx, &keys[i], keys[i].good, &faults);
      CU_ASSERT_STRING_EQUAL (faults, "");
      for (size_t k = 0; k < KEY_COUNT && set != NULL; k++)
        CU_ASSERT_EQUAL (keys[k].read (set),
                         k == i ? keys[k].expected : keys[k].otherwise);
      CU_ASSERT_PTR_NOT_NULL (set);
      talloc_free (ctx);
    }
}

/* Guards against a VM that does not start where the platform has no such
 * bound, which leaves the value empty. */
static void
test_empty_values_are_defaults (void)
{
  static const char *const values[] = { NULL, "", "  " };
  for (size_t i = 0; i < KEY_COUNT; i++)
    for (size_t v = 0; v < sizeof values / sizeof values[0]; v++)
      {
        void *ctx = talloc_new (NULL);
        char *faults = NULL;
        const set_t *set = _load (ctx, &keys[i], values[v], &faults);
        CU_ASSERT_STRING_EQUAL (faults, "");
        CU_ASSERT_PTR_NOT_NULL (set);
        if (set != NULL)
          CU_ASSERT_EQUAL (keys[i].read (set), keys[i].otherwise);
        talloc_free (ctx);
      }
}

/* Guards against a wrong value that is taken for off, and against a fault that
 * does not say where it is. */
static void
test_wrong_values_are_named (void)
{
  for (size_t i = 0; i < KEY_COUNT; i++)
    for (size_t v = 0; v < 3; v++)
      {
        void *ctx = talloc_new (NULL);
        char *faults = NULL;
        CU_ASSERT_PTR_NULL (_load (ctx, &keys[i], keys[i].wrong[v], &faults));
        const char *start = talloc_asprintf (ctx, "FILE: [%s] %s: expected ",
                                             keys[i].section, keys[i].key);
        CU_ASSERT (strncmp (faults, start, strlen (start)) == 0);
        const char *end = strchr (faults, '\n');
        CU_ASSERT (end != NULL && end[1] == '\0');
        talloc_free (ctx);
      }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "each_key_is_read", test_each_key_is_read },
    { "empty_values_are_defaults", test_empty_values_are_defaults },
    { "wrong_values_are_named", test_wrong_values_are_named },
  };
  return tst_run ("set", cases, sizeof cases / sizeof cases[0]);
}
