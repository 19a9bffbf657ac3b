#ifndef MODEL_SRC_OPERATOR_ORDER_H
#define MODEL_SRC_OPERATOR_ORDER_H

#include "operator.h"

#define CALL_TIMEOUT_MS 1000 /* timeout after which another node is called */

/* A request that is repeated until there is a clear answer. */
typedef struct OperatorRequest {
    Operator *owner;
    Sent *sent; /* null: a request about a zone */
    const char *zone;
    /* drain: drain the zone, rather than take it back; patch: send the change only; concurrent: competes with
     * another change of the same document, and so may fail. */
    bool drain, patch, concurrent;
    Document from; /* document that a patch applies to */
    int64_t sent_ms;
    bool late_reported, finished; /* a late acknowledgement was reported; there was a clear answer */
} OperatorRequest;

/* The operator's event loop. */
Loop *operator_loop(const Operator *self);
/* Returns a random node that is not permanently removed: the operator's list of nodes may be outdated. */
TopologyNode *operator_random_node(Operator *self);
/* Returns a word for the outcome, for log lines. */
const char *outcome_word(Outcome outcome);
/* Calls a node once; result may be null. Suspends the coroutine. */
Outcome operator_call(const Operator *self, void *mem, const TopologyNode *node, const char *method,
                      const CodecRequest *worded, Bytes *result);
/* Repeats the request until there is a clear answer, for at most for_ms. Suspends the coroutine. Returns
 * OUTCOME_UNCLEAR if there was none. */
Outcome operator_request_send(OperatorRequest *request, const CodecRequest *worded, int64_t for_ms);

#endif
