#ifndef ROUTING_SRC_ATTEMPT_H
#define ROUTING_SRC_ATTEMPT_H

#include "routing/forward.h"

/* What a leader's answer says of the request, as its caller would be told. */
#define GOOD_HTTP 200
#define NOT_TAKEN_HTTP 503
#define UNKNOWN_HTTP 504

struct Forwarder {
    ForwarderSettings settings;
    Ways *ways;
    bool pinging;            /* one of those who wait asks whether the way lives */
    struct Attempt *waiting; /* those whose askers wait */
};

/* Waits. Asks once, along the way taken. EXPIRED also when the way fails, or the ways
 * move on, before the answer; UNREACHABLE when it had not been sent by then, and never
 * will be. On OK the answer lives on mem, and what was committed has
 * been kept; it is kept also when it comes too late for the asker: this node may be the
 * only one to hear of it. */
Status attempt_forward(Forwarder *forwarder, void *mem, const WaysTaken *taken, const ForwardAsk *ask, int64_t until_ms,
                       ForwardAnswer *answer);
/* Raises all who wait, once the ways have moved on. */
void attempts_wake(Forwarder *forwarder);

#endif
