/** @file
 * The chart files, embedded with the assembler's .incbin directive.
 *
 * A new file charts/NAME.ini needs a CHT_EMBED line and a row in _cht_texts.
 */
#include "core/cht.h"

#include <string.h>

#define CHT_EMBED(name)                                                       \
  __asm__(".section .rodata\n"                                                \
          ".global cht_text_" #name "\n"                                      \
          "cht_text_" #name ":\n"                                             \
          ".incbin \"charts/" #name ".ini\"\n"                                \
          ".byte 0\n"                                                         \
          ".previous\n");                                                     \
  extern const char cht_text_##name[]

CHT_EMBED (chunk);
CHT_EMBED (item);
CHT_EMBED (job);
CHT_EMBED (node);
CHT_EMBED (request);
CHT_EMBED (upstream);

static const struct
{
  const char *name;
  const char *text;
} _cht_texts[] = {
  { "chunk", cht_text_chunk },     { "item", cht_text_item },
  { "job", cht_text_job },         { "node", cht_text_node },
  { "request", cht_text_request }, { "upstream", cht_text_upstream },
};

#define _CHT_TEXT_COUNT (sizeof _cht_texts / sizeof _cht_texts[0])

const char *
cht_text (const char *name)
{
  for (size_t i = 0; i < _CHT_TEXT_COUNT; i++)
    {
      if (strcmp (_cht_texts[i].name, name) == 0)
        return _cht_texts[i].text;
    }
  return NULL;
}

const char *
cht_text_name (size_t i)
{
  return i < _CHT_TEXT_COUNT ? _cht_texts[i].name : NULL;
}
