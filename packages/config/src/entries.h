#ifndef CONFIG_SRC_ENTRIES_H
#define CONFIG_SRC_ENTRIES_H

#include "config/config.h"

/* All entries of a document, found by host and path without a walk over them:
 * for each host its prefixes' different lengths, the longest first, and all
 * entries by host and prefix. */
ConfigEntries *entries_new(void *mem, size_t count);
/* hash: entry_hash of its host and prefix. False: another place has this host and prefix already; it is in place then.
 */
bool entries_add(ConfigEntries *entries, const ConfigPlace *place, guint hash, const ConfigPlace **other);
guint entry_hash(const char *host, const char *prefix, size_t prefix_length);
const ConfigPlace *entries_find(const ConfigEntries *entries, const char *host, const char *path);

#endif
