/* A question is carried out by whom it is meant for, or by nobody; what came of it goes to
 * nobody else, however late. */
#include "test_client.h"

/* A question sent by hand, as the release before does. */
typedef struct RawQuestion {
    Loop *loop;
    OldFrame question, answer;
    bool answered;
} RawQuestion;

static void raw_question_main(void *arg)
{
    RawQuestion *raw = arg;
    void *mem = talloc_new(raw->loop);
    Channel *channel;
    Bytes frame = {0};
    const Echo echo = {1};
    assert_int_equal(loop_open(raw->loop, mem, ADDRESS, 500, &channel), STATUS_OK);
    shape_pack(&Echo_shape, &echo, mem, &raw->question.payload);
    shape_pack(&OldFrame_shape, &raw->question, mem, &frame);
    channel_send(channel, frame);
    raw->answered = channel_receive(channel, mem, loop_now_ms(raw->loop) + 500, &frame) == STATUS_OK &&
                    shape_unpack(&OldFrame_shape, frame, mem, &raw->answer, NULL) == STATUS_OK;
    channel_close(channel);
    raw->answer.payload = (Bytes){0};
    talloc_free(mem);
}

/* --- questions that are another's ------------------------------------------------------ */

typedef struct Server {
    PeerIdentity self;
    Rpc *rpc;
    Loop *loop;
    uint64_t served, sum;
} Server;

/* A number below 100 is answered after so many ms, and not before. */
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

/* The two machines of a case. */
typedef struct Pair {
    SimWorld *world;
    int client, machine; /* the asker's; the server's */
} Pair;

/* Both run in a world on mem. */
static Pair pair_start(void *mem, TestClient *asker, Server *server)
{
    SimWorld *world = sim_world_new(mem, 1);
    const int client = sim_machine_new(world), machine = sim_machine_new(world);
    sim_start(world, machine, server_start, server);
    sim_start(world, client, test_client_start, asker);
    return (Pair){world, client, machine};
}

/* An address is used again by another machine, or by the same one after a restart: what
 * was meant for the one before is refused, and not carried out. */
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
    } NEXT[] = {{"gate2", 2000, STATUS_OTHER_PEER},
                {"gate1", 2000, STATUS_OTHER_INCARNATION},
                {"gate1", 900, STATUS_OTHER_INCARNATION}};
    for (size_t i = 0; i < sizeof(NEXT) / sizeof(NEXT[0]); i++) {
        const PeerIdentity before = peer_identity("gate1", 1000);
        sim_kill(world, pair.machine);
        server = (Server){.self = peer_identity(NEXT[i].id, NEXT[i].life)};
        sim_start(world, pair.machine, server_start, &server);
        run_for(world, 100);
        ask = begin(&asker, before, 41, 500);
        run_for(world, 1000);
        assert_int_equal(ask->status, NEXT[i].status);
        assert_int_equal(server.served, 0);
        ask = begin(&asker, server.self, 41, 500);
        run_for(world, 1000);
        assert_int_equal(ask->status, STATUS_OK);
    }
    /* one that has had to say that it is newer is the same process still */
    const PeerIdentity born = server.self;
    rpc_set_self(server.rpc, peer_identity("gate1", 3000));
    ask = begin(&asker, born, 41, 500);
    run_for(world, 1000);
    assert_int_equal(ask->status, STATUS_OK);
    talloc_free(mem);
}

/* --- late answers, ended connections ------------------------------------------------------ */

/* A question that was given up: its answer comes while another waits on the same line. */
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

/* A connection ends with questions on it: each is told that its outcome is not known, and
 * none gets an answer of the next connection. */
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
    sim_kill(world, pair.machine);
    sim_start(world, pair.machine, server_start, &server);
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

/* A question that waits for a connection and is given up is not sent once there is one. */
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
        sim_link_cut(world, pair.client, pair.machine, true);
        TestCall *ask = begin(&asker, (PeerIdentity){0}, 7, 3000);
        ask->sending = &sending;
        run_for(world, 300);
        assert_false(sending.sent);
        sending.cancelled = cancel == 1;
        sim_link_cut(world, pair.client, pair.machine, false);
        run_for(world, 3000);
        assert_int_equal(ask->status, cancel ? STATUS_UNREACHABLE : STATUS_OK);
        assert_int_equal(server.served, !cancel);
        assert_int_equal(sending.sent, !cancel);
        talloc_free(mem);
    }
}

/* A question of another version, and one that nobody knows: typed, and not carried out. */
static void refused_questions(void **state)
{
    (void)state;
    static const struct {
        OldFrame question;
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
        RawQuestion one = {.loop = asker.loop, .question = ROWS[i].question};
        loop_spawn(asker.loop, "hand", raw_question_main, &one);
        run_for(world, 1000);
        assert_true(one.answered);
        assert_int_equal(one.answer.status, ROWS[i].status);
        assert_int_equal(one.answer.call, ROWS[i].question.call);
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
