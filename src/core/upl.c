#include "core/upl.h"

bool
upl_word_is_limit (const upl_word_t *word)
{
  return isfinite (word->per_s);
}

/** Takes the rate of WORD. */
static upl_merge_t
_upl_word_replace (upl_word_t *state, const upl_word_t *word)
{
  upl_merge_t merge
      = word->per_s == state->per_s ? UPL_CONFIRMED : UPL_CHANGED;
  *state = *word;
  return merge;
}

upl_merge_t
upl_word_merge (upl_word_t *state, const upl_word_t *word, clk_ms_t doubt)
{
  if (word->said_at + doubt < state->sent_at)
    return UPL_OLDER;
  if (word->sent_at > state->said_at + doubt || word->per_s < state->per_s)
    return _upl_word_replace (state, word);
  if (word->per_s > state->per_s)
    return UPL_OLDER;
  state->sent_at = clk_max (state->sent_at, word->sent_at);
  state->said_at = clk_max (state->said_at, word->said_at);
  return UPL_CONFIRMED;
}
