#ifndef SIM_TEST_TEST_CLIENT_H
#define SIM_TEST_TEST_CLIENT_H

/* A test client that sends requests through an RPC endpoint, and the frames of its requests as encoded on the wire. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/world.h"
#include "wire/rpc.h"

/* Request and response of the test's echo service. */
#define ECHO_FIELDS(X) X(U64, number, 0)
SHAPE(Echo, ECHO_FIELDS)
SHAPE_TABLE(Echo, ECHO_FIELDS)

/* A frame as the previous release sends it: without the identity of the peer. */
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

/* A frame of this release, which adds the identity of the peer at the end. */
#define FRAME_FIELDS(X) \
    OLD_FRAME_FIELDS(X) \
    X(U64, peer, 0)     \
    X(U64, peer_life, 0)
SHAPE(CurrentFrame, FRAME_FIELDS)
SHAPE_TABLE(CurrentFrame, FRAME_FIELDS)

#define CLUSTER 7               /* identifier of the cluster that client and server belong to */
#define ADDRESS "10.0.0.2:7000" /* the server's: the second machine of a world */

/* The process that sends the requests. */
typedef struct TestClient {
    Loop *loop;
    Rpc *rpc;
} TestClient;

/* A SimStart; arg is the TestClient. */
static inline void test_client_start(void *arg, Loop *loop)
{
    TestClient *asker = arg;
    asker->loop = loop;
    asker->rpc = rpc_new(loop, loop, recorder_new(loop, "asker"));
    rpc_set_cluster(asker->rpc, CLUSTER);
}

/* One request and its outcome. */
typedef struct TestCall {
    TestClient *client;
    PeerIdentity expected_peer; /* the peer that the request is meant for; id 0: any */
    RpcSendState *sending;      /* the sending that the request belongs to; null: none */
    uint64_t number;            /* payload of the request */
    int64_t timeout_ms;
    bool done; /* the request has ended; status and answer are valid from then on */
    Status status;
    Echo answer; /* valid when status is STATUS_OK */
} TestCall;

static inline void ask_main(void *arg)
{
    TestCall *ask = arg;
    const Echo echo = {ask->number};
    ask->status = rpc_call_peer(ask->client->rpc, ask, &(RpcTarget){ADDRESS, ask->expected_peer, ask->sending},
                                MESSAGE_KNOW, &Echo_shape, &echo, ask->timeout_ms, &Echo_shape, &ask->answer);
    ask->done = true;
}

/* Starts a request in a task of its own and returns immediately. The result belongs to the client's loop. */
static inline TestCall *begin(TestClient *asker, PeerIdentity meant, uint64_t number, int64_t wait_ms)
{
    TestCall *ask = talloc_zero(asker->loop, TestCall);
    *ask = (TestCall){.client = asker, .expected_peer = meant, .number = number, .timeout_ms = wait_ms};
    loop_spawn(asker->loop, "ask", ask_main, ask);
    return ask;
}

/* Runs the world for this long in virtual time. */
static inline void run_for(SimWorld *world, int64_t for_ms)
{
    sim_run_until(world, sim_now_ms(world) + for_ms);
}

#endif
