#ifndef BASE_ARRAY_H
#define BASE_ARRAY_H

/* Growable arrays on talloc memory. */

#include <stddef.h>

/* Ensures room for one more element after the first count elements. If *capacity is exhausted it is doubled and the
 * array is reallocated. items: null while *capacity is 0, otherwise the last result, a child of mem. Returns the
 * array's current address. */
void *array_grow(void *mem, void *items, size_t item_bytes, size_t count, size_t *capacity);

#endif
