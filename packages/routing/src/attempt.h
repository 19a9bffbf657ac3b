#ifndef ROUTING_SRC_ATTEMPT_H
#define ROUTING_SRC_ATTEMPT_H

#include "routing/forward.h"

/* One attempt to have a forwarded request answered along one route. Retries are decided in
 * forwarding.c; here nothing is sent twice.
 *
 * An attempt runs in a coroutine of its own, because its answer is needed even when
 * nobody waits for it any more: the committed changes go into the repair buffer. */

/* What all attempts of a process use; the pointers outlive it. */
typedef struct AttemptSettings {
    Loop *loop;
    Rpc *rpc;
    LeaderRoute *leader_route;
    RepairBuffer *repair_buffer;
    Trace *trace;
    ForwardServe serve; /* answers here while this process leads; null: it never leads */
    void *arg;          /* of serve */
} AttemptSettings;

/* All attempts that are being waited for. */
typedef struct Attempts Attempts;

/* settings is copied. */
Attempts *attempts_new(void *mem, const AttemptSettings *settings);
/* Waits, until until_ms at most (the loop's clock). Asks once, along the route taken. On OK
 * the answer lives on mem. Other results: EXPIRED, no answer before the deadline, or before
 * the route failed or was replaced; UNREACHABLE, the same, but the request had not been sent
 * and never will be; else the refusal of whoever was asked. */
Status attempt_forward(Attempts *attempts, void *mem, const LeaderHop *taken, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer);
/* Wakes all who wait, once the route has been replaced: their attempts end as EXPIRED or
 * UNREACHABLE. */
void attempts_wake(Attempts *attempts);

#endif
