#ifndef BASE_MAP_H
#define BASE_MAP_H

#include <stddef.h>

/* Text to value, freed with its talloc parent.
 * Invariant: keys are owned by the map; values are not. */
typedef struct Map Map;

Map *mapNew(void *mem);
void *mapGet(const Map *map, const char *key);
void mapSet(Map *map, const char *key, void *value);
void mapDrop(Map *map, const char *key);
size_t mapCount(const Map *map);
/* All keys in order, on mem; the count is returned. Decisions walk maps in this
 * order so that equal states decide alike. */
size_t mapKeys(const Map *map, void *mem, const char ***keys);

#endif
