#ifndef EXPLORE_SRC_HISTORY_H
#define EXPLORE_SRC_HISTORY_H

#include "inside.h"

/* The item at the index, or null. */
const Item *history_item(const History *history, uint64_t index);
/* Takes in what the node has committed beyond the history. */
void history_follow(Explore *explore, const Node *node, const ReplicationWindow *window);

#endif
