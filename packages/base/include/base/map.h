#ifndef BASE_MAP_H
#define BASE_MAP_H

/* A hash table from text to any value, freed with its talloc parent. */

#include <stddef.h>

/* Invariant: keys are owned by the map, which copies them; values are not. */
typedef struct Map Map;

Map *map_new(void *mem);
/* Null: the key is not there. */
void *map_get(const Map *map, const char *key);
/* Puts the value there, instead of one that the key has. */
void map_set(Map *map, const char *key, void *value);
/* Nothing when the key is not there. */
void map_drop(Map *map, const char *key);
size_t map_count(const Map *map);
/* All keys in the order of strcmp; the array is on mem, the texts are the map's and valid
 * until their keys are dropped. The count is returned. Decisions walk maps in this order
 * so that equal states decide alike. */
size_t map_keys(const Map *map, void *mem, const char ***keys);

#endif
