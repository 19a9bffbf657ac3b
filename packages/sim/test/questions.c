/* A request is carried out only by the process that it is meant for, and its answer, however late, reaches only the
 * caller that sent it. */
#include "test_client.h"

/* A request frame as the previous release sends it, and the answer to it. */
typedef struct RawRequest {
    Loop *loop;
    OldFrame request, answer;
    bool answered;
} RawRequest;

/* Sends the frame on a connection of its own and receives the answer. */
static void raw_request_main(void *arg)
{
    RawRequest *raw = arg;
    void *mem = talloc_new(raw->loop);
    Channel *channel;
    Bytes frame = {0};
    const Echo echo = {1};
    assert_int_equal(loop_open(raw->loop, mem, ADDRESS, 500, &channel), STATUS_OK);
    shape_pack(&Echo_shape, &echo, mem, &raw->request.payload);
    shape_pack(&OldFrame_shape, &raw->request, mem, &frame);
    channel_send(channel, frame);
    raw->answered = channel_receive(channel, mem, loop_now_ms(raw->loop) + 500, &frame) == STATUS_OK &&
                    shape_unpack(&OldFrame_shape, frame, mem, &raw->answer, NULL) == STATUS_OK;
    channel_close(channel);
    raw->answer.payload = (Bytes){0};
    talloc_free(mem);
}

/* --- requests for another process ------------------------------------------------------ */

/* A server, how many requests it has served, and the sum of their numbers. */
typedef struct Server {
    PeerIdentity self;
    Rpc *rpc;
    Loop *loop;
    uint64_t served, sum;
} Server;

/* Answers with the number plus one; a number of at least 1000 is answered after that many ms. */
static Status echo(void *arg, void *mem, const void *ask, void *answer)
{
    Server *server = arg;
    const uint64_t number = ((const Echo *)ask)->number;
    (void)mem;
    server->served++;
    server->sum += number;
    if (number >= 1000)
        loop_sleep(server->loop, (int64_t)number);
    ((Echo *)answer)->number = number + 1;
    return STATUS_OK;
}

static void server_start(void *arg, Loop *loop)
{
    Server *server = arg;
    char bound[ADDRESS_MAX];
    server->loop = loop;
    server->rpc = rpc_new(loop, loop, recorder_new(loop, "server"));
    rpc_set_cluster(server->rpc, CLUSTER);
    if (server->self.id != 0)
        rpc_set_self(server->rpc, server->self);
    rpc_handle(server->rpc, MESSAGE_KNOW, &Echo_shape, &Echo_shape, echo, server);
    assert_int_equal(rpc_listen(server->rpc, ADDRESS, bound, NULL), STATUS_OK);
}

/* The two machines of a test case. */
typedef struct Pair {
    SimWorld *world;
    int client, server;
} Pair;

/* Starts both in a new world, which is on mem. */
static Pair pair_start(void *mem, TestClient *asker, Server *server)
{
    SimWorld *world = sim_world_new(mem, 1);
    const int client = sim_machine_new(world), server_machine = sim_machine_new(world);
    sim_start(world, server_machine, server_start, server);
    sim_start(world, client, test_client_start, asker);
    return (Pair){world, client, server_machine};
}

/* An address is reused by another process, or by the same one after a restart: a request that is meant for the previous
 * process is refused and not carried out. */
static void address_reused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    TestClient asker = {0};
    Server server = {.self = peer_identity("gate1", 1000)};
    const Pair pair = pair_start(mem, &asker, &server);
    SimWorld *world = pair.world;
    TestCall *ask = begin(&asker, server.self, 41, 500);
    run_for(world, 1000);
    assert_int_equal(ask->status, STATUS_OK);
    static const struct {
        const char *id;
        uint64_t life;
        Status status;
    } SUCCESSORS[] = {{"gate2", 2000, STATUS_OTHER_PEER},
                      {"gate1", 2000, STATUS_OTHER_INCARNATION},
                      {"gate1", 900, STATUS_OTHER_INCARNATION}};
    for (size_t i = 0; i < sizeof(SUCCESSORS) / sizeof(SUCCESSORS[0]); i++) {
        const PeerIdentity predecessor = peer_identity("gate1", 1000);
        sim_kill(world, pair.server);
        server = (Server){.self = peer_identity(SUCCESSORS[i].id, SUCCESSORS[i].life)};
        sim_start(world, pair.server, server_start, &server);
        run_for(world, 100);
        ask = begin(&asker, predecessor, 41, 500);
        run_for(world, 1000);
        assert_int_equal(ask->status, SUCCESSORS[i].status);
        assert_int_equal(server.served, 0);
        ask = begin(&asker, server.self, 41, 500);
        run_for(world, 1000);
        assert_int_equal(ask->status, STATUS_OK);
    }
    /* a process that had to raise its incarnation is still the same process */
    const PeerIdentity born = server.self;
    rpc_set_self(server.rpc, peer_identity("gate1", 3000));
    ask = begin(&asker, born, 41, 500);
    run_for(world, 1000);
    assert_int_equal(ask->status, STATUS_OK);
    talloc_free(mem);
}

