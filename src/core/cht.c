#include "core/cht.h"

#include "core/inv.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define _CHT_ALTERNATIVES_MAX 4
#define _CHT_HEAD_SECTION "chart"

typedef struct
{
  int next;
  int guard; /**< -1: none */
  bool negated;
  size_t action_count;
  int actions[CHT_ACTIONS_MAX];
} _cht_alternative_t;

typedef struct
{
  size_t count; /**< 0: the state has no transition for the event */
  _cht_alternative_t v[_CHT_ALTERNATIVES_MAX];
} _cht_transition_t;

struct cht
{
  const cht_desc_t desc;
  int initial;
  bool *final;
  _cht_transition_t *transitions; /**< index: state * event_count + event */
};

/* Position in the text, for error messages. */
typedef struct
{
  const char *text;
  const char *section;
  const char *key;
  st_t *st;
} _cht_location_t;

/* -- messages ------------------------------------------------------------- */

static bool
_cht_line_is (const char *line, size_t n, const char *section, const char *key)
{
  if (key == NULL)
    return n >= strlen (section) + 2 && line[0] == '['
           && strncmp (line + 1, section, strlen (section)) == 0
           && line[1 + strlen (section)] == ']';
  size_t k = strlen (key);
  return n > k && strncmp (line, key, k) == 0
         && (line[k] == ' ' || line[k] == '=');
}

/* Returns the line number of KEY in SECTION, or of the section's header when
 * KEY is NULL; 0 when the text does not contain it. */
static int
_cht_line_number (const char *text, const char *section, const char *key)
{
  bool inside = false;
  int number = 1;
  for (const char *line = text; *line != '\0'; number++)
    {
      size_t n = strcspn (line, "\n");
      if (_cht_line_is (line, n, section, NULL))
        {
          inside = true;
          if (key == NULL)
            return number;
        }
      else if (inside && key != NULL && _cht_line_is (line, n, section, key))
        return number;
      line += n;
      if (*line == '\n')
        line++;
    }
  return 0;
}

static bool
_cht_fault (const _cht_location_t *loc, const char *fault, const char *name)
{
  (void)st_set (loc->st, ST_INVALID, "chart line %d, [%s]%s%s: %s '%s'",
                _cht_line_number (loc->text, loc->section, loc->key),
                loc->section, loc->key == NULL ? "" : " ",
                loc->key == NULL ? "" : loc->key, fault, name);
  return false;
}

/* -- reading -------------------------------------------------------------- */

static int
_cht_index (const char *const *names, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (names[i], name) == 0)
        return (int)i;
    }
  return -1;
}

static bool
_cht_read_guard (const cht_t *c, const _cht_location_t *loc, const char *word,
                 _cht_alternative_t *a)
{
  if (word == NULL)
    return _cht_fault (loc, "no guard after", "if");
  a->negated = word[0] == '!';
  const char *name = a->negated ? word + 1 : word;
  a->guard = _cht_index (c->desc.guards, c->desc.guard_count, name);
  return a->guard >= 0 || _cht_fault (loc, "unknown guard", name);
}

static bool
_cht_read_actions (const cht_t *c, const _cht_location_t *loc, char **words,
                   _cht_alternative_t *a)
{
  for (; *words != NULL; words++)
    {
      int action = _cht_index (c->desc.actions, c->desc.action_count, *words);
      if (action < 0)
        return _cht_fault (loc, "unknown action", *words);
      if (a->action_count == CHT_ACTIONS_MAX)
        return _cht_fault (loc, "too many actions at", *words);
      a->actions[a->action_count++] = action;
    }
  return true;
}

/* Reads the words of "NEXT [if [!]GUARD] [do ACTION...]". */
static bool
_cht_read_alternative (const cht_t *c, const _cht_location_t *loc,
                       char **words, _cht_alternative_t *a)
{
  *a = (_cht_alternative_t){ .guard = -1 };
  if (words[0] == NULL)
    return _cht_fault (loc, "no next state in", loc->key);
  a->next = _cht_index (c->desc.states, c->desc.state_count, words[0]);
  if (a->next < 0)
    return _cht_fault (loc, "unknown state", words[0]);
  words++;
  if (*words != NULL && strcmp (*words, "if") == 0)
    {
      if (!_cht_read_guard (c, loc, words[1], a))
        return false;
      words += 2;
    }
  if (*words == NULL)
    return true;
  if (strcmp (*words, "do") != 0)
    return _cht_fault (loc, "expected 'if' or 'do', found", *words);
  return _cht_read_actions (c, loc, words + 1, a);
}

