/* Rendezvous hashing. */
#include "core/own.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>

static const char *const vms[] = { "a-1", "a-2", "b-1", "b-2", "c-1", "c-2" };
#define VMS (sizeof vms / sizeof vms[0])
#define KEYS 600

static void
test_empty (void)
{
  CU_ASSERT_PTR_NULL (own_pick (vms, 0, MOD_LIMIT, "x"));
}

static void
test_order_does_not_matter (void)
{
  const char *other[VMS];
  for (size_t i = 0; i < VMS; i++)
    other[i] = vms[VMS - 1 - i];
  for (int i = 0; i < KEYS; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "thing-%d", i);
      CU_ASSERT_STRING_EQUAL (own_pick (vms, VMS, MOD_LIMIT, name),
                              own_pick (other, VMS, MOD_LIMIT, name));
    }
}

static void
test_removed_vm_moves_only_its_keys (void)
{
  int lost = 0;
  for (int i = 0; i < KEYS; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "thing-%d", i);
      const char *before = own_pick (vms, VMS, MOD_LIMIT, name);
      const char *after = own_pick (vms, VMS - 1, MOD_LIMIT, name);
      if (strcmp (before, vms[VMS - 1]) == 0)
        lost++;
      else
        CU_ASSERT_STRING_EQUAL (before, after);
    }
  /* One VM of six owns about a sixth of the keys; half of that either way is
   * allowed. */
  CU_ASSERT (lost > KEYS / 12 && lost < KEYS / 4);
}

static void
test_rank (void)
{
  const char *out[VMS + 1];
  CU_ASSERT_EQUAL (own_rank (vms, VMS, MOD_LIMIT, "x", out, VMS + 1), VMS);
  CU_ASSERT_STRING_EQUAL (out[0], own_pick (vms, VMS, MOD_LIMIT, "x"));
  for (size_t i = 1; i < VMS; i++)
    CU_ASSERT (own_weight (out[i - 1], MOD_LIMIT, "x")
               >= own_weight (out[i], MOD_LIMIT, "x"));
  const char *two[2];
  CU_ASSERT_EQUAL (own_rank (vms, VMS, MOD_LIMIT, "x", two, 2), 2);
  CU_ASSERT_STRING_EQUAL (two[1], out[1]);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "empty", test_empty },
    { "order_does_not_matter", test_order_does_not_matter },
    { "a removed VM moves only its keys",
      test_removed_vm_moves_only_its_keys },
    { "rank", test_rank },
  };
  return tst_run ("own", cases, sizeof cases / sizeof cases[0]);
}
