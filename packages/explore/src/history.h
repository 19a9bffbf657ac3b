#ifndef EXPLORE_SRC_HISTORY_H
#define EXPLORE_SRC_HISTORY_H

/* What is committed (history.c). */

#include "state.h"

/* Null: nothing is committed there yet. */
const Item *history_item(const History *history, uint64_t index);
/* Adds what the node has committed beyond the history, and checks each new item. */
void history_follow(Explore *explore, const Node *node, const ReplicationInspection *window);

#endif
