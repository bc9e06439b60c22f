/** @file
 * Versions of streams: bounds in number, age and bytes, and whose streams they
 * are.  One VM alone.
 */
#include "core/stv.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Memory of a VM for control, in bytes, of which origins may take a
 * twentieth. */
#define CONTROL_MEMORY ((size_t)256 << 20)
#define STREAMS 20000

static const stv_origin_t origin = { "llm", "v1" };

/* A VM's environment and module; both belong to the environment's context. */
static stv_t *
setup (env_t **env)
{
  *env = env_setup (NULL, &(env_desc_t){ .vm = "n-1",
                                         .data_centre = "north",
                                         .incarnation = 1,
                                         .seed = 1 });
  return stv_setup (*env, mbr_setup (*env, &(mbr_desc_t){ 0 }));
}

/* Whether the origin of REQUEST of CUSTOMER is known to be ORIGIN. */
static bool
is_known (stv_t *s, env_t *env, const char *customer, const char *request)
{
  stv_result_t result = { .tag = 0 };
  stv_find (s, env, &(stv_stream_t){ customer, request }, 7);
  CU_ASSERT (stv_result_pop (s, &result));
  CU_ASSERT_EQUAL (result.tag, 7);
  return result.known && strcmp (result.origin.version, origin.version) == 0
         && strcmp (result.origin.deployment, origin.deployment) == 0;
}

/* Guards against a customer that learns of, or goes on with, another's
 * stream. */
static void
test_stream_of_another_customer_is_not_known (void)
{
  env_t *env = NULL;
  stv_t *s = setup (&env);
  stv_note (s, env, &(stv_stream_t){ "acme", "r-1" }, &origin);
  CU_ASSERT (is_known (s, env, "acme", "r-1"));
  CU_ASSERT_FALSE (is_known (s, env, "other", "r-1"));
  CU_ASSERT_FALSE (is_known (s, env, "acmer", "-1"));
  env_shutdown (env);
}

/* Guards against a beginning that is overwritten by a later note. */
static void
test_first_note_stays (void)
{
  env_t *env = NULL;
  stv_t *s = setup (&env);
  stv_note (s, env, &(stv_stream_t){ "acme", "r-1" }, &origin);
  stv_note (s, env, &(stv_stream_t){ "acme", "r-1" },
            &(stv_origin_t){ "llm", "v2" });
  CU_ASSERT (is_known (s, env, "acme", "r-1"));
  env_shutdown (env);
}

/* Guards against origins that are kept for ever. */
static void
test_origins_expire (void)
{
  env_t *env = NULL;
  stv_t *s = setup (&env);
  stv_note (s, env, &(stv_stream_t){ "acme", "r-1" }, &origin);
  env->now += STV_KEEP_MS - 1;
  CU_ASSERT (is_known (s, env, "acme", "r-1"));
  env->now += 1;
  CU_ASSERT_FALSE (is_known (s, env, "acme", "r-1"));
  CU_ASSERT_EQUAL (stv_count (s), 0);
  env_shutdown (env);
}

/* Guards against a flood of streams that fills the memory: the oldest go. */
static void
test_origins_are_bounded (void)
{
  env_t *env = NULL;
  stv_t *s = setup (&env);
  char id[32];
  char longest[STV_VERSION_MAX + 2];
  memset (longest, 'v', sizeof longest - 1);
  longest[sizeof longest - 1] = '\0';
  stv_note (s, env, &(stv_stream_t){ "acme", "r" },
            &(stv_origin_t){ "llm", longest });
  CU_ASSERT_EQUAL (stv_count (s), 0);
  longest[STV_VERSION_MAX] = '\0';
  for (unsigned i = 0; i < STREAMS; i++)
    {
      (void)snprintf (id, sizeof id, "r-%u", i);
      stv_note (s, env, &(stv_stream_t){ "acme", id },
                &(stv_origin_t){ "llm", longest });
    }
  CU_ASSERT (stv_count (s) <= STV_MAX);
  CU_ASSERT (talloc_total_size (s) < CONTROL_MEMORY / 20);
  env_shutdown (env);
}

/* Guards against ids that break a log line or fill the memory. */
static void
test_ids_have_a_form (void)
{
  char longest[STV_ID_MAX + 2];
  memset (longest, 'r', sizeof longest - 1);
  longest[sizeof longest - 1] = '\0';
  CU_ASSERT_FALSE (stv_id_is_valid (longest));
  longest[STV_ID_MAX] = '\0';
  CU_ASSERT (stv_id_is_valid (longest));
  CU_ASSERT_FALSE (stv_id_is_valid (""));
  CU_ASSERT_FALSE (stv_id_is_valid ("a b"));
  CU_ASSERT_FALSE (stv_id_is_valid ("a\n"));
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "stream_of_another_customer_is_not_known",
      test_stream_of_another_customer_is_not_known },
    { "first_note_stays", test_first_note_stays },
    { "origins_expire", test_origins_expire },
    { "origins_are_bounded", test_origins_are_bounded },
    { "ids_have_a_form", test_ids_have_a_form },
  };
  return tst_run ("stv", cases, sizeof cases / sizeof cases[0]);
}
