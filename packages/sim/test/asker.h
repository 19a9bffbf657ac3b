#ifndef SIM_TEST_ASKER_H
#define SIM_TEST_ASKER_H

/* One who asks by an RPC endpoint, and the frames of its questions as they stand on the wire. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/world.h"
#include "wire/rpc.h"

#define ECHO_FIELDS(X) X(U64, number, 0)
SHAPE(Echo, ECHO_FIELDS)
SHAPE_TABLE(Echo, ECHO_FIELDS)

/* A frame as the release before sends it. */
#define OLD_FRAME_FIELDS(X) \
    X(U64, version, 0)      \
    X(U64, cluster, 0)      \
    X(U64, kind, 0)         \
    X(U64, call, 0)         \
    X(FLAG, answer, 0)      \
    X(U64, status, 0)       \
    X(BIN, payload, 0)
SHAPE(OldFrame, OLD_FRAME_FIELDS)
SHAPE_TABLE(OldFrame, OLD_FRAME_FIELDS)

/* The same with what this release adds at the end. */
#define FRAME_FIELDS(X) \
    OLD_FRAME_FIELDS(X) \
    X(U64, peer, 0)     \
    X(U64, peer_life, 0)
SHAPE(NowFrame, FRAME_FIELDS)
SHAPE_TABLE(NowFrame, FRAME_FIELDS)

#define CLUSTER 7
#define ADDRESS "10.0.0.2:7000"

typedef struct Asker {
    Loop *loop;
    Rpc *rpc;
} Asker;

static inline void asker_start(void *arg, Loop *loop)
{
    Asker *asker = arg;
    asker->loop = loop;
    asker->rpc = rpc_new(loop, loop, recorder_new(loop, "asker"));
    rpc_set_cluster(asker->rpc, CLUSTER);
}

typedef struct Ask {
    Asker *asker;
    PeerIdentity meant;
    RpcSendState *sending;
    uint64_t number;
    int64_t wait_ms;
    bool done;
    Status status;
    Echo answer;
} Ask;

static inline void ask_main(void *arg)
{
    Ask *ask = arg;
    const Echo echo = {ask->number};
    ask->status = rpc_call_peer(ask->asker->rpc, ask, &(RpcTarget){ADDRESS, ask->meant, ask->sending}, MESSAGE_KNOW,
                                &Echo_shape, &echo, ask->wait_ms, &Echo_shape, &ask->answer);
    ask->done = true;
}

static inline Ask *begin(Asker *asker, PeerIdentity meant, uint64_t number, int64_t wait_ms)
{
    Ask *ask = talloc_zero(asker->loop, Ask);
    *ask = (Ask){.asker = asker, .meant = meant, .number = number, .wait_ms = wait_ms};
    loop_spawn(asker->loop, "ask", ask_main, ask);
    return ask;
}

static inline void run_for(SimWorld *world, int64_t for_ms)
{
    sim_run_until(world, sim_now_ms(world) + for_ms);
}

#endif
