/** @file
 * Configuration document (prefix cfg_), private: the keys of each kind of
 * section, the format of their values, and parsed sections.  Other modules use
 * cfg.h.
 */
#ifndef RTS_CFG_FIELDS_H
#define RTS_CFG_FIELDS_H

#include "core/cfg_index.h"

#include <glib.h>

/** Longest route path and model name, in bytes. */
#define CFG_PATH_MAX 200

/** Kinds of section. */
#define CFG_SECTION_KINDS_NUM 6

/** Formats of values. */
typedef enum
{
  CFG_TYPE_NAME,     /**< name of a section or team, a const char * */
  CFG_TYPE_TEXT,     /**< any text, a const char * */
  CFG_TYPE_RATE,     /**< requests a second or minute, a double */
  CFG_TYPE_NUMBER,   /**< number without unit, a double */
  CFG_TYPE_COUNT,    /**< integer, a uint32_t */
  CFG_TYPE_FLAG,     /**< yes or no, a bool */
  CFG_TYPE_KIND,     /**< engine or plain, a cfg_deployment_kind_t */
  CFG_TYPE_DURATION, /**< number with unit, a clk_ms_t */
  CFG_TYPE_ADDRESS,  /**< IP:PORT, a const char * */
  CFG_TYPE_SHA256,   /**< lower-case hex, a const char * */
} cfg_type_t;

/** One key of a section. */
typedef struct
{
  const char *key;
  cfg_type_t type;
  size_t offset;             /**< of the field in the section's struct */
  const char *default_value; /**< as written; NULL: the key is required */
  double min; /**< least number; a rate in requests a second, a duration in
                   ms */
  double max; /**< largest number, in the unit of min */
  const char *expected;    /**< value and unit, for faults */
  bool is_reference;       /**< the value names a section */
  cfg_index_kind_t target; /**< kind of that section */
} cfg_field_t;

/** One kind of section. */
typedef struct
{
  const char *keyword;       /**< first word of the header */
  const char *syntax;        /**< of the header, for faults */
  const cfg_field_t *fields; /**< ends with a field without key */
  size_t size;               /**< of the section's struct */
  size_t array;              /**< offset of the array in cfg_doc_t */
  size_t count;              /**< offset of the array's length in cfg_doc_t */
  cfg_index_kind_t index;    /**< lookup table of the names */
} cfg_section_kind_t;

/** One parsed section (piece).  Documents share unchanged pieces, which are
 * reference-counted.  Talloc references are too slow: to remove one, talloc
 * walks over all children of a document. */
typedef struct cfg_piece
{
  unsigned doc_count;      /**< documents that hold this piece; the last one
                                frees the piece */
  const char *name;        /**< of the section, with the keyword */
  const char *object_name; /**< part of the name after the keyword */
  const cfg_section_kind_t *kind;
  unsigned line; /**< of the header in the parsed text */
  char *record;  /**< the section's struct of kind->size bytes */
} cfg_piece_t;

/** All kinds of section. */
extern const cfg_section_kind_t cfg_section_kinds[CFG_SECTION_KINDS_NUM];

/** Whether S is a valid name of a section or a team. */
bool cfg_name_valid (const char *s);

/** Parse S as a value of FIELD into RECORD, strings owned by CTX; false when S
 * is not valid. */
bool cfg_field_set (void *ctx, const cfg_field_t *field, const char *s,
                    char *record);

/** Parse SECTION of FILE into a piece owned by CTX.  Faults go to FAULTS,
 * owned by FAULTS_CTX.  Returns NULL when the kind of section is not known. */
cfg_piece_t *cfg_piece_parse (void *ctx, GKeyFile *file,
                              const cfg_section_t *section, void *faults_ctx,
                              cfg_faults_t *faults);

#endif
