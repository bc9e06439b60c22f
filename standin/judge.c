/** @file
 * Joins the record of the stand-in callers with the logs of the stand-in
 * replicas: which requests reached a replica later than the bound after a VM
 * had passed on an answer in which that replica said that it leaves (word), or
 * after the store had accepted that it leaves (list), and which requests got
 * no whole answer though they were passed on or their connection ended late
 * (lost).
 */
#include "standin.h"

#include <argp.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_DRAIN_MS 2000
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421
/** Time after a request's sending until which a VM may close the connection
 * without an answer, if no replica has the request. */
#define LOSS_SLACK_MS 200

typedef struct
{
  const char *record;
  char **logs;
  json_int_t drain_ms;
  bool show;
  GHashTable *asked;    /**< id -> json_t, a line of the record */
  GHashTable *words;    /**< "VM INSTANCE" -> json_t, time of the first word */
  GHashTable *accepted; /**< INSTANCE -> json_t, time of the store's word */
  GHashTable *reached;  /**< ids that a replica ran */
  unsigned arrived;
  unsigned after_word;
  unsigned after_list;
  unsigned lost;
} _judge_t;

typedef void (*_line_handler_t) (_judge_t *j, json_t *line);

static void
_file_read (_judge_t *j, const char *file, _line_handler_t handle)
{
  FILE *f = fopen (file, "re");
  char *text = NULL;
  size_t size = 0;
  if (f == NULL)
    {
      perror (file);
      exit (EXIT_FAILURE);
    }
  while (getline (&text, &size, f) > 0)
    {
      json_t *line = json_loads (text, 0, NULL);
      if (line != NULL)
        handle (j, line);
      json_decref (line);
    }
  free (text);
  (void)fclose (f);
}

static const char *
_text (const json_t *line, const char *key)
{
  const char *value = json_string_value (json_object_get (line, key));
  return value == NULL ? "" : value;
}

static json_int_t
_number (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

static char *
_word_key (const json_t *asked, const char *instance)
{
  return g_strdup_printf ("%lld %s", (long long)_number (asked, "vm"),
                          instance);
}

/* A request of the record; its answer may bear the word of a replica. */
static void
_asked (_judge_t *j, json_t *line)
{
  g_hash_table_insert (j->asked, g_strdup (_text (line, "id")),
                       json_incref (line));
  if (!json_is_true (json_object_get (line, "leaving")))
    return;
  char *key = _word_key (line, _text (line, "instance"));
  const json_t *known = g_hash_table_lookup (j->words, key);
  json_int_t first = _number (line, "first");
  if (known == NULL || json_integer_value (known) > first)
    g_hash_table_insert (j->words, key, json_integer (first));
  else
    g_free (key);
}

static void
_replica_event (_judge_t *j, json_t *line)
{
  if (strcmp (_text (line, "event"), "leaving-accepted") == 0)
    g_hash_table_insert (j->accepted, g_strdup (_text (line, "instance")),
                         json_integer (_number (line, "at")));
}

static bool
_is_late (const _judge_t *j, const json_t *asked, const json_t *since)
{
  return since != NULL
         && _number (asked, "sent") > json_integer_value (since) + j->drain_ms;
}

static void
_show (const _judge_t *j, const char *rule, const json_t *asked,
       const json_t *line, const json_t *since)
{
  if (j->show)
    printf ("%s: %s sent by its caller %lld ms after it reached %s\n", rule,
            _text (asked, "id"),
            (long long)(_number (asked, "sent") - json_integer_value (since)),
            _text (line, "instance"));
}

/* A request that arrived at a replica. */
static void
_arrived (_judge_t *j, json_t *line)
{
  const json_t *asked = g_hash_table_lookup (j->asked, _text (line, "id"));
  if (asked == NULL || _number (line, "status") == STATUS_MISDIRECTED)
    return;
  const char *instance = _text (line, "instance");
  char *key = _word_key (asked, instance);
  const json_t *word = g_hash_table_lookup (j->words, key);
  const json_t *list = g_hash_table_lookup (j->accepted, instance);
  j->arrived++;
  if (_number (line, "status") == STATUS_OK)
    g_hash_table_add (j->reached, g_strdup (_text (line, "id")));
  if (_is_late (j, asked, word))
    {
      j->after_word++;
      _show (j, "word", asked, line, word);
    }
  if (_is_late (j, asked, list))
    {
      j->after_list++;
      _show (j, "list", asked, line, list);
    }
  g_free (key);
}

static bool
_is_lost (const _judge_t *j, const json_t *asked)
{
  json_int_t ms = _number (asked, "end") - _number (asked, "sent");
  return !json_is_true (json_object_get (asked, "whole"))
         && (g_hash_table_contains (j->reached, _text (asked, "id"))
             || ms > LOSS_SLACK_MS);
}

static void
_count_lost (_judge_t *j)
{
  GHashTableIter iter;
  gpointer id;
  gpointer line;
  g_hash_table_iter_init (&iter, j->asked);
  while (g_hash_table_iter_next (&iter, &id, &line))
    {
      bool lost = _is_lost (j, line);
      j->lost += lost;
      if (lost && j->show)
        printf ("lost: %s, sent to VM %lld\n", (const char *)id,
                (long long)_number (line, "vm"));
    }
}

static const struct argp_option options[] = {
  { "record", 'r', "FILE", 0, "record of the callers", 0 },
  { "drain-ms", 'd', "MS", 0, "bound (2000)", 0 },
  { "show", 's', NULL, 0, "print a line for each request that is counted", 0 },
  { 0 },
};

static error_t
_judge_option (int key, char *arg, struct argp_state *state)
{
  _judge_t *j = state->input;
  switch (key)
    {
    case 'r':
      j->record = arg;
      return 0;
    case 'd':
      j->drain_ms = strtoll (arg, NULL, 10);
      return 0;
    case 's':
      j->show = true;
      return 0;
    case ARGP_KEY_ARGS:
      j->logs = state->argv + state->next;
      return 0;
    case ARGP_KEY_END:
      if (j->record == NULL || j->logs == NULL)
        argp_error (state, "--record and the replicas' logs are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
_json_free (gpointer json)
{
  json_decref (json);
}

static GHashTable *
_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, _json_free);
}

int
judge_main (int argc, char **argv)
{
  static const struct argp argp = { options,
                                    _judge_option,
                                    "LOG...",
                                    "Joins callers' and replicas' "
                                    "records.",
                                    NULL,
                                    NULL,
                                    NULL };
  _judge_t j = { .drain_ms = DEFAULT_DRAIN_MS,
                 .asked = _table (),
                 .words = _table (),
                 .accepted = _table () };
  j.reached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  argp_parse (&argp, argc, argv, 0, NULL, &j);
  _file_read (&j, j.record, _asked);
  for (char **log = j.logs; *log != NULL; log++)
    _file_read (&j, *log, _replica_event);
  for (char **log = j.logs; *log != NULL; log++)
    _file_read (&j, *log, _arrived);
  _count_lost (&j);
  printf ("arrived %u after-word %u after-list %u lost %u\n", j.arrived,
          j.after_word, j.after_list, j.lost);
  return EXIT_SUCCESS;
}