/* Returns the words of TEXT; the caller frees them with g_strfreev. */
static char **
_cht_split_words (const char *text)
{
  char **all = g_strsplit_set (text, " \t", -1);
  size_t n = 0;
  for (size_t i = 0; all[i] != NULL; i++)
    {
      if (all[i][0] == '\0')
        g_free (all[i]);
      else
        all[n++] = all[i];
    }
  all[n] = NULL;
  return all;
}

static bool
_cht_read_transition (cht_t *c, const _cht_location_t *loc, const char *value,
                      _cht_transition_t *transition)
{
  char **parts = g_strsplit (value, ";", -1);
  bool ok = true;
  for (size_t i = 0; ok && parts[i] != NULL; i++)
    {
      if (transition->count == _CHT_ALTERNATIVES_MAX)
        {
          ok = _cht_fault (loc, "too many alternatives at", parts[i]);
          break;
        }
      char **words = _cht_split_words (parts[i]);
      ok = _cht_read_alternative (c, loc, words,
                                  &transition->v[transition->count++]);
      g_strfreev (words);
    }
  g_strfreev (parts);
  return ok;
}

static bool
_cht_read_state (cht_t *c, GKeyFile *file, const char *section, st_t *st)
{
  _cht_location_t loc = { .text = c->desc.text, .section = section, .st = st };
  int state = _cht_index (c->desc.states, c->desc.state_count, section);
  if (state < 0)
    return _cht_fault (&loc, "unknown state", section);
  char **keys = g_key_file_get_keys (file, section, NULL, NULL);
  bool ok = true;
  for (size_t i = 0; ok && keys != NULL && keys[i] != NULL; i++)
    {
      loc.key = keys[i];
      int event = _cht_index (c->desc.events, c->desc.event_count, keys[i]);
      if (event < 0)
        {
          ok = _cht_fault (&loc, "unknown event", keys[i]);
          break;
        }
      char *value = g_key_file_get_value (file, section, keys[i], NULL);
      ok = _cht_read_transition (
          c, &loc, value,
          &c->transitions[(size_t)state * c->desc.event_count
                          + (size_t)event]);
      g_free (value);
    }
  g_strfreev (keys);
  return ok;
}

static bool
_cht_read_head (cht_t *c, GKeyFile *file, st_t *st)
{
  _cht_location_t loc = { .text = c->desc.text,
                          .section = _CHT_HEAD_SECTION,
                          .key = "initial" };
  loc.st = st;
  char *initial
      = g_key_file_get_value (file, _CHT_HEAD_SECTION, "initial", NULL);
  c->initial = _cht_index (c->desc.states, c->desc.state_count,
                           initial == NULL ? "" : initial);
  bool ok = c->initial >= 0
            || _cht_fault (&loc, "unknown state", initial ? initial : "");
  g_free (initial);
  loc.key = "final";
  char **names = g_key_file_get_string_list (file, _CHT_HEAD_SECTION, "final",
                                             NULL, NULL);
  for (size_t i = 0; ok && names != NULL && names[i] != NULL; i++)
    {
      const char *name = g_strstrip (names[i]);
      int state = _cht_index (c->desc.states, c->desc.state_count, name);
      if (state < 0)
        ok = _cht_fault (&loc, "unknown state", name);
      else
        c->final[state] = true;
    }
  g_strfreev (names);
  return ok;
}

/* -- checking ------------------------------------------------------------- */

static void
_cht_mark_reachable (const cht_t *c, int state, bool *reached)
{
  reached[state] = true;
  for (size_t e = 0; e < c->desc.event_count; e++)
    {
      const _cht_transition_t *transition
          = &c->transitions[(size_t)state * c->desc.event_count + e];
      for (size_t i = 0; i < transition->count; i++)
        {
          if (!reached[transition->v[i].next])
            _cht_mark_reachable (c, transition->v[i].next, reached);
        }
    }
}

