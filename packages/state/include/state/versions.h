#ifndef STATE_VERSIONS_H
#define STATE_VERSIONS_H

/* The version history of the operators' configuration: the texts of recent versions, and the digests of the calls that
 * set them. The state table holds one history; an entry point holds a shorter one for repair. No function here suspends
 * the coroutine. */

#include <json-c/json.h>

#include "state/change.h"

/* One version of the operators' configuration document. */
#define VERSION_FIELDS(X)                                                                                 \
    X(U64, version, 0)                                                                                    \
    X(TXT, text, 0) /* the complete document, or a merge patch on the previous version; empty: dropped */ \
    X(U64, base, 0)                                                                                       \
    X(FLAG, patch, 0)                                                                                     \
    X(TXT, digest, 0) /* digest of the call that set it, if the call named its version; else empty */     \
    X(ONE, limits, ConfigLimits)
SHAPE(Version, VERSION_FIELDS)

/* The committed versions, the newest last.
 *
 * A document with a thousand queues takes 300 KB and changes by some hundred bytes at a time. The history therefore
 * stores one complete text, the first one, and merge patches from there on, and builds the text of a version on demand.
 * Texts are parsed only where the document is used, since parsing costs a hundred times more than storing them.
 *
 * Rows stay for the digests of their calls after their texts are dropped: an operator whose answers are lost keeps
 * retrying while others make hundreds of changes, and a call that was accepted must not be refused.
 *
 * Invariants: rows are sorted by version; the row at index first_text is not a patch; all rows from there on have their
 * texts and those before have none; the texts after the first take at most CONFIG_HISTORY_BYTES in total. */
typedef struct Versions {
    Version *rows;
    size_t count;
    size_t first_text;       /* index of the row with the first text */
    size_t text_limit;       /* target number of versions with a text; fewer when the texts are large */
    size_t digest_limit;     /* target number of versions whose digests are recognised; >= text_limit */
    size_t bytes;            /* size of all stored texts */
    size_t first_text_bytes; /* size of the first text */
} Versions;

/* Creates an empty history, owned by mem; the history owns its texts. text_limit, digest_limit: see Versions. */
Versions *versions_new(void *mem, size_t text_limit, size_t digest_limit);
/* Returns the number of the newest version; 0: none yet. */
uint64_t versions_newest(const Versions *versions);
/* Returns an upper bound on the size of the text of the newest version, in bytes. */
size_t versions_newest_size_max(const Versions *versions);
/* Returns the limits of the newest version; all 0 when there is none. Valid until the next change of the history. */
const ConfigLimits *versions_limits(const Versions *versions);
/* Returns the version that the call with this digest set; 0: unknown digest. */
uint64_t versions_find_digest(const Versions *versions, const char *digest);

/* Appends a copy of the row and trims the history to its bounds. The row's version must be above the newest one, and a
 * patch must have the newest version as its base. */
void versions_add(Versions *versions, const Version *row);
/* Appends copies of the rows of a saved history. The history must be empty. */
void versions_load(Versions *versions, const Version *rows, size_t count);

/* Returns the complete text of a version, owned by mem; null when it is unknown or its text was dropped. */
const char *versions_text(const Versions *versions, void *mem, uint64_t version);
/* Returns the newest version as a JSON tree, which the caller releases by json_object_put; null when there is none.
 * have (may be null) is the tree of version have_version: if possible the later patches are applied to that tree, so
 * that no complete text is parsed; it is not modified. */
json_object *versions_tree(const Versions *versions, json_object *have, uint64_t have_version);

#endif
