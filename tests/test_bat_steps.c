/** @file
 * Batch jobs with one fault at a chosen time: at each call that a VM makes
 * for a job, and while another VM confirms a cancellation.
 */
#include "batbed.h"
#include "core/bat_rec.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* -- one fault at each step ----------------------------------------------- */

/* Runs a job of non-idempotent and idempotent items on two VMs, with FAULT at
 * the NTH call of VM 0.  Returns false when VM 0 makes fewer calls. */
static bool
run_step (unsigned nth, batbed_fault_t fault, const char **violation)
{
  static const char line[] = "{\"url\":\"%s\",\"body\":{\"i\":%u}}\n";
  batbed_t *bed
      = batbed_setup (&(batbed_desc_t){ .seed = 11,
                                        .vms = 2,
                                        .item_ms = 300,
                                        .bat = { .chunk_items = 5,
                                                 .term_ms = 3000,
                                                 .scan_ms = 1000,
                                                 .intent_items = 2 } });
  batbed_run (bed, 2 * CLK_SECOND);
  GString *body = g_string_new (NULL);
  for (unsigned i = 0; i < 10; i++)
    g_string_append_printf (body, line,
                            i % 2 == 0 ? "/orders" : "/v1/completions", i);
  char id[BAT_ID_SIZE];
  bat_id_make ("acme", "k", id);
  batbed_fault_at (bed, 0, nth, fault, 10 * CLK_SECOND);
  uint64_t caller
      = batbed_request (bed, 0, "acme", "POST", "/v1/batches", "k", body->str);
  batbed_run (bed, 40 * CLK_SECOND);
  bool done = batbed_fault_done (bed);
  batbed_fault_at (bed, 0, 0, fault, 0);
  batbed_faults_end (bed);
  batbed_run (bed, 10 * CLK_SECOND);
  int status = batbed_response (bed, caller)->status;
  char *job = bat_name_job (NULL, id);
  if (!batbed_has_object (bed, job) && status != 0 && status != 503)
    *violation = "job acknowledged but not stored";
  talloc_free (job);
  caller
      = batbed_request (bed, 1, "acme", "POST", "/v1/batches", "k", body->str);
  batbed_run (bed, 40 * CLK_SECOND);
  const batbed_response_t *response = batbed_response (bed, caller);
  if (response->status != 200 && response->status != 202)
    *violation = "job not accepted when sent again";
  char *path = g_strdup_printf ("/v1/batches/%s", id);
  caller = batbed_request (bed, 1, "acme", "GET", path, NULL, "");
  g_free (path);
  batbed_run (bed, CLK_SECOND);
  response = batbed_response (bed, caller);
  if (strstr (response->body->str, "\"complete\"") == NULL)
    *violation = "job did not end";
  if (batbed_totals (bed).doubled > 0)
    *violation = "non-idempotent item ran twice";
  g_string_free (body, TRUE);
  batbed_shutdown (bed);
  return done;
}

static void
test_one_fault_at_each_step (void)
{
  for (int fault = 0; fault < BATBED_FAULT_NUM; fault++)
    {
      unsigned nth = 1;
      const char *text = NULL;
      while (run_step (nth, (batbed_fault_t)fault, &text))
        {
          if (text != NULL)
            fprintf (stderr, "fault %d at call %u: %s\n", fault, nth, text);
          CU_ASSERT_PTR_NULL (text);
          text = NULL;
          nth++;
        }
      CU_ASSERT (nth > 20);
    }
}

/* -- holders that are partitioned or frozen ------------------------------- */

static const char *const holder_faults[] = { "frozen", "partitioned" };

/* Another VM cancels the job while the holder of its chunk cannot be reached.
 * The holder must not start an item after the cancellation is confirmed.  KIND
 * is an index of holder_faults. */
static void
cancel_without_holder (unsigned kind, const char *key)
{
  batbed_t *bed = batbed_setup (
      &(batbed_desc_t){ .seed = 21 + kind,
                        .vms = 2,
                        .upstreams = 8,
                        .slots = 2,
                        .item_ms = 400,
                        .bat = { .term_ms = 20000, .scan_ms = 1000 } });
  batbed_run (bed, 2 * CLK_SECOND);
  GString *body = g_string_new (NULL);
  for (unsigned i = 0; i < 1024; i++)
    g_string_append (body, "{\"body\":{\"p\":1}}\n");
  char id[BAT_ID_SIZE];
  bat_id_make ("acme", key, id);
  (void)batbed_request (bed, 0, "acme", "POST", "/v1/batches", key, body->str);
  g_string_free (body, TRUE);
  batbed_run (bed, 2 * CLK_SECOND);
  uint32_t holder = bat_stat (batbed_bat (bed, 0)).holds > 0 ? 0 : 1;
  CU_ASSERT_EQUAL (bat_stat (batbed_bat (bed, holder)).holds, 1);
  uint64_t before = batbed_totals (bed).items_started;
  CU_ASSERT (before > 0);
  if (kind == 0)
    batbed_freeze (bed, holder, CLK_MINUTE);
  else
    batbed_partition (bed, holder, CLK_MINUTE);
  char *path = g_strdup_printf ("/v1/batches/%s/cancel", id);
  bool confirmed = false;
  unsigned waited = 0;
  while (!confirmed && waited++ < 1000)
    {
      uint64_t c
          = batbed_request (bed, 1 - holder, "acme", "POST", path, NULL, "");
      for (unsigned i = 0; i < 600 && !batbed_response (bed, c)->ended; i++)
        batbed_run (bed, 10);
      confirmed = batbed_response (bed, c)->status == 200;
    }
  g_free (path);
  CU_ASSERT_TRUE (confirmed);
  batbed_forbid_starts (bed, id);
  if (kind == 1)
    CU_ASSERT (batbed_totals (bed).items_started > before);
  batbed_run (bed, CLK_MINUTE);
  if (batbed_totals (bed).after_stop > 0)
    fprintf (stderr,
             "%s holder: %lu items started after the "
             "cancellation\n",
             holder_faults[kind],
             (unsigned long)batbed_totals (bed).after_stop);
  CU_ASSERT_EQUAL (batbed_totals (bed).after_stop, 0);
  batbed_shutdown (bed);
}

static void
test_cancel_past_a_frozen_holder (void)
{
  static const char *const keys[] = { "a", "b" };
  for (size_t i = 0; i < 2; i++)
    cancel_without_holder (0, keys[i]);
}

static void
test_cancel_past_a_cut_off_holder (void)
{
  static const char *const keys[] = { "a", "b" };
  for (size_t i = 0; i < 2; i++)
    cancel_without_holder (1, keys[i]);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "one_fault_at_each_step", test_one_fault_at_each_step },
    { "cancel_past_a_frozen_holder", test_cancel_past_a_frozen_holder },
    { "cancel_past_a_cut_off_holder", test_cancel_past_a_cut_off_holder },
  };
  return tst_run ("bat_steps", cases, sizeof cases / sizeof cases[0]);
}
