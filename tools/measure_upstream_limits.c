/** @file
 * Measures ways to share among VMs the few requests a second that one upstream
 * takes: how much of the limit is used, the worst window against the users'
 * rule, and messages.  Prints the table of docs/ROUTING.md and writes
 * build/measure/upstream_limits.csv.
 *
 *   build/tools/measure_upstream_limits
 */
#include "core/lim_bucket.h"
#include "core/upl_hold.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#define VMS_MAX 420
#define RUN_MS (120 * CLK_SECOND)
#define WARM_MS (20 * CLK_SECOND)
#define WINDOW_MS (4 * CLK_SECOND)
/* One way between two VMs. */
#define PEER_MS 1

/** Ways to share a limit. */
typedef enum
{
  WAY_MINT,  /* the product's: tokens from one VM */
  WAY_PARTS, /* an even part in each VM, one request saved up */
  WAY_TWO,   /* two VMs with half of the limit each; the others send nothing */
  WAY_NUM
} way_t;

static const char *const way_names[]
    = { [WAY_MINT] = "mint", [WAY_PARTS] = "parts", [WAY_TWO] = "two VMs" };

/** Requests that could use the upstream. */
typedef struct
{
  const char *name;
  double per_vm_s;  /* at each VM; 0: twice the limit, all at one VM */
  clk_ms_t wait_ms; /* a request waits so long for the upstream */
} demand_t;

static const demand_t demands[]
    = { { "5 a second at each VM", 5, 0 },
        { "0.5 at each, others have room", 0.5, 0 },
        { "0.5 at each, all are limited", 0.5, 50 },
        { "twice the limit at one VM", 0, 0 } };

/** A request that waits. */
typedef struct
{
  size_t vm;
  clk_ms_t until;
} waiting_t;

/** A message under way. */
typedef struct
{
  clk_ms_t at;
  size_t vm;
  bool to_mint;
  upl_ask_t ask;
  upl_grant_t grant;
  lbk_settlement_t settlement;
  bool settles;
} mail_t;

typedef struct
{
  void *ctx;
  way_t way;
  size_t vms;
  double per_s;
  clk_ms_t now;
  upl_mint_t *mint;
  upl_hold_t *hold[VMS_MAX];
  lbk_t *part[VMS_MAX];
  char name[VMS_MAX][8];
  GQueue mail;    /* mail_t; all take the same time */
  GArray *sent;   /* clk_ms_t */
  GQueue waiting; /* waiting_t */
  uint64_t messages;
} run_t;

static void
mail_push (run_t *r, const mail_t *m)
{
  mail_t *copy = g_memdup2 (m, sizeof *m);
  copy->at = r->now + PEER_MS;
  g_queue_push_tail (&r->mail, copy);
  r->messages++;
}

static void
grants_send (run_t *r)
{
  mail_t m = { .to_mint = false };
  while (upl_mint_grant_pop (r->mint, r->now, &m.grant))
    {
      m.vm = (size_t)strtoul (m.grant.vm + 3, NULL, 10);
      mail_push (r, &m);
    }
}

static void
mail_deliver (run_t *r)
{
  for (mail_t *m = g_queue_peek_head (&r->mail); m != NULL && m->at <= r->now;
       m = g_queue_peek_head (&r->mail))
    {
      (void)g_queue_pop_head (&r->mail);
      if (!m->to_mint)
        upl_hold_granted (r->hold[m->vm], r->now, "mint", m->grant.class,
                          m->grant.seq, m->grant.tokens);
      else if (m->settles)
        upl_mint_settle (r->mint, r->now, r->name[m->vm], m->settlement.seq,
                         m->settlement.spent, m->settlement.returned);
      else
        upl_mint_ask (r->mint, r->now, &m->ask);
      g_free (m);
    }
  grants_send (r);
}

/** Sends what VM has to ask and to settle; one message, as in the product. */
static void
vm_step (run_t *r, size_t vm)
{
  mail_t m = { .vm = vm, .to_mint = true };
  uint64_t before = r->messages;
  m.settles = true;
  while (upl_hold_settlement_pop (r->hold[vm], r->now, &m.settlement))
    mail_push (r, &m);
  m.settles = false;
  m.ask.vm = r->name[vm];
  if (upl_hold_ask (r->hold[vm], r->now, UPL_ONLINE, &m.ask))
    mail_push (r, &m);
  if (r->messages > before)
    r->messages = before + 1;
}

/** Sends a request of VM if its share of the limit has room. */
static bool
request_send (run_t *r, size_t vm)
{
  bool sent = false;
  if (r->way == WAY_MINT)
    {
      upl_hold_want (r->hold[vm], r->now, UPL_ONLINE);
      sent = upl_hold_has (r->hold[vm], r->now, UPL_ONLINE)
             && upl_hold_take (r->hold[vm], r->now, UPL_ONLINE);
    }
  else if (r->way == WAY_PARTS || vm < 2)
    sent = lbk_take (r->part[vm], r->now);
  if (sent)
    g_array_append_val (r->sent, r->now);
  return sent;
}

/** A request comes to VM. */
static void
request (run_t *r, size_t vm, clk_ms_t wait_ms)
{
  waiting_t w = { .vm = vm, .until = r->now + wait_ms };
  if (!request_send (r, vm) && wait_ms > 0)
    g_queue_push_tail (&r->waiting, g_memdup2 (&w, sizeof w));
}

