/* Arrays that grow by one element at a time. */
#include "base/array.h"

#include <assert.h>
#include <talloc.h>

#define CAPACITY_FIRST 16 /* count; elements of an array at first */

void *array_grow(void *mem, void *items, size_t item_bytes, size_t count, size_t *capacity)
{
    assert(count <= *capacity);
    if (count < *capacity)
        return items;
    *capacity = *capacity > 0 ? *capacity * 2 : CAPACITY_FIRST;
    return talloc_realloc_size(mem, items, *capacity * item_bytes);
}
