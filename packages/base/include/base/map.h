#ifndef BASE_MAP_H
#define BASE_MAP_H

/* A hash table from text to any value, freed with its talloc parent. */

#include <stddef.h>

/* Invariant: keys are owned by the map, which copies them; values are not. */
typedef struct Map Map;

Map *map_new(void *mem);
/* The value of the key; null: the key is not there. */
void *map_get(const Map *map, const char *key);
/* Sets the value of the key. */
void map_set(Map *map, const char *key, void *value);
/* Removes the key; no effect when it is not there. */
void map_drop(Map *map, const char *key);
size_t map_count(const Map *map);
/* All keys in the order of strcmp; the array is on mem, the texts are the map's and valid
 * until their keys are dropped. The count is returned. Code that decides walks maps in this order,
 * so that equal states lead to equal decisions. */
size_t map_keys(const Map *map, void *mem, const char ***keys);

#endif
