/** @file
 * rattanspindle serve: runs the server process of one VM.
 */
#include "cmd/cmd.h"
#include "cmd/log.h"
#include "io/drv.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <talloc.h>

static error_t
_serve_option (int key, char *arg, struct argp_state *state)
{
  const char **file = state->input;
  switch (key)
    {
    case 's':
      *file = arg;
      return 0;
    case ARGP_KEY_END:
      if (*file == NULL)
        argp_error (state, "--settings FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option _serve_options[] = {
  { "settings", 's', "FILE", 0, "this VM's settings (INI)", 0 },
  { 0 },
};

static const struct argp _serve_argp = {
  .options = _serve_options,
  .parser = _serve_option,
  .doc = "Serve callers, operators and peers as one VM of the fleet.\v"
         "SIGTERM or SIGINT starts a graceful shutdown: requests in progress "
         "finish first.  SIGHUP reads the settings again.",
};

static void
_serve_on_signal (struct tevent_context *loop, struct tevent_signal *signal,
                  int number, int count, void *info, void *data)
{
  (void)loop;
  (void)signal;
  (void)count;
  (void)info;
  g_message ("signal %d: graceful shutdown begins", number);
  drv_leave (data);
}

/* Data of the SIGHUP handler. */
typedef struct
{
  const char *file;
  drv_t *driver;
} _serve_reload_t;

static void
_serve_log_setup (const set_t *set)
{
  log_setup (&(log_desc_t){
      .level = set->log_level, .json = set->log_json, .vm = set->name });
}

static void
_serve_on_reload (struct tevent_context *loop, struct tevent_signal *signal,
                  int number, int count, void *info, void *data)
{
  (void)loop;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  const _serve_reload_t *r = data;
  char *faults = NULL;
  const set_t *set = set_load (r->driver, r->file, &faults);
  if (set == NULL)
    {
      g_warning (
          "invalid settings file, the previous settings stay in force: %s",
          faults);
      return;
    }
  _serve_log_setup (set);
  drv_settings_changed (r->driver, set);
  g_message ("settings read again");
}

static int
_serve_run (void *ctx, const set_t *set, const char *file)
{
  struct tevent_context *loop = tevent_context_init (ctx);
  st_t st = { 0 };
  drv_t *d = drv_setup (ctx, &(drv_desc_t){ .loop = loop, .set = set }, &st);
  if (d == NULL)
    {
      fprintf (stderr, "rattanspindle: %s\n", st.message);
      return CMD_FAILED;
    }
  tevent_add_signal (loop, d, SIGTERM, 0, _serve_on_signal, d);
  tevent_add_signal (loop, d, SIGINT, 0, _serve_on_signal, d);
  _serve_reload_t reload = { .file = file, .driver = d };
  tevent_add_signal (loop, d, SIGHUP, 0, _serve_on_reload, &reload);
  g_message ("vm %s in data centre %s listens on %s", set->name,
             set->data_centre,
             set->listen == NULL ? set->peer_listen : set->listen);
  while (!drv_done (d))
    {
      if (tevent_loop_once (loop) != 0)
        break;
    }
  g_message ("vm %s has stopped", set->name);
  drv_shutdown (d);
  return CMD_OK;
}

int
cmd_serve (int argc, char **argv)
{
  const char *file = NULL;
  if (argp_parse (&_serve_argp, argc, argv, 0, NULL, &file) != 0)
    return CMD_USAGE;
  signal (SIGPIPE, SIG_IGN);
  void *ctx = talloc_new (NULL);
  char *faults = NULL;
  const set_t *set = set_load (ctx, file, &faults);
  int status = CMD_FAILED;
  if (set == NULL)
    fputs (faults, stderr);
  else
    {
      _serve_log_setup (set);
      status = _serve_run (ctx, set, file);
    }
  talloc_free (ctx);
  return status;
}
