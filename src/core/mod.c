#include "core/mod.h"

static const char *const _mod_names[MOD_NUM] = {
  [MOD_NODE] = "node",           [MOD_PLATFORM] = "platform",
  [MOD_CONFIG] = "config",       [MOD_KEY] = "key",
  [MOD_MEMBER] = "member",       [MOD_LIMIT] = "limit",
  [MOD_ONLINE] = "online",       [MOD_ROUTE] = "route",
  [MOD_BATCH] = "batch",         [MOD_IDEMPOTENT] = "idempotent",
  [MOD_CREDIT] = "credit",       [MOD_ORDER] = "order",
  [MOD_DIRECTORY] = "directory", [MOD_JOB] = "job",
  [MOD_RETIRE] = "retire",       [MOD_STREAM] = "stream",
  [MOD_CRASH] = "crash",         [MOD_PATH] = "path",
};

const char *
mod_name (mod_t mod)
{
  return (unsigned)mod < MOD_NUM ? _mod_names[mod] : "unlisted";
}
