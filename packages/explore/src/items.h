#ifndef EXPLORE_SRC_ITEMS_H
#define EXPLORE_SRC_ITEMS_H

/* Entries of the log as the explorer keeps them (items.c). */

#include "state.h"

/* Appends a copy, on mem. */
Item *items_add(void *mem, Items *items, const Item *item);
/* What an entry of the log is; its voters are on mem. */
Item item_of(void *mem, const Record *entry);
/* The hash of the state after the item. */
uint64_t chain_next(uint64_t chain, const Item *item);

#endif
