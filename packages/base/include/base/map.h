#ifndef BASE_MAP_H
#define BASE_MAP_H

#include <stddef.h>

/* Text to value, freed with its talloc parent.
 * Invariant: keys are owned by the map; values are not. */
typedef struct Map Map;

Map *map_new(void *mem);
void *map_get(const Map *map, const char *key);
void map_set(Map *map, const char *key, void *value);
void map_drop(Map *map, const char *key);
size_t map_count(const Map *map);
/* All keys in order, on mem; the count is returned. Decisions walk maps in this
 * order so that equal states decide alike. */
size_t map_keys(const Map *map, void *mem, const char ***keys);

#endif
