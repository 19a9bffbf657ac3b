#ifndef CONFIG_SRC_CONFIG_ROUTES_H
#define CONFIG_SRC_CONFIG_ROUTES_H

/* The routes of a document, indexed so that a request finds its queue without a scan: for each host the distinct
 * lengths of its prefixes, the longest first, and all routes by host and prefix. */

#include "config/config.h"

/* Creates an index for at most count routes, owned by mem. */
ConfigRoutes *routes_new(void *mem, size_t count);
/* Adds a route; its texts must outlive the index. hash: route_hash of its host and prefix. Returns false when the index
 * already has a route with this host and prefix, which remains; *other is set to it. */
bool routes_add(ConfigRoutes *routes, const ConfigRoute *place, guint hash, const ConfigRoute **other);
/* Returns the hash of a host and a prefix. */
guint route_hash(const char *host, const char *prefix, size_t prefix_length);
/* Returns the route with this host (case-insensitive, without its port) and the longest prefix of the path; null:
 * none. */
const ConfigRoute *routes_find(const ConfigRoutes *routes, const char *host, const char *path);

#endif
