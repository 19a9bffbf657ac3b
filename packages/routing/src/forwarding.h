#ifndef ROUTING_SRC_FORWARDING_H
#define ROUTING_SRC_FORWARDING_H

#include "attempt.h"
#include "routing/retry_rules.h"
#include "pause.h"

/* One request over all of its attempts: which route the next attempt takes, how long it is
 * waited for, whether the request may be sent again, and what its caller is told when it is
 * given up. Layers: forward.c (the request's life) uses order.c (identity of an order for a
 * zone), which uses this; this uses attempt.c, which uses leader_route.c. Nothing calls upwards. */

struct Forwarder {
    ForwarderSettings settings;
    LeaderRoute *leader_route;
    Attempts *attempts;
    Pause pause;
};

/* Invariant: maybe_taken says that an attempt which may have changed something has had no
 * clear answer. It is never cleared. */
typedef struct Forwarding {
    Forwarder *forwarder;
    HttpTask *task;
    Repeat repeat;
    int64_t start_ms, until_ms; /* the loop's clock: its arrival, and its deadline */
    bool maybe_taken;
    bool based; /* the base of an order for a zone was read here, not given by its caller */
} Forwarding;

/* Waits. Makes one attempt after the other until there is an answer to be given; false: the
 * request is given up. The answer lives on the task. ask->again is set for an attempt that
 * follows one which may have been taken. */
bool forward_attempts(Forwarding *one, ForwardAsk *ask, ForwardAnswer *answer);
/* Makes the answer the task's result. */
void forward_take(HttpTask *task, const ForwardAnswer *answer);
/* Makes the refusal the task's result: 503 where certainly nothing was taken, else 504; both
 * with when to come back. */
void forward_give_up(const Forwarding *one);

#endif
