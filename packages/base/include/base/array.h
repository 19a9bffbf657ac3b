#ifndef BASE_ARRAY_H
#define BASE_ARRAY_H

/* Growable arrays on talloc memory. */

#include <stddef.h>

/* Ensures capacity for one more element than count: if the array is full, *capacity is doubled and the array is
 * reallocated. items: null while *capacity is 0, otherwise the last result, a child of mem. Returns the array's current
 * address. */
void *array_grow(void *mem, void *items, size_t item_bytes, size_t count, size_t *capacity);

#endif
