/* Requests between two simulated nodes: answers, cut links, frozen and killed servers, malformed frames. */
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

/* A client, at index 0, and a server, at index 1, with the outcomes of the client's requests. */
typedef struct RpcFixture {
    Rpc *rpc[2];
    Loop *loop[2];
    char address[ADDRESS_MAX];
    Status status[8];
    uint64_t number[8];
    int count;
    unsigned served;
    Status long_wait_status;
    bool long_wait_done;
} RpcFixture;

static Status echo(void *arg, void *mem, const void *ask, void *answer)
{
    RpcFixture *fixture = arg;
    (void)mem;
    fixture->served++;
    ((Echo *)answer)->number = ((const Echo *)ask)->number + 1;
    return STATUS_OK;
}

static void server_start(void *arg, Loop *loop)
{
    RpcFixture *fixture = arg;
    Recorder *recorder = recorder_new(loop, "server");
    fixture->rpc[1] = rpc_new(loop, loop, recorder);
    rpc_set_cluster(fixture->rpc[1], 7);
    rpc_handle(fixture->rpc[1], MESSAGE_KNOW, &Echo_shape, &Echo_shape, echo, fixture);
    assert_int_equal(rpc_listen(fixture->rpc[1], "10.0.0.2:7000", fixture->address, NULL), STATUS_OK);
}

/* Sends a request and appends its outcome. */
static void request_once(RpcFixture *fixture, int64_t wait_ms)
{
    Loop *loop = fixture->loop[0];
    void *mem = talloc_new(loop);
    const Echo ask = {41};
    Echo answer = {0};
    const int at = fixture->count++;
    fixture->status[at] =
        rpc_call(fixture->rpc[0], mem, "10.0.0.2:7000", MESSAGE_KNOW, &Echo_shape, &ask, wait_ms, &Echo_shape, &answer);
    fixture->number[at] = answer.number;
    talloc_free(mem);
}

static void client_main(void *arg)
{
    RpcFixture *fixture = arg;
    request_once(fixture, 500); /* 0: answered */
    loop_sleep(fixture->loop[0], 1000 - 500);
    request_once(fixture, 500); /* 1: link cut: expired */
    loop_sleep(fixture->loop[0], 1000);
    request_once(fixture, 500); /* 2: link restored: answered */
    loop_sleep(fixture->loop[0], 2000);
    request_once(fixture, 3000); /* 3: server frozen: answered late */
    request_once(fixture, 500);  /* 4: server dead: unreachable */
    rpc_set_cluster(fixture->rpc[0], 8);
    loop_sleep(fixture->loop[0], 3000);
    request_once(fixture, 500); /* 5: the server is of another cluster: stranger */
}

static void client_start(void *arg, Loop *loop)
{
    RpcFixture *fixture = arg;
    fixture->loop[0] = loop;
    fixture->rpc[0] = rpc_new(loop, loop, recorder_new(loop, "client"));
    rpc_set_cluster(fixture->rpc[0], 7);
    loop_spawn(loop, "client", client_main, fixture);
}

static void life(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    RpcFixture fixture = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_start(world, server, server_start, &fixture);
    sim_start(world, client, client_start, &fixture);
    sim_run_until(world, 1300);
    sim_link_cut(world, client, server, true);
    sim_run_until(world, 2400);
    sim_link_cut(world, client, server, false);
    sim_run_until(world, 3500);
    sim_freeze(world, server, 6000);
    sim_run_until(world, 6300);
    sim_kill(world, server);
    sim_run_until(world, 8000);
    sim_start(world, server, server_start, &fixture);
    sim_run_until(world, 30000);
    assert_int_equal(fixture.count, 6);
    assert_int_equal(fixture.status[0], STATUS_OK);
    assert_int_equal(fixture.number[0], 42);
    assert_int_equal(fixture.status[1], STATUS_EXPIRED);
    assert_int_equal(fixture.status[2], STATUS_OK);
    assert_int_equal(fixture.status[3], STATUS_OK);
    assert_int_equal(fixture.status[5], STATUS_FOREIGN_CLUSTER);
    talloc_free(mem);
}