/* --- late answers, ended connections ------------------------------------------------------ */

/* The answer to an expired request arrives while other requests wait on the same connection. */
static void late_answer(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    TestClient asker = {0};
    Server server = {0};
    const Pair pair = pair_start(mem, &asker, &server);
    SimWorld *world = pair.world;
    const TestCall *first = begin(&asker, (PeerIdentity){0}, 1000, 500);
    run_for(world, 700);
    assert_int_equal(first->status, STATUS_EXPIRED);
    const TestCall *second = begin(&asker, (PeerIdentity){0}, 1500, 3000),
                   *third = begin(&asker, (PeerIdentity){0}, 7, 500);
    run_for(world, 2000);
    assert_int_equal(second->status, STATUS_OK);
    assert_int_equal(second->answer.number, 1501);
    assert_int_equal(third->answer.number, 8);
    assert_int_equal(rpc_counts(asker.rpc)->late_answers, 1);
    assert_int_equal(first->answer.number, 0);
    talloc_free(mem);
}

/* A connection ends with requests pending: each fails with an unknown outcome, and none gets an answer from the next
 * connection. */
static void ended_line(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    TestClient asker = {0};
    Server server = {0};
    const Pair pair = pair_start(mem, &asker, &server);
    SimWorld *world = pair.world;
    const TestCall *lost[3];
    for (int i = 0; i < 3; i++)
        lost[i] = begin(&asker, (PeerIdentity){0}, 1000 + (uint64_t)i, 5000);
    run_for(world, 300);
    assert_int_equal(server.served, 3);
    sim_kill(world, pair.server);
    sim_start(world, pair.server, server_start, &server);
    run_for(world, 100);
    const TestCall *next = begin(&asker, (PeerIdentity){0}, 1003, 5000);
    run_for(world, 3000);
    for (int i = 0; i < 3; i++) {
        assert_int_equal(lost[i]->status, STATUS_CLOSED);
        assert_int_equal(lost[i]->answer.number, 0);
    }
    assert_int_equal(next->status, STATUS_OK);
    assert_int_equal(next->answer.number, 1004);
    talloc_free(mem);
}

/* A request that is cancelled while it waits for a connection is not sent when there is one. */
static void cancelled(void **state)
{
    (void)state;
    for (int cancel = 0; cancel < 2; cancel++) {
        void *mem = talloc_new(NULL);
        TestClient asker = {0};
        Server server = {0};
        RpcSendState sending = {0};
        const Pair pair = pair_start(mem, &asker, &server);
        SimWorld *world = pair.world;
        sim_link_cut(world, pair.client, pair.server, true);
        TestCall *ask = begin(&asker, (PeerIdentity){0}, 7, 3000);
        ask->sending = &sending;
        run_for(world, 300);
        assert_false(sending.sent);
        sending.cancelled = cancel == 1;
        sim_link_cut(world, pair.client, pair.server, false);
        run_for(world, 3000);
        assert_int_equal(ask->status, cancel ? STATUS_UNREACHABLE : STATUS_OK);
        assert_int_equal(server.served, !cancel);
        assert_int_equal(sending.sent, !cancel);
        talloc_free(mem);
    }
}

/* Requests of another protocol version, of another cluster or of an unknown kind are answered with a status of their
 * own and not carried out. */
static void refused_questions(void **state)
{
    (void)state;
    static const struct {
        OldFrame request;
        Status status;
    } ROWS[] = {
        {{.version = WIRE_VERSION, .cluster = CLUSTER, .kind = MESSAGE_KNOW, .call = 1}, STATUS_OK},
        {{.version = WIRE_VERSION + 1, .cluster = CLUSTER, .kind = MESSAGE_KNOW, .call = 2}, STATUS_OTHER_VERSION},
        {{.version = WIRE_VERSION, .cluster = CLUSTER + 1, .kind = MESSAGE_KNOW, .call = 3}, STATUS_FOREIGN_CLUSTER},
        {{.version = WIRE_VERSION, .cluster = CLUSTER, .kind = MESSAGE_KEEP, .call = 4}, STATUS_UNKNOWN_REQUEST},
    };
    void *mem = talloc_new(NULL);
    Server server = {.self = peer_identity("gate1", 1000)};
    TestClient asker = {0};
    const Pair pair = pair_start(mem, &asker, &server);
    SimWorld *world = pair.world;
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        RawRequest one = {.loop = asker.loop, .request = ROWS[i].request};
        loop_spawn(asker.loop, "hand", raw_request_main, &one);
        run_for(world, 1000);
        assert_true(one.answered);
        assert_int_equal(one.answer.status, ROWS[i].status);
        assert_int_equal(one.answer.call, ROWS[i].request.call);
    }
    assert_int_equal(server.served, 1);
    assert_int_equal(rpc_counts(server.rpc)->other_versions, 1);
    assert_int_equal(rpc_counts(server.rpc)->strangers, 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(address_reused), cmocka_unit_test(late_answer),       cmocka_unit_test(ended_line),
        cmocka_unit_test(cancelled),      cmocka_unit_test(refused_questions),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
