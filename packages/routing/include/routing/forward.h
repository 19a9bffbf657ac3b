#ifndef ROUTING_FORWARD_H
#define ROUTING_FORWARD_H

#include "routing/repair_buffer.h"
#include "routing/ways.h"
#include "trace/trace.h"

/* Carries a caller's request to the leader and its result back.
 *
 * 503: certainly not taken, with when to come back. 504: it may have been. What has
 * been given up is answered at once.
 *
 * A way along which nothing has come back for a while is asked whether it lives, by
 * whoever waits on it first; a leader that is slow but lives is waited for, one that
 * says nothing is given up by all at once, and so is one that a newer term is heard
 * after. What carries an identity may then be asked of the next leader. */
typedef struct Forwarder Forwarder;

typedef struct ForwarderSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer;
    Trace *trace;
    /* Controllers: whether this one leads, and how it serves then. The answer lives on mem. */
    WaysLeads leads;
    void (*serve)(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
    void *arg;
    int64_t leader_wait_ms;  /* what nobody can have taken waits so long, from the leader's loss, for another */
    int64_t outcome_wait_ms; /* what a lost leader may have taken is asked again of the next for so long */
} ForwarderSettings;

Forwarder *forwarder_new(void *mem, const ForwarderSettings *settings);
void forwarder_start(Forwarder *forwarder);
/* Waits. Fills in the result and keeps what was committed. */
void forward_request(Forwarder *forwarder, HttpTask *task);
/* Waits. Carries on what an entry point could not bring to the leader itself. */
Status forward_relay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
Ways *forwarder_ways(Forwarder *forwarder);

#endif
