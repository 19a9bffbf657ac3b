#ifndef MODEL_SRC_OPERATORORDER_H
#define MODEL_SRC_OPERATORORDER_H

#include "operator.h"

#define CALL_MOST_MS 1000 /* ms; a silence after which another node is asked */

/* An order that is repeated until it is answered clearly. */
typedef struct Ordering {
    Operator *owner;
    Sent *sent; /* null: a zone's */
    const char *zone;
    bool drain, patch, raced;
    Document from; /* what a patch begins with */
    int64_t sent_ms;
    bool lateTold, over;
} Ordering;

Loop *operatorLoop(const Operator *self);
/* A node that serves operators, of a list that lags. */
GroundNode *operatorNode(Operator *self);
const char *outcomeWord(Outcome outcome);
/* Asks a node once; result may be NULL. */
Outcome operatorAsk(const Operator *self, void *mem, const GroundNode *node, const char *method, const Worded *worded,
                    Bytes *result);
/* Sends the order until it is answered clearly, for so long; UNCLEAR: it never was. */
Outcome orderSend(Ordering *ordering, const Worded *worded, int64_t for_ms);

#endif
