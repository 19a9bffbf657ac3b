#ifndef BASE_ARRAY_H
#define BASE_ARRAY_H

/* Arrays on talloc memory that grow by one element at a time. */

#include <stddef.h>

/* Makes the array large enough for one more element behind the first count: where they fill *capacity, it is doubled
 * and they move. items: null while *capacity is 0, else what was returned last, a child of mem. Returns where the
 * elements are now. */
void *array_grow(void *mem, void *items, size_t item_bytes, size_t count, size_t *capacity);

#endif