static void
waiting_send (run_t *r)
{
  for (guint n = g_queue_get_length (&r->waiting); n > 0; n--)
    {
      waiting_t *w = g_queue_pop_head (&r->waiting);
      if (r->now >= w->until || request_send (r, w->vm))
        g_free (w);
      else
        g_queue_push_tail (&r->waiting, w);
    }
}

static run_t *
run_setup (way_t way, size_t vms, double per_s)
{
  void *ctx = talloc_new (NULL);
  run_t *r = talloc_zero (ctx, run_t);
  double sharers = way == WAY_TWO ? 2 : (double)vms;
  r->ctx = ctx;
  r->way = way;
  r->vms = vms;
  r->per_s = per_s;
  r->now = 1000;
  r->mint = upl_mint_setup (ctx);
  r->sent = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  g_queue_init (&r->mail);
  g_queue_init (&r->waiting);
  upl_mint_set (r->mint, r->now, per_s, 1);
  for (size_t i = 0; i < vms; i++)
    {
      r->hold[i] = upl_hold_setup (ctx, 0);
      r->part[i] = lbk_setup (ctx);
      lbk_set_rate (r->part[i], r->now,
                    (int64_t)(per_s / sharers * (double)LBK_TOKEN), LBK_TOKEN);
      g_snprintf (r->name[i], sizeof r->name[i], "vm-%zu", i);
    }
  return r;
}

static double
worst_part (const run_t *r)
{
  double allowed = 1.5 * r->per_s * 4 + 5;
  double worst = 0;
  for (guint i = 0, first = 0; i < r->sent->len; i++)
    {
      clk_ms_t at = g_array_index (r->sent, clk_ms_t, i);
      while (g_array_index (r->sent, clk_ms_t, first) <= at - WINDOW_MS)
        first++;
      worst = fmax (worst, (i - first + 1) / allowed);
    }
  return worst;
}

static void
row_print (const run_t *r, const demand_t *d, unsigned used, FILE *csv)
{
  double seconds = (double)(RUN_MS - WARM_MS) / CLK_SECOND;
  double asked = d->per_vm_s > 0 ? d->per_vm_s * (double)r->vms : 2 * r->per_s;
  double wanted = fmin (asked, r->per_s) * seconds;
  double messages
      = (double)r->messages / ((double)RUN_MS / CLK_SECOND) / (double)r->vms;
  printf ("| %zu | %g | %s | %s | %.0f | %.2f | %.2f |\n", r->vms, r->per_s,
          d->name, way_names[r->way], 100 * used / wanted, worst_part (r),
          messages);
  fprintf (csv, "%zu,%g,%s,%s,%.3f,%.3f,%.3f\n", r->vms, r->per_s, d->name,
           way_names[r->way], used / wanted, worst_part (r), messages);
}

/** The requests of one ms. */
static void
requests_come (run_t *r, const demand_t *d, GRand *rand)
{
  double asked = d->per_vm_s > 0 ? d->per_vm_s * (double)r->vms : 2 * r->per_s;
  double expected = asked / CLK_SECOND;
  unsigned count = (unsigned)expected;
  count += g_rand_double (rand) < expected - count;
  for (unsigned i = 0; i < count; i++)
    {
      size_t any = (size_t)g_rand_int_range (rand, 0, (gint32)r->vms);
      request (r, d->per_vm_s > 0 ? any : r->vms - 1, d->wait_ms);
    }
}

static void
run (way_t way, size_t vms, double per_s, const demand_t *d, FILE *csv)
{
  run_t *r = run_setup (way, vms, per_s);
  GRand *rand = g_rand_new_with_seed (1);
  guint warm = 0;
  while (r->now < RUN_MS + 1000)
    {
      r->now++;
      mail_deliver (r);
      waiting_send (r);
      requests_come (r, d, rand);
      for (size_t i = 0; i < vms && way == WAY_MINT; i++)
        vm_step (r, i);
      if (r->now == WARM_MS + 1000)
        warm = r->sent->len;
    }
  row_print (r, d, r->sent->len - warm, csv);
  g_rand_free (rand);
  g_array_unref (r->sent);
  g_queue_clear_full (&r->mail, g_free);
  g_queue_clear_full (&r->waiting, g_free);
  talloc_free (r->ctx);
}

int
main (void)
{
  static const size_t sizes[] = { 8, 77, 420 };
  static const double rates[] = { 1.4, 20 };
  FILE *csv = fopen ("build/measure/upstream_limits.csv", "w");
  if (csv == NULL)
    {
      perror ("build/measure/upstream_limits.csv");
      return EXIT_FAILURE;
    }
  fputs ("vms,per_s,asked,way,used,worst,messages\n", csv);
  puts ("| VMs | limit a second | requests that could use it | way | used % | "
        "worst window | "
        "messages a second and VM |\n|---|---|---|---|---|---|---|");
  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    for (size_t p = 0; p < sizeof rates / sizeof rates[0]; p++)
      for (size_t d = 0; d < sizeof demands / sizeof demands[0]; d++)
        for (int way = 0; way < WAY_NUM; way++)
          run ((way_t)way, sizes[s], rates[p], &demands[d], csv);
  fclose (csv);
  return EXIT_SUCCESS;
}
