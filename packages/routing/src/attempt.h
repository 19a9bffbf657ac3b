#ifndef ROUTING_SRC_ATTEMPT_H
#define ROUTING_SRC_ATTEMPT_H

#include "routing/forward.h"

/* One attempt to have a request answered along one route. The retry rules stand above, in
 * forwarding.c; here nothing is sent twice.
 *
 * An attempt runs in a coroutine of its own, because its answer is wanted even when the
 * asker has given up: what was committed goes into the repair buffer then, too. */

/* What all attempts of a process use; the pointers outlive it. */
typedef struct AttemptSettings {
    Loop *loop;
    Rpc *rpc;
    LeaderPaths *leader_paths;
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
Status attempt_forward(Attempts *attempts, void *mem, const LeaderPathTaken *taken, const ForwardAsk *ask,
                       int64_t until_ms, ForwardAnswer *answer);
/* Wakes all who wait, once the route has been replaced: their attempts end as EXPIRED or
 * UNREACHABLE. */
void attempts_wake(Attempts *attempts);

#endif