/* --- malformed frames --------------------------------------------------------------- */

/* A client that sends malformed frames, and how many connections ended or were answered. */
typedef struct BadFrameSender {
    Loop *loop;
    int ended, answered;
} BadFrameSender;

static void bad_frames_main(void *arg)
{
    BadFrameSender *sender = arg;
    static const uint8_t FRAMES[][12] = {
        {0},                                                                /* not an envelope */
        {0xff, 0xff, 0xff, 0xff},                                           /* not an envelope either */
        {0x97, 0x01, 0x07, 0x03, 0x01, 0xc3, 0x00, 0xc4, 0x00},             /* an answer in place of a request */
        {0x97, 0x01, 0x07, 0x1f, 0x01, 0xc2, 0x00, 0xc4, 0x00},             /* a kind without a handler */
        {0x97, 0x01, 0x07, 0xcd, 0xff, 0xff, 0x01, 0xc2, 0x00, 0xc4, 0x00}, /* a kind out of range */
        {0x97, 0x01, 0x07, 0x03, 0x01, 0xc2, 0x00, 0xc4, 0x01, 0xc1},       /* a body that does not parse */
    };
    static const size_t COUNTS[] = {1, 4, 9, 9, 11, 10};
    for (size_t i = 0; i < sizeof(COUNTS) / sizeof(COUNTS[0]); i++) {
        void *mem = talloc_new(sender->loop);
        Channel *channel;
        assert_int_equal(loop_open(sender->loop, mem, "10.0.0.2:7000", 500, &channel), STATUS_OK);
        channel_send(channel, (Bytes){(uint8_t *)(uintptr_t)FRAMES[i], COUNTS[i], 0});
        Bytes frame;
        Status status;
        while ((status = channel_receive(channel, mem, loop_now_ms(sender->loop) + 500, &frame)) == STATUS_OK)
            sender->answered++; /* a refusal may arrive before the connection ends */
        sender->ended += status == STATUS_CLOSED;
        channel_close(channel);
        talloc_free(mem);
    }
}

static void bad_frames_start(void *arg, Loop *loop)
{
    BadFrameSender *sender = arg;
    sender->loop = loop;
    loop_spawn(loop, "bad frames", bad_frames_main, sender);
}

/* Each malformed frame ends its connection and is counted; the server goes on serving other clients. */
static void broken_frames(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    RpcFixture fixture = {0};
    BadFrameSender sender = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world), other = sim_machine_new(world);
    sim_start(world, server, server_start, &fixture);
    sim_start(world, other, bad_frames_start, &sender);
    sim_run_until(world, 6000);
    assert_int_equal(sender.ended, 6);
    assert_int_equal(rpc_counts(fixture.rpc[1])->bad_frames, 6);
    sim_start(world, client, client_start, &fixture);
    sim_run_until(world, 7000);
    assert_int_equal(fixture.status[0], STATUS_OK);
    talloc_free(mem);
}

/* Both sides count the same frames by message kind, and requests apart from answers; the bytes that wait for a slow
 * link are counted too, and no longer when they have been sent. */
