#include "core/upc.h"

#include "core/env.h"
#include "core/pth.h"
#include "core/tbl.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define UPC_ADDRESS_SIZE 24 /**< "IP:PORT" and the NUL */

/* A call in progress. */
typedef struct
{
  upc_owner_t owner;
  char *id;                       /**< in the call's X-Request-Id header */
  char address[UPC_ADDRESS_SIZE]; /**< as in fx_upstream_t, for logs */
  bool proves_origin;             /**< as in fx_upstream_t */
  bool probe;                     /**< of pth itself */
  char *via;                      /**< VM through which it goes; NULL: none */
} _upc_call_t;

const char *const upc_once_headers[] = { UPC_ID_HEADER, NULL };

struct upc
{
  tbl_t *calls; /**< _upc_call_t */
};

upc_t *
upc_setup (void *ctx)
{
  upc_t *u = talloc_zero (ctx, upc_t);
  u->calls = tbl_setup (u, &(tbl_desc_t){ .size = sizeof (_upc_call_t) });
  return u;
}

void
upc_shutdown (upc_t *u)
{
  talloc_free (u);
}

/* A new id for CALL, number NUMBER. */
static char *
_upc_id_new (const env_t *env, const _upc_call_t *call, uint64_t number)
{
  return talloc_asprintf (env->upc, "%s-%llx-%s-%llx", env->vm,
                          (unsigned long long)env->incarnation,
                          mod_name (call->owner.mod),
                          (unsigned long long)number);
}

/* Pushes the effect of REQ, whose headers lack an id, with CALL's. */
static void
_upc_push_with_id (env_t *env, const _upc_call_t *call,
                   const fx_upstream_t *req)
{
  fx_t f = { .kind = FX_UPSTREAM_CALL, .upstream = *req };
  size_t n = req->headers.n;
  http_header_t *headers = talloc_array (NULL, http_header_t, n + 1);
  for (size_t i = 0; i < n; i++)
    headers[i] = req->headers.v[i];
  headers[n] = (http_header_t){ UPC_ID_HEADER, call->id };
  f.upstream.headers = (http_headers_t){ .v = headers, .n = n + 1 };
  fx_push (env->fx, &f);
  talloc_free (headers);
}

/* Pushes the effect of REQ and stores the id that it is sent with in CALL. */
static void
_upc_call_push (env_t *env, _upc_call_t *call, const fx_upstream_t *req)
{
  const char *id = http_header_find (req->headers, UPC_ID_HEADER);
  if (id != NULL)
    {
      call->id = talloc_strdup (env->upc, id);
      fx_push (env->fx, &(fx_t){ .kind = FX_UPSTREAM_CALL, .upstream = *req });
      return;
    }
  call->id = _upc_id_new (env, call, req->call);
  _upc_push_with_id (env, call, req);
}

/* Chooses the path of CALL and sets that of REQ. */
static void
_upc_path_set (env_t *env, _upc_call_t *call, fx_upstream_t *req)
{
  if (env->pth == NULL)
    return;
  const char *via = pth_via (env->pth, env, req->way, &req->tunnel);
  call->probe = call->owner.mod == MOD_PATH;
  call->via = via == NULL ? NULL : talloc_strdup (env->upc, via);
  if (!call->probe)
    pth_call_begun (env->pth, env, via);
  if (via != NULL && !req->load_report)
    tln_record (env->tln, env->now, call->owner.mod, "tunnelled",
                "request=%s via=%s to=%s",
                http_header_find (req->headers, UPC_ID_HEADER) != NULL
                    ? http_header_find (req->headers, UPC_ID_HEADER)
                    : "",
                via, req->address);
}

/* Frees the call ID; ignores an invalid one. */
static void
_upc_free (env_t *env, tbl_id_t id)
{
  _upc_call_t *call = tbl_get (env->upc->calls, id);
  if (call == NULL)
    return;
  if (env->pth != NULL && !call->probe)
    pth_call_ended (env->pth, call->via);
  talloc_free (call->id);
  talloc_free (call->via);
  tbl_free (env->upc->calls, id);
}

uint64_t
upc_call (env_t *env, mod_t mod, uint64_t tag, const fx_upstream_t *req)
{
  tbl_id_t id = tbl_alloc (env->upc->calls);
  if (id.id == 0)
    return 0;
  _upc_call_t *call = tbl_get (env->upc->calls, id);
  call->owner = (upc_owner_t){ .mod = mod, .tag = tag };
  call->proves_origin = req->proves_origin;
  (void)snprintf (call->address, sizeof call->address, "%s", req->address);
  fx_upstream_t numbered = *req;
  numbered.call = id.id;
  _upc_path_set (env, call, &numbered);
  _upc_call_push (env, call, &numbered);
  return id.id;
}

