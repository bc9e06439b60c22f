/** @file
 * When a node that the platform configures begins to serve: not as soon as it
 * has a document, but when it has heard what the others know, so that "not
 * heard yet" is not taken for "there is none": what ends upstreams, which
 * upstreams leave, which limits are named, at which versions streams began,
 * which data centres are evacuated.
 *
 * It has heard that when it knows the list of VMs and of evacuated data
 * centres, from the platform or a peer, and has had a link to another VM for
 * NODE_HEAR_MS; each end of a new link tells the other what it keeps.  A node
 * that is alone, or that reaches nobody, goes on with what it has after a
 * bounded time: a data centre that is cut off has to serve.  Until then
 * requests are refused, not run.
 */
#include "core/node_int.h"

/** Time in which what others know comes over a link that has opened. */
#define NODE_HEAR_MS ((clk_ms_t)50)
/** Longest wait for a link once the list of VMs is known. */
#define NODE_LINK_WAIT_MS CLK_SECOND
/** Longest wait for the list and a link once the document is known. */
#define NODE_INFORM_WAIT_MS (3 * CLK_SECOND)

/** Notes the times at which N came to know the document and the list of VMs,
 * and opened a link. */
static void
_node_informed_note (node_t *n)
{
  clk_ms_t now = n->env->now;
  if (n->document_at == 0)
    n->document_at = now;
  if (n->vms_at == 0 && mbr_list_read_at (n->mbr) != CLK_NEVER)
    n->vms_at = now;
  if (mbr_link_count (n->mbr) == 0)
    n->link_at = 0;
  else if (n->link_at == 0)
    n->link_at = now;
}

/** What N goes by to begin to serve; NULL: it waits. */
static const char *
_node_informed_by (const node_t *n)
{
  clk_ms_t now = n->env->now;
  if (now - n->document_at >= NODE_INFORM_WAIT_MS)
    return "no-answers";
  if (n->vms_at == 0 || !dir_evacuations_known (n->dir))
    return NULL;
  if (mbr_vm_count (n->mbr) < 2)
    return "alone";
  if (n->link_at != 0 && now - n->link_at >= NODE_HEAR_MS)
    return "peers";
  return now - n->vms_at >= NODE_LINK_WAIT_MS ? "no-link" : NULL;
}

bool
node_is_informed (node_t *n)
{
  if (n->source != NODE_SOURCE_PLATFORM || n->state != NODE_STARTING)
    return true;
  _node_informed_note (n);
  const char *by = _node_informed_by (n);
  if (by == NULL)
    return false;
  tln_record (n->env->tln, n->env->now, MOD_NODE, "informed",
              "by=%s waited_ms=%lld", by,
              (long long)(n->env->now - n->document_at));
  return true;
}
