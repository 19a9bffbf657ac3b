#ifndef BASE_MAP_H
#define BASE_MAP_H

/* A hash table from text keys to pointers, freed with its talloc parent. */

#include <stddef.h>

/* The map copies and owns its keys; it does not own the values. */
typedef struct Map Map;

Map *map_new(void *mem);
/* Returns the value of the key, or null when the key is missing. */
void *map_get(const Map *map, const char *key);
/* Adds the key or replaces its value. */
void map_set(Map *map, const char *key, void *value);
/* Removes the key; no effect when it is missing. */
void map_remove(Map *map, const char *key);
size_t map_count(const Map *map);
/* Returns the number of keys and sets *keys to an array of them on mem, in the order of strcmp. The texts belong to the
 * map and are valid until their keys are removed. Decisions iterate over maps in this order, so that equal states lead
 * to equal decisions. */
size_t map_keys(const Map *map, void *mem, const char ***keys);

#endif
