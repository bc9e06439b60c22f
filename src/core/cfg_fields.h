/** @file
 * The keys of each kind of section, and how their values are written;
 * private to cfg.
 */
#ifndef RTS_CFG_FIELDS_H
#define RTS_CFG_FIELDS_H

#include "core/cfg_index.h"

#include <glib.h>

/** Longest route path and model name, in characters. */
#define CFG_PATH_MAX 200

/** Kinds of section. */
#define CFG_SECTION_KINDS_NUM 6

/** How a value is written. */
typedef enum
{
  CFG_TYPE_NAME,
  CFG_TYPE_TEXT,
  CFG_TYPE_RATE,
  CFG_TYPE_NUMBER,
  CFG_TYPE_COUNT,
  CFG_TYPE_FLAG,
  CFG_TYPE_KIND,
  CFG_TYPE_DURATION,
  CFG_TYPE_ADDRESS,
  CFG_TYPE_SHA256,
} cfg_type_t;

/** One key of a section. */
typedef struct
{
  const char *key;
  cfg_type_t type;
  size_t offset;
  const char *default_value; /**< NULL: the key must be given */
  double min;
  double max;
  const char *expected;
  bool is_reference; /**< to something in the table below */
  cfg_index_kind_t target;
} cfg_field_t;

/** One kind of section. */
typedef struct
{
  const char *keyword;
  const char *syntax;
  const cfg_field_t *fields;
  size_t size;
  size_t array; /**< offset of the array in cfg_doc_t */
  size_t count; /**< and of its length */
  cfg_index_kind_t index;
} cfg_section_kind_t;

/** One parsed section.  Documents share those that are the same and count
 * themselves: a talloc reference is found again only by walking over all of a
 * document's children. */
typedef struct cfg_piece
{
  unsigned doc_count;      /**< that hold it; the last one frees it */
  const char *name;        /**< of the section */
  const char *object_name; /**< of the name, behind the kind */
  const cfg_section_kind_t *kind;
  unsigned line; /**< in the text that it was parsed from */
  char *record;  /**< kind->size bytes */
} cfg_piece_t;

/** All kinds of section. */
extern const cfg_section_kind_t cfg_section_kinds[CFG_SECTION_KINDS_NUM];

/** Whether S may name a section or a team. */
bool cfg_name_valid (const char *s);

/** Write the value S of FIELD into RECORD, strings owned by CTX; false when S
 * is not valid. */
bool cfg_field_set (void *ctx, const cfg_field_t *field, const char *s,
                    char *record);

/** Parse SECTION of FILE into a piece owned by CTX, its faults into FAULTS
 * owned by FAULTS_CTX; NULL when the kind is not known. */
cfg_piece_t *cfg_piece_parse (void *ctx, GKeyFile *file,
                              const cfg_section_t *section, void *faults_ctx,
                              cfg_faults_t *faults);

#endif
