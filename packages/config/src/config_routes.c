/* The index of routes by host and prefix. */
#include "config_routes.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* The key of a route. prefix need not be zero-terminated, since look-ups pass the beginning of a path. */
typedef struct RouteKey {
    const char *host, *prefix;
    size_t prefix_length;
    guint hash;
} RouteKey;

typedef struct RouteEntry {
    RouteKey key; /* must be first */
    ConfigRoute place;
} RouteEntry;

/* The distinct lengths of a host's prefixes. */
typedef struct PrefixLengths {
    size_t count;
    size_t *lengths; /* in bytes, the longest first */
} PrefixLengths;

struct ConfigRoutes {
    GHashTable *by_key;
    GHashTable *by_host; /* host to PrefixLengths */
    RouteEntry *list;
    size_t count;
};

guint route_hash(const char *host, const char *prefix, size_t prefix_length)
{
    guint hash = g_str_hash(host);
    for (size_t i = 0; i < prefix_length; i++)
        hash = hash * 33 + (unsigned char)prefix[i];
    return hash;
}

static guint key_hash(gconstpointer data)
{
    return ((const RouteKey *)data)->hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
    const RouteKey *one = a, *other = b;
    return one->hash == other->hash && one->prefix_length == other->prefix_length &&
           memcmp(one->prefix, other->prefix, one->prefix_length) == 0 && strcmp(one->host, other->host) == 0;
}

static int routes_free(ConfigRoutes *routes)
{
    g_hash_table_destroy(routes->by_key);
    g_hash_table_destroy(routes->by_host);
    return 0;
}

ConfigRoutes *routes_new(void *mem, size_t count)
{
    ConfigRoutes *routes = talloc_zero(mem, ConfigRoutes);
    routes->by_key = g_hash_table_new(key_hash, key_equal);
    routes->by_host = g_hash_table_new(g_str_hash, g_str_equal);
    routes->list = talloc_array(routes, RouteEntry, (unsigned)count);
    talloc_set_destructor(routes, routes_free);
    return routes;
}

/* Records that the host has a prefix of this length, in bytes. */
static void add_prefix_length(ConfigRoutes *routes, const char *host, size_t length)
{
    PrefixLengths *lengths = g_hash_table_lookup(routes->by_host, host);
    if (lengths == NULL) {
        lengths = talloc_zero(routes, PrefixLengths);
        g_hash_table_insert(routes->by_host, (gpointer)(uintptr_t)host, lengths);
    }
    size_t at = 0;
    while (at < lengths->count && lengths->lengths[at] > length)
        at++;
    if (at < lengths->count && lengths->lengths[at] == length)
        return;
    lengths->lengths = talloc_realloc(routes, lengths->lengths, size_t, (unsigned)(lengths->count + 1));
    memmove(lengths->lengths + at + 1, lengths->lengths + at, (lengths->count - at) * sizeof(size_t));
    lengths->lengths[at] = length;
    lengths->count++;
}

bool routes_add(ConfigRoutes *routes, const ConfigRoute *place, guint hash, const ConfigRoute **other)
{
    RouteEntry *entry = &routes->list[routes->count];
    const ConfigQueue *queue = place->queue;
    *entry = (RouteEntry){{queue->host, queue->prefix, place->prefix_length, hash}, *place};
    if (!g_hash_table_insert(routes->by_key, &entry->key, entry)) { /* restore the value of the existing key */
        gpointer known;
        g_hash_table_lookup_extended(routes->by_key, &entry->key, &known, NULL);
        g_hash_table_insert(routes->by_key, known, known);
        *other = &((RouteEntry *)known)->place;
        return false;
    }
    routes->count++;
    add_prefix_length(routes, queue->host, place->prefix_length);
    return true;
}

const ConfigRoute *routes_find(const ConfigRoutes *routes, const char *host, const char *path)
{
    char name[CONFIG_PATH_MAX + 1];
    size_t length = strcspn(host, ":");
    if (length > CONFIG_PATH_MAX)
        return NULL;
    for (size_t i = 0; i < length; i++)
        name[i] = (char)tolower((unsigned char)host[i]);
    name[length] = '\0';
    const PrefixLengths *lengths = g_hash_table_lookup(routes->by_host, name);
    const size_t path_length = lengths != NULL ? strlen(path) : 0;
    for (size_t i = 0; lengths != NULL && i < lengths->count; i++) {
        if (lengths->lengths[i] > path_length)
            continue;
        const size_t prefix_length = lengths->lengths[i];
        const RouteKey key = {name, path, prefix_length, route_hash(name, path, prefix_length)};
        const RouteEntry *entry = g_hash_table_lookup(routes->by_key, &key);
        if (entry != NULL)
            return &entry->place;
    }
    return NULL;
}