static bool
_cht_check_states (const cht_t *c, st_t *st)
{
  bool *reached = talloc_zero_array (c, bool, c->desc.state_count);
  _cht_mark_reachable (c, c->initial, reached);
  for (size_t s = 0; s < c->desc.state_count; s++)
    {
      _cht_location_t loc
          = { .text = c->desc.text, .section = c->desc.states[s], .st = st };
      bool has_exit = false;
      for (size_t e = 0; e < c->desc.event_count; e++)
        has_exit = has_exit || cht_has_event (c, (int)s, (int)e);
      if (!reached[s])
        return _cht_fault (&loc, "unreachable state", loc.section);
      if (has_exit == c->final[s])
        return _cht_fault (&loc,
                           has_exit ? "a final state with transitions"
                                    : "no transition leaves state",
                           loc.section);
    }
  talloc_free (reached);
  return true;
}

static bool
_cht_check_events (const cht_t *c, st_t *st)
{
  for (size_t e = 0; e < c->desc.event_count; e++)
    {
      bool used = false;
      for (size_t s = 0; s < c->desc.state_count; s++)
        used = used || cht_has_event (c, (int)s, (int)e);
      if (!used)
        {
          (void)st_set (st, ST_INVALID, "chart: no state has event '%s'",
                        c->desc.events[e]);
          return false;
        }
    }
  return true;
}

static bool
_cht_read (cht_t *c, GKeyFile *file, st_t *st)
{
  if (!_cht_read_head (c, file, st))
    return false;
  char **sections = g_key_file_get_groups (file, NULL);
  bool ok = true;
  for (size_t i = 0; ok && sections[i] != NULL; i++)
    {
      if (strcmp (sections[i], _CHT_HEAD_SECTION) != 0)
        ok = _cht_read_state (c, file, sections[i], st);
    }
  g_strfreev (sections);
  return ok && _cht_check_states (c, st) && _cht_check_events (c, st);
}

/* -- public --------------------------------------------------------------- */

cht_t *
cht_setup (void *ctx, const cht_desc_t *desc, st_t *st)
{
  INV_CHECK (desc->text != NULL && desc->guard_count <= 32, "chart-desc",
             "%zu guards", desc->guard_count);
  cht_t *c = talloc_zero (ctx, cht_t);
  memcpy ((void *)&c->desc, desc, sizeof *desc);
  c->final = talloc_zero_array (c, bool, desc->state_count);
  c->transitions = talloc_zero_array (c, _cht_transition_t,
                                      desc->state_count * desc->event_count);
  GKeyFile *file = g_key_file_new ();
  GError *error = NULL;
  bool ok = g_key_file_load_from_data (file, desc->text, strlen (desc->text),
                                       G_KEY_FILE_NONE, &error);
  if (!ok)
    (void)st_set (st, ST_INVALID, "chart: %s", error->message);
  g_clear_error (&error);
  ok = ok && _cht_read (c, file, st);
  g_key_file_free (file);
  if (!ok)
    {
      talloc_free (c);
      return NULL;
    }
  return c;
}

void
cht_shutdown (cht_t *c)
{
  talloc_free (c);
}

int
cht_initial (const cht_t *c)
{
  return c->initial;
}

bool
cht_is_final (const cht_t *c, int state)
{
  return c->final[state];
}

bool
cht_has_event (const cht_t *c, int state, int event)
{
  return c->transitions[(size_t)state * c->desc.event_count + (size_t)event]
             .count
         > 0;
}

cht_step_t
cht_fire (const cht_t *c, int state, int event, uint32_t guards)
{
  const _cht_transition_t *transition
      = &c->transitions[(size_t)state * c->desc.event_count + (size_t)event];
  for (size_t i = 0; i < transition->count; i++)
    {
      const _cht_alternative_t *a = &transition->v[i];
      bool holds = a->guard < 0 || ((guards >> a->guard) & 1U) != a->negated;
      if (!holds)
        continue;
      cht_step_t step = { .next = a->next, .action_count = a->action_count };
      memcpy (step.actions, a->actions, sizeof step.actions);
      return step;
    }
  inv_fail (__FILE__, __LINE__, "chart-transition",
            "state %s has no transition for event %s, guards %x",
            c->desc.states[state], c->desc.events[event], guards);
}
