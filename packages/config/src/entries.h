#ifndef CONFIG_SRC_ENTRIES_H
#define CONFIG_SRC_ENTRIES_H

/* All entries of a document, by which requests find their queue, without a walk over them:
 * for each host its prefixes' different lengths, the longest first, and all entries by
 * host and prefix. */

#include "config/config.h"

/* For at most count entries. Owned by mem. */
ConfigEntries *entries_new(void *mem, size_t count);
/* Adds an entry; its texts must outlive the entries. hash: entry_hash of its host and prefix.
 * False: *other, which has this host and prefix already, stays instead. */
bool entries_add(ConfigEntries *entries, const ConfigPlace *place, guint hash, const ConfigPlace **other);
guint entry_hash(const char *host, const char *prefix, size_t prefix_length);
/* The entry of the host (in any case, without its port) with the longest prefix that starts the
 * path; null: none. */
const ConfigPlace *entries_find(const ConfigEntries *entries, const char *host, const char *path);

#endif