void
upc_cancel (env_t *env, uint64_t call)
{
  tbl_id_t id = { .id = call };
  if (tbl_get (env->upc->calls, id) == NULL)
    return;
  _upc_free (env, id);
  fx_push (env->fx, &(fx_t){ .kind = FX_UPSTREAM_CANCEL,
                             .upstream = { .call = call } });
}

/* What a response's head says about its origin. */
typedef enum
{
  UPC_OWN,      /**< the call's upstream and request, or nothing to show that
                     it is not */
  UPC_OTHER_ID, /**< it has the id of another request */
  UPC_NO_ID,    /**< it lacks the id that the upstream repeats */
  UPC_UNSIGNED, /**< it is a success and lacks the upstream's signature */
} _upc_origin_t;

static const char *const _upc_origin_names[] = {
  [UPC_OWN] = "own",
  [UPC_OTHER_ID] = "other-id",
  [UPC_NO_ID] = "no-id",
  [UPC_UNSIGNED] = "unsigned",
};

static _upc_origin_t
_upc_origin (const _upc_call_t *call, const ev_upstream_t *head)
{
  const char *id = http_header_find (head->headers, UPC_ID_HEADER);
  bool success = head->status >= 200 && head->status < 300;
  if (id != NULL && strcmp (id, call->id) != 0)
    return UPC_OTHER_ID;
  if (!call->proves_origin)
    return UPC_OWN;
  if (id == NULL)
    return UPC_NO_ID;
  return success && !head->is_signed ? UPC_UNSIGNED : UPC_OWN;
}

static void
_upc_foreign_count (env_t *env, _upc_origin_t origin)
{
  char label[32];
  (void)snprintf (label, sizeof label, "why=\"%s\"",
                  _upc_origin_names[origin]);
  cnt_add (env->cnt, "rts_upstream_crossed_total", label, 1);
}

static void
_upc_foreign_log (env_t *env, const _upc_call_t *call, _upc_origin_t origin,
                  const ev_upstream_t *head)
{
  const char *id = http_header_find (head->headers, UPC_ID_HEADER);
  tln_record (env->tln, env->now, call->owner.mod, "response-dropped",
              "request=%s why=%s status=%d id=%s at=%s port=%u", call->id,
              _upc_origin_names[origin], head->status,
              id == NULL ? "none" : id, call->address, head->local_port);
}

/* Counts EV if bytes have come that are no response. */
static void
_upc_malformed_count (env_t *env, const ev_t *ev)
{
  if (ev->kind == EV_UPSTREAM_FAIL && ev->upstream.malformed)
    cnt_add (env->cnt, "rts_upstream_malformed_total", "", 1);
}

/* Replaces the event EV of CALL by a failure if it is a foreign head. */
static void
_upc_foreign_drop (env_t *env, const _upc_call_t *call, ev_t *ev)
{
  if (ev->kind != EV_UPSTREAM_HEAD)
    return;
  _upc_origin_t origin = _upc_origin (call, &ev->upstream);
  if (origin == UPC_OWN)
    return;
  _upc_foreign_log (env, call, origin, &ev->upstream);
  _upc_foreign_count (env, origin);
  uint64_t number = ev->upstream.call;
  *ev = (ev_t){ .kind = EV_UPSTREAM_FAIL,
                .upstream = { .call = number,
                              .fail = EV_FAIL_UNKNOWN,
                              .text = "the response is not this request's" } };
  upc_cancel (env, number);
}

/* Tells the paths of EV, and marks what says nothing of the upstream. */
static void
_upc_path_note (env_t *env, const _upc_call_t *call, ev_t *ev)
{
  if (call->via != NULL && ev->kind == EV_UPSTREAM_FAIL)
    ev->upstream.via = talloc_strdup (env->fx->pool, call->via);
  if (env->pth == NULL || call->probe)
    return;
  /* The VM that passed the call on may have ended, not the upstream. */
  if (call->via != NULL)
    ev->upstream.closed = false;
  ev->upstream.path_failed
      = pth_call_event (env->pth, env, call->address, call->via, ev);
}

bool
upc_event (env_t *env, ev_t *ev, upc_owner_t *owner)
{
  tbl_id_t id = { .id = ev->upstream.call };
  const _upc_call_t *call = tbl_get (env->upc->calls, id);
  if (call == NULL)
    return false;
  *owner = call->owner;
  _upc_path_note (env, call, ev);
  /* That may have started calls. */
  call = tbl_get (env->upc->calls, id);
  _upc_malformed_count (env, ev);
  _upc_foreign_drop (env, call, ev);
  if (ev->kind == EV_UPSTREAM_END || ev->kind == EV_UPSTREAM_FAIL)
    _upc_free (env, id);
  return true;
}

uint32_t
upc_count (const upc_t *u)
{
  return tbl_count (u->calls);
}
