#ifndef EXPLORE_SRC_HISTORY_H
#define EXPLORE_SRC_HISTORY_H

/* The history: all entries that have been committed (history.c). */

#include "state.h"

/* Returns the committed entry at the index, or null if nothing is committed there yet. */
const Item *history_item(const History *history, uint64_t index);
/* Adds the entries that the node has committed beyond the end of the history, and checks each of them. */
void history_update(Explore *explore, const Node *node, const ReplicationInspection *inspection);

#endif
