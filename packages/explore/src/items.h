#ifndef EXPLORE_SRC_ITEMS_H
#define EXPLORE_SRC_ITEMS_H

/* Log entries in the form that the explorer stores: hashes and voters (items.c). */

#include "state.h"

/* Appends a copy of the item; the list is allocated on mem. Returns the copy, which the next call may move. */
Item *items_add(void *mem, Items *items, const Item *item);
/* Converts a log entry to an item; its voters are allocated on mem. */
Item item_from_record(void *mem, const Record *entry);
/* Returns the state hash after the item is applied to a state with the given hash. */
uint64_t state_hash_next(uint64_t state_hash, const Item *item);

#endif
