/* Growable arrays. */
#include "base/array.h"

#include <assert.h>
#include <talloc.h>

#define CAPACITY_INITIAL 16 /* Elements of a new array */

void *array_grow(void *mem, void *items, size_t item_bytes, size_t count, size_t *capacity)
{
    assert(count <= *capacity);
    if (count < *capacity)
        return items;
    *capacity = *capacity > 0 ? *capacity * 2 : CAPACITY_INITIAL;
    return talloc_realloc_size(mem, items, *capacity * item_bytes);
}
