#ifndef STATE_VERSIONS_H
#define STATE_VERSIONS_H

/* The versions of the operators' configuration: their texts, as far as they can be read
 * back, and the digests of the calls that set them. The table holds one; an entry point holds a
 * shorter one for repair. Nothing here waits. */

#include <json-c/json.h>

#include "state/change.h"

/* One version of the operators' document. */
#define VERSION_FIELDS(X)                                                                            \
    X(U64, version, 0)                                                                               \
    X(TXT, text, 0) /* the whole document, or a merge patch on the version before; empty: dropped */ \
    X(U64, base, 0)                                                                                  \
    X(FLAG, patch, 0)                                                                                \
    X(TXT, digest, 0) /* of the call that set it, when that named the version; else empty */         \
    X(ONE, limits, ConfigLimits)
SHAPE(Version, VERSION_FIELDS)

/* The versions that were committed, the newest last.
 *
 * A document of a thousand queues has 300 KB and changes by some hundred bytes at
 * a time. So one whole text is kept, and patches from there on; a text is made of
 * them when it is asked for. Texts are parsed only where the document is used: that costs a
 * hundred times more than keeping them.
 *
 * Rows whose texts are dropped are kept for the digests of their calls: an operator whose
 * answers are lost keeps sending while others make hundreds of changes, and must not be
 * refused what was accepted.
 *
 * Invariants: rows are sorted by version; the row at whole is no patch, and all
 * rows from there on have their texts, those before have none; the texts after the whole
 * one have at most CONFIG_HISTORY_BYTES together. */
typedef struct Versions {
    Version *rows;
    size_t count, whole;
    size_t keep;        /* count; versions that can be read back, as far as the bytes allow */
    size_t known;       /* count; versions whose calls are recognised when sent again; >= keep */
    size_t bytes;       /* of the texts from whole on ... */
    size_t whole_bytes; /* ... and of the whole one's */
} Versions;

/* An empty history on mem, which owns it and all its texts. */
Versions *versions_new(void *mem, size_t keep, size_t known);
/* 0: there is no version yet. */
uint64_t versions_newest(const Versions *versions);
/* An upper bound on the bytes of the newest version's text. */
size_t versions_size(const Versions *versions);
/* The limits of the newest version; all 0 when there is none. Valid until the next change of the history. */
const ConfigLimits *versions_limits(const Versions *versions);
/* The version that was set by the call with this digest; 0: no known one. */
uint64_t versions_digest(const Versions *versions, const char *digest);

/* Appends a copy of the row and drops what is beyond the bounds. The caller makes sure that
 * its version is above the newest, and that a patch has that as its base. */
void versions_add(Versions *versions, const Version *row);
/* Appends copies of rows as they were saved. The history must be empty. */
void versions_load(Versions *versions, const Version *rows, size_t count);

/* The whole text of a version, on mem; null when it can't be read back. */
const char *versions_text(const Versions *versions, void *mem, uint64_t version);
/* The newest as a tree, null when there is none; the caller ends its use by
 * json_object_put. have (may be null) is the tree of version have_version: where possible the
 * later patches are applied to it, so that no whole text is parsed. */
json_object *versions_tree(const Versions *versions, json_object *have, uint64_t have_version);

#endif
