/* Questions between two simulated nodes: answers, cuts, freezes, deaths. */
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

typedef struct Seen {
    Rpc *rpc[2];
    Loop *loop[2];
    char address[ADDRESS_MAX];
    Status status[8];
    uint64_t number[8];
    int count;
    unsigned served;
    Status patient;
    bool patient_done;
} Seen;

static Status echo(void *arg, void *mem, const void *ask, void *answer)
{
    Seen *seen = arg;
    (void)mem;
    seen->served++;
    ((Echo *)answer)->number = ((const Echo *)ask)->number + 1;
    return STATUS_OK;
}

static void server_start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    Recorder *recorder = recorder_new(loop, "server");
    seen->rpc[1] = rpc_new(loop, loop, recorder);
    rpc_set_cluster(seen->rpc[1], 7);
    rpc_handle(seen->rpc[1], MESSAGE_KNOW, &Echo_shape, &Echo_shape, echo, seen);
    assert_int_equal(rpc_listen(seen->rpc[1], "10.0.0.2:7000", seen->address, NULL), STATUS_OK);
}

static void ask_one(Seen *seen, int64_t wait_ms)
{
    Loop *loop = seen->loop[0];
    void *mem = talloc_new(loop);
    const Echo ask = {41};
    Echo answer = {0};
    const int at = seen->count++;
    seen->status[at] =
        rpc_call(seen->rpc[0], mem, "10.0.0.2:7000", MESSAGE_KNOW, &Echo_shape, &ask, wait_ms, &Echo_shape, &answer);
    seen->number[at] = answer.number;
    talloc_free(mem);
}

static void client_main(void *arg)
{
    Seen *seen = arg;
    ask_one(seen, 500); /* 0: answered */
    loop_sleep(seen->loop[0], 1000 - 500);
    ask_one(seen, 500); /* 1: cut meanwhile: expired */
    loop_sleep(seen->loop[0], 1000);
    ask_one(seen, 500); /* 2: joined again: answered */
    loop_sleep(seen->loop[0], 2000);
    ask_one(seen, 3000); /* 3: server frozen: answered late */
    ask_one(seen, 500);  /* 4: server dead: unreachable */
    rpc_set_cluster(seen->rpc[0], 8);
    loop_sleep(seen->loop[0], 3000);
    ask_one(seen, 500); /* 5: of another cluster: stranger */
}

static void client_start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    seen->loop[0] = loop;
    seen->rpc[0] = rpc_new(loop, loop, recorder_new(loop, "client"));
    rpc_set_cluster(seen->rpc[0], 7);
    loop_spawn(loop, "client", client_main, seen);
}

static void life(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    Seen seen = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_start(world, server, server_start, &seen);
    sim_start(world, client, client_start, &seen);
    sim_run_until(world, 1300);
    sim_link_cut(world, client, server, true);
    sim_run_until(world, 2400);
    sim_link_cut(world, client, server, false);
    sim_run_until(world, 3500);
    sim_freeze(world, server, 6000);
    sim_run_until(world, 6300);
    sim_kill(world, server);
    sim_run_until(world, 8000);
    sim_start(world, server, server_start, &seen);
    sim_run_until(world, 30000);
    assert_int_equal(seen.count, 6);
    assert_int_equal(seen.status[0], STATUS_OK);
    assert_int_equal(seen.number[0], 42);
    assert_int_equal(seen.status[1], STATUS_EXPIRED);
    assert_int_equal(seen.status[2], STATUS_OK);
    assert_int_equal(seen.status[3], STATUS_OK);
    assert_int_equal(seen.status[5], STATUS_FOREIGN_CLUSTER);
    talloc_free(mem);
}

/* --- frames that are none --------------------------------------------------------- */

typedef struct Spoiler {
    Loop *loop;
    int ended, answered;
} Spoiler;

static void spoil_main(void *arg)
{
    Spoiler *spoiler = arg;
    static const uint8_t FRAMES[][12] = {
        {0},                                                                /* not an envelope */
        {0xff, 0xff, 0xff, 0xff},                                           /* nor this */
        {0x97, 0x01, 0x07, 0x03, 0x01, 0xc3, 0x00, 0xc4, 0x00},             /* an answer where a question belongs */
        {0x97, 0x01, 0x07, 0x1f, 0x01, 0xc2, 0x00, 0xc4, 0x00},             /* a kind that nobody handles */
        {0x97, 0x01, 0x07, 0xcd, 0xff, 0xff, 0x01, 0xc2, 0x00, 0xc4, 0x00}, /* a kind out of all bounds */
        {0x97, 0x01, 0x07, 0x03, 0x01, 0xc2, 0x00, 0xc4, 0x01, 0xc1},       /* a body that does not parse */
    };
    static const size_t COUNTS[] = {1, 4, 9, 9, 11, 10};
    for (size_t i = 0; i < sizeof(COUNTS) / sizeof(COUNTS[0]); i++) {
        void *mem = talloc_new(spoiler->loop);
        Channel *channel;
        assert_int_equal(loop_open(spoiler->loop, mem, "10.0.0.2:7000", 500, &channel), STATUS_OK);
        channel_send(channel, (Bytes){(uint8_t *)(uintptr_t)FRAMES[i], COUNTS[i], 0});
        Bytes frame;
        Status status;
        while ((status = channel_receive(channel, mem, loop_now_ms(spoiler->loop) + 500, &frame)) == STATUS_OK)
            spoiler->answered++; /* a refusal may come before the end */
        spoiler->ended += status == STATUS_CLOSED;
        channel_close(channel);
        talloc_free(mem);
    }
}

