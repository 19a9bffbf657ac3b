#ifndef ROUTING_SRC_FORWARDING_H
#define ROUTING_SRC_FORWARDING_H

#include "attempt.h"
#include "routing/retry_rules.h"
#include "pause.h"

/* A forwarded request over all of its attempts: which route the next attempt takes, how long it lasts, whether the
 * request may be sent again, and the result when the request is abandoned. Layers: forward.c (the request from arrival
 * to result) uses order.c (identity of an order for a zone), which uses forwarding.c; that uses attempt.c, which uses
 * leader_route.c. No layer calls one above it. */

struct Forwarder {
    ForwarderSettings settings;
    LeaderRoute *leader_route;
    Attempts *attempts;
    Pause pause;
    int64_t end_ms; /* no request waits beyond this time; INT64_MAX: no shutdown is in progress */
};

/* The state of one request. Invariant: maybe_accepted is true once an attempt which may have changed something
 * has ended without a definite answer; it is never cleared. */
typedef struct Forwarding {
    Forwarder *forwarder;
    HttpExchange *task;
    RetryPolicy repeat;
    int64_t start_ms, until_ms; /* arrival and deadline, by the loop's clock */
    bool maybe_accepted;
    bool base_added; /* the base stamp of an order for a zone was read here, not supplied by the caller */
} Forwarding;

/* Suspends the coroutine. Makes one attempt after another until there is an answer for the caller; false: the request
 * is abandoned. The answer is allocated on the task. ask->again is set for each attempt that follows one which may have
 * been accepted. */
bool forward_attempts(Forwarding *forwarding, ForwardAsk *ask, ForwardAnswer *answer);
/* Sets the task's result from the answer. */
void forward_set_result(HttpExchange *task, const ForwardAnswer *answer);
/* Sets the task's result for an abandoned request: 503 if it was certainly not accepted, else 504; both with
 * Retry-After. */
void forward_set_refusal(const Forwarding *forwarding);

#endif
