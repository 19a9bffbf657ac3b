#ifndef ROUTING_SRC_FORWARDING_H
#define ROUTING_SRC_FORWARDING_H

#include "attempt.h"
#include "routing/routes.h"

/* One request on its way, over all attempts. Invariant: maybe_taken says that an attempt
 * which may have changed something has had no clear answer. */
typedef struct Forwarding {
    Forwarder *forwarder;
    HttpTask *task;
    Repeat repeat;
    int64_t start_ms, until_ms;
    bool maybe_taken;
    bool based; /* the base of an order was taken here, not by its caller */
} Forwarding;

/* Waits. One attempt after the other until there is an answer to be given; false: it is
 * given up. The answer lives on the task. */
bool forward_attempts(Forwarding *one, ForwardAsk *ask, ForwardAnswer *answer);
/* The answer as the task's result. */
void forward_take(HttpTask *task, const ForwardAnswer *answer);
/* 503 where certainly nothing was taken, else 504; with when to come back. */
void forward_give_up(const Forwarding *one);

#endif
