#ifndef MODEL_SRC_OPERATOR_ORDER_H
#define MODEL_SRC_OPERATOR_ORDER_H

#include "operator.h"

#define CALL_MOST_MS 1000 /* ms; a silence after which another node is asked */

/* A request that is repeated until it is answered clearly. */
typedef struct Ordering {
    Operator *owner;
    Sent *sent; /* null: a zone's */
    const char *zone;
    bool drain, patch, raced;
    Document from; /* what a patch begins with */
    int64_t sent_ms;
    bool late_notified, over;
} Ordering;

Loop *operator_loop(const Operator *self);
/* Any node that has not gone for good: the operator's list may be out of date. */
TopologyNode *operator_node(Operator *self);
const char *outcome_word(Outcome outcome);
/* Asks a node once; result may be NULL. */
Outcome operator_ask(const Operator *self, void *mem, const TopologyNode *node, const char *method,
                     const Worded *worded, Bytes *result);
/* Sends the order until it is answered clearly, for so long; UNCLEAR: it never was. */
Outcome order_send(Ordering *ordering, const Worded *worded, int64_t for_ms);

#endif
