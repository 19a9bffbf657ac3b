#ifndef STATE_VERSIONS_H
#define STATE_VERSIONS_H

#include <json-c/json.h>

#include "state/change.h"

/* One version of the operators' document. */
#define VERSION_FIELDS(X)                                                                      \
    X(U64, version, 0)                                                                         \
    X(TXT, text, 0) /* the whole, or a merge patch upon the version before; empty: dropped */  \
    X(U64, base, 0)                                                                            \
    X(FLAG, patch, 0)                                                                          \
    X(TXT, digest, 0) /* of the call that brought it, when it named the version; else empty */ \
    X(ONE, limits, ConfigLimits)
SHAPE(Version, VERSION_FIELDS)

/* The versions that were committed, the newest last.
 *
 * A document of a thousand queues has 300 KB and changes by some hundred bytes at
 * a time. So one whole text is kept, and patches from there on; a text is made of
 * them when it is asked for. Reading, which costs a hundred times more than
 * keeping, is done where the document is used and nowhere else.
 *
 * Rows whose texts are dropped are kept for the digests of their calls: an operator whose
 * answers are lost sends on while others make hundreds of changes, and must not be refused
 * what was taken.
 *
 * Invariants: rows are sorted by version; the row at whole is no patch, and all
 * rows from there on have their texts, those before have none; older texts
 * together are bounded by CONFIG_HISTORY_BYTES. */
typedef struct Versions {
    Version *rows;
    size_t count, whole;
    size_t keep;        /* so many can at least be read back, as far as the bytes allow */
    size_t known;       /* of so many at least the calls are known, when they are sent again; >= keep */
    size_t bytes;       /* of the texts from whole on ... */
    size_t whole_bytes; /* ... and of the whole one's */
} Versions;

Versions *versions_new(void *mem, size_t keep, size_t known);
/* 0: none yet. */
uint64_t versions_newest(const Versions *versions);
/* Of the newest: bytes that its text has at most. */
size_t versions_size(const Versions *versions);
/* Of the newest. */
const ConfigLimits *versions_limits(const Versions *versions);
/* The version that a call of this digest brought; 0: none that is known. */
uint64_t versions_digest(const Versions *versions, const char *digest);

/* A patch must build on the newest, and every version be above it. */
void versions_add(Versions *versions, const Version *row);
/* Takes rows as they were saved. */
void versions_load(Versions *versions, const Version *rows, size_t count);

/* The whole text of a version, on mem; null when it can't be read back. */
const char *versions_text(const Versions *versions, void *mem, uint64_t version);
/* The newest as a tree; have (may be null) is that of an earlier version, from
 * which it is made by the patches since. Null: none. */
json_object *versions_tree(const Versions *versions, json_object *have, uint64_t have_version);

#endif
