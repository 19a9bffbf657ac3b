#ifndef ROUTING_SRC_ATTEMPT_H
#define ROUTING_SRC_ATTEMPT_H

#include "routing/forward.h"

/* One attempt to have a forwarded request answered along one route. Retries are decided in forwarding.c; nothing is
 * sent twice here.
 *
 * An attempt runs in its own coroutine, because its answer is needed even when a caller no longer waits for it: the
 * committed changes go into the repair buffer. */

/* The context of all attempts of a process; the objects pointed to must outlive them. */
typedef struct AttemptSettings {
    Loop *loop;
    Rpc *rpc;
    LeaderRoute *leader_route;
    RepairBuffer *repair_buffer;
    Trace *trace;
    ForwardServe serve; /* serves requests here while this process leads; null: it never leads */
    void *arg;          /* passed to serve */
} AttemptSettings;

/* The set of attempts that a request waits for. */
typedef struct Attempts Attempts;

/* Allocated on mem; settings is copied. */
Attempts *attempts_new(void *mem, const AttemptSettings *settings);
/* Suspends the coroutine, until until_ms (the loop's clock) at the latest. Sends the request once, through hop. If it
 * returns STATUS_OK, the answer is allocated on mem. Errors: STATUS_EXPIRED, no answer before the deadline, or before
 * the route failed or was replaced; STATUS_UNREACHABLE, the same, but the request was not sent and never will be; else
 * the refusal of the process that received the request. */
Status attempt_forward(Attempts *attempts, void *mem, const LeaderHop *hop, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer);
/* No request waits for its attempt beyond until_ms from now on; those that wait are woken. */
void attempts_end_by(Attempts *attempts, int64_t until_ms);
/* Wakes all waiting coroutines once the route has been replaced: their attempts end with STATUS_EXPIRED or
 * STATUS_UNREACHABLE. */
void attempts_wake(Attempts *attempts);

#endif