static void spoil_start(void *arg, Loop *loop)
{
    Spoiler *spoiler = arg;
    spoiler->loop = loop;
    loop_spawn(loop, "spoil", spoil_main, spoiler);
}

/* Each ends its connection and is counted; the server goes on serving others. */
static void broken_frames(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    Seen seen = {0};
    Spoiler spoiler = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world), other = sim_machine_new(world);
    sim_start(world, server, server_start, &seen);
    sim_start(world, other, spoil_start, &spoiler);
    sim_run_until(world, 6000);
    assert_int_equal(spoiler.ended, 6);
    assert_int_equal(rpc_counts(seen.rpc[1])->bad_frames, 6);
    sim_start(world, client, client_start, &seen);
    sim_run_until(world, 7000);
    assert_int_equal(seen.status[0], STATUS_OK);
    talloc_free(mem);
}

/* Both sides count the same frames, by kind and part; what waits on a slow link is seen, and is gone afterwards. */
static void traffic(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    Seen seen = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_link_rate(world, client, 1); /* a frame of 13 bytes takes 13 ms */
    sim_start(world, server, server_start, &seen);
    sim_start(world, client, client_start, &seen);
    const int64_t from_ms = sim_now_ms(world);
    const RpcTraffic *asked = rpc_traffic(seen.rpc[0], MESSAGE_KNOW, RPC_REQUESTS);
    while (asked->frames_sent == 0 && sim_now_ms(world) < from_ms + 500)
        sim_run_until(world, sim_now_ms(world) + 1);
    const int64_t waiting_bytes = rpc_link_stats(seen.rpc[0]).waiting_bytes;
    assert_true(waiting_bytes > 0);
    sim_run_until(world, from_ms + 400);
    assert_int_equal(seen.status[0], STATUS_OK);
    const RpcTraffic *came = rpc_traffic(seen.rpc[1], MESSAGE_KNOW, RPC_REQUESTS);
    const RpcTraffic *answered = rpc_traffic(seen.rpc[1], MESSAGE_KNOW, RPC_ANSWERS);
    const RpcTraffic *got = rpc_traffic(seen.rpc[0], MESSAGE_KNOW, RPC_ANSWERS);
    assert_int_equal(asked->frames_sent, 1);
    assert_int_equal(came->frames_received, 1);
    assert_int_equal(asked->bytes_sent, waiting_bytes);
    assert_int_equal(came->bytes_received, asked->bytes_sent);
    assert_int_equal(answered->frames_sent, 1);
    assert_true(answered->bytes_sent > 0);
    assert_int_equal(got->bytes_received, answered->bytes_sent);
    assert_int_equal(asked->bytes_received + came->bytes_sent + answered->bytes_received + got->bytes_sent, 0);
    const RpcLinkStats link = rpc_link_stats(seen.rpc[0]);
    assert_int_equal(link.waiting_bytes, 0);
    assert_int_equal(link.waiting_most_bytes, waiting_bytes);
    assert_true(link.answer_ms >= waiting_bytes);
    assert_int_equal(link.answer_most_ms, link.answer_ms);
    talloc_free(mem);
}

/* --- a slow link ---------------------------------------------------------------------- */

/* Answers after a second. */
static Status echo_late(void *arg, void *mem, const void *ask, void *answer)
{
    Seen *seen = arg;
    loop_sleep(seen->loop[1], 1000);
    return echo(arg, mem, ask, answer);
}

static void late_server_start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    seen->loop[1] = loop;
    server_start(arg, loop);
    rpc_handle(seen->rpc[1], MESSAGE_FORWARD, &Echo_shape, &Echo_shape, echo_late, seen);
}

static void hasty_main(void *arg)
{
    Seen *seen = arg;
    for (int i = 0; i < 4; i++) {
        ask_one(seen, 300); /* given up before its answer comes */
        loop_sleep(seen->loop[0], 50);
    }
}

static void patient_main(void *arg)
{
    Seen *seen = arg;
    Loop *loop = seen->loop[0];
    loop_sleep(loop, 20);
    void *mem = talloc_new(loop);
    const Echo ask = {41};
    Echo answer = {0};
    seen->patient =
        rpc_call(seen->rpc[0], mem, "10.0.0.2:7000", MESSAGE_FORWARD, &Echo_shape, &ask, 5000, &Echo_shape, &answer);
    seen->patient_done = true;
    talloc_free(mem);
}

static void slow_link_start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    seen->loop[0] = loop;
    seen->rpc[0] = rpc_new(loop, loop, recorder_new(loop, "client"));
    rpc_set_cluster(seen->rpc[0], 7);
    loop_spawn(loop, "hasty", hasty_main, seen);
    loop_spawn(loop, "patient", patient_main, seen);
}

/* Guards against: on a full link answers came too late, the connection was taken for dead and ended though they came,
 * and every other request on it, callers' too, lost its answer. */
static void late_answers_keep_the_connection(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    Seen seen = {0};
    const int client = sim_machine_new(world), server = sim_machine_new(world);
    sim_machine_delay(world, server, 200); /* there and back: 400 ms and a little */
    sim_start(world, server, late_server_start, &seen);
    sim_start(world, client, slow_link_start, &seen);
    sim_run_until(world, sim_now_ms(world) + 6000);
    assert_int_equal(seen.count, 4);
    for (int i = 0; i < 4; i++)
        assert_int_equal(seen.status[i], STATUS_EXPIRED);
    assert_true(seen.patient_done);
    assert_int_equal(seen.patient, STATUS_OK);
    assert_int_equal(rpc_counts(seen.rpc[0])->connections_opened, 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(life), cmocka_unit_test(broken_frames),
                                       cmocka_unit_test(traffic), cmocka_unit_test(late_answers_keep_the_connection)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