static void traffic(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    RpcFixture fixture = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_link_rate(world, client, 1); /* a frame of 13 bytes takes 13 ms */
    sim_start(world, server, server_start, &fixture);
    sim_start(world, client, client_start, &fixture);
    const int64_t from_ms = sim_now_ms(world);
    const RpcTraffic *asked = rpc_traffic(fixture.rpc[0], MESSAGE_KNOW, RPC_REQUESTS);
    while (asked->frames_sent == 0 && sim_now_ms(world) < from_ms + 500)
        sim_run_until(world, sim_now_ms(world) + 1);
    const int64_t waiting_bytes = rpc_link_stats(fixture.rpc[0]).waiting_bytes;
    assert_true(waiting_bytes > 0);
    sim_run_until(world, from_ms + 400);
    assert_int_equal(fixture.status[0], STATUS_OK);
    const RpcTraffic *came = rpc_traffic(fixture.rpc[1], MESSAGE_KNOW, RPC_REQUESTS);
    const RpcTraffic *answered = rpc_traffic(fixture.rpc[1], MESSAGE_KNOW, RPC_ANSWERS);
    const RpcTraffic *got = rpc_traffic(fixture.rpc[0], MESSAGE_KNOW, RPC_ANSWERS);
    assert_int_equal(asked->frames_sent, 1);
    assert_int_equal(came->frames_received, 1);
    assert_int_equal(asked->bytes_sent, waiting_bytes);
    assert_int_equal(came->bytes_received, asked->bytes_sent);
    assert_int_equal(answered->frames_sent, 1);
    assert_true(answered->bytes_sent > 0);
    assert_int_equal(got->bytes_received, answered->bytes_sent);
    assert_int_equal(asked->bytes_received + came->bytes_sent + answered->bytes_received + got->bytes_sent, 0);
    const RpcLinkStats link = rpc_link_stats(fixture.rpc[0]);
    assert_int_equal(link.waiting_bytes, 0);
    assert_int_equal(link.waiting_most_bytes, waiting_bytes);
    assert_true(link.answer_ms >= waiting_bytes);
    assert_int_equal(link.answer_most_ms, link.answer_ms);
    talloc_free(mem);
}

/* --- a slow link ---------------------------------------------------------------------- */

/* Answers one second late. */
static Status echo_late(void *arg, void *mem, const void *ask, void *answer)
{
    RpcFixture *fixture = arg;
    loop_sleep(fixture->loop[1], 1000);
    return echo(arg, mem, ask, answer);
}

static void late_server_start(void *arg, Loop *loop)
{
    RpcFixture *fixture = arg;
    fixture->loop[1] = loop;
    server_start(arg, loop);
    rpc_handle(fixture->rpc[1], MESSAGE_FORWARD, &Echo_shape, &Echo_shape, echo_late, fixture);
}

static void short_waits_main(void *arg)
{
    RpcFixture *fixture = arg;
    for (int i = 0; i < 4; i++) {
        request_once(fixture, 300); /* expires before its answer arrives */
        loop_sleep(fixture->loop[0], 50);
    }
}

static void long_wait_main(void *arg)
{
    RpcFixture *fixture = arg;
    Loop *loop = fixture->loop[0];
    loop_sleep(loop, 20);
    void *mem = talloc_new(loop);
    const Echo ask = {41};
    Echo answer = {0};
    fixture->long_wait_status =
        rpc_call(fixture->rpc[0], mem, "10.0.0.2:7000", MESSAGE_FORWARD, &Echo_shape, &ask, 5000, &Echo_shape, &answer);
    fixture->long_wait_done = true;
    talloc_free(mem);
}

static void slow_link_start(void *arg, Loop *loop)
{
    RpcFixture *fixture = arg;
    fixture->loop[0] = loop;
    fixture->rpc[0] = rpc_new(loop, loop, recorder_new(loop, "client"));
    rpc_set_cluster(fixture->rpc[0], 7);
    loop_spawn(loop, "short waits", short_waits_main, fixture);
    loop_spawn(loop, "long wait", long_wait_main, fixture);
}

/* Guards against a connection being considered dead and closed because answers arrive late on a full link: every other
 * request on it, callers' included, would lose its answer. */
static void late_answers_keep_the_connection(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    RpcFixture fixture = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_machine_delay(world, server, 200); /* a round trip takes a little more than 400 ms */
    sim_start(world, server, late_server_start, &fixture);
    sim_start(world, client, slow_link_start, &fixture);
    sim_run_until(world, sim_now_ms(world) + 6000);
    assert_int_equal(fixture.count, 4);
    for (int i = 0; i < 4; i++)
        assert_int_equal(fixture.status[i], STATUS_EXPIRED);
    assert_true(fixture.long_wait_done);
    assert_int_equal(fixture.long_wait_status, STATUS_OK);
    assert_int_equal(rpc_counts(fixture.rpc[0])->connections_opened, 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(life), cmocka_unit_test(broken_frames),
                                       cmocka_unit_test(traffic), cmocka_unit_test(late_answers_keep_the_connection)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
