/* The map, implemented on GLib's hash table. */
#include "base/map.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

struct Map {
    GHashTable *table;
};

static int map_free(Map *map)
{
    g_hash_table_destroy(map->table);
    return 0;
}

Map *map_new(void *mem)
{
    Map *map = talloc_zero(mem, Map);
    map->table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    talloc_set_destructor(map, map_free);
    return map;
}

void *map_get(const Map *map, const char *key)
{
    return g_hash_table_lookup(map->table, key);
}

void map_set(Map *map, const char *key, void *value)
{
    g_hash_table_insert(map->table, g_strdup(key), value);
}

void map_remove(Map *map, const char *key)
{
    g_hash_table_remove(map->table, key);
}

size_t map_count(const Map *map)
{
    return g_hash_table_size(map->table);
}

static int key_order(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

size_t map_keys(const Map *map, void *mem, const char ***keys)
{
    const size_t count = g_hash_table_size(map->table);
    *keys = talloc_array(mem, const char *, (unsigned)count);
    GHashTableIter iter;
    gpointer key;
    size_t at = 0;
    g_hash_table_iter_init(&iter, map->table);
    while (g_hash_table_iter_next(&iter, &key, NULL))
        (*keys)[at++] = key;
    qsort(*keys, count, sizeof(**keys), key_order);
    return count;
}
