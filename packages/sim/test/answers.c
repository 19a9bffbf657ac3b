/* An RPC response is accepted only for the request that it answers, and only from the peer that the request was meant
 * for. The server's frames are built by the test; the client is an RPC endpoint. */
#include "test_client.h"

/* --- a server whose responses the test alters ---------------------------------------------- */

/* A server that answers every request immediately. */
typedef struct FakeServer {
    Loop *loop;
    OldFrame change; /* added to the fields of a correct response; all 0: no difference */
    bool names_peer; /* responses name the peer that sent them, by the two fields below */
    uint64_t peer, incarnation;
} FakeServer;

static void fake_server_respond(const FakeServer *server_state, Channel *channel, void *mem, const OldFrame *request)
{
    const OldFrame *change = &server_state->change;
    OldFrame answer = *request;
    answer.answer = true;
    answer.status = STATUS_OK;
    answer.version += change->version;
    answer.cluster += change->cluster;
    answer.kind += change->kind;
    answer.call += change->call;
    const CurrentFrame now = {answer.version, answer.cluster,     answer.kind,
                              answer.call,    answer.answer,      answer.status,
                              answer.payload, server_state->peer, server_state->incarnation};
    Bytes frame = {0};
    if (server_state->names_peer)
        shape_pack(&CurrentFrame_shape, &now, mem, &frame);
    else
        shape_pack(&OldFrame_shape, &answer, mem, &frame);
    channel_send(channel, frame);
}

static void fake_server_main(void *arg, Channel *channel)
{
    FakeServer *server_state = arg;
    for (;;) {
        void *mem = talloc_new(server_state->loop);
        Bytes frame;
        OldFrame request;
        if (channel_receive(channel, mem, INT64_MAX, &frame) != STATUS_OK)
            break;
        assert_int_equal(shape_unpack(&OldFrame_shape, frame, mem, &request, NULL), STATUS_OK);
        fake_server_respond(server_state, channel, mem, &request);
        talloc_free(mem);
    }
    channel_close(channel);
}

static void fake_server_start(void *arg, Loop *loop)
{
    FakeServer *server_state = arg;
    char bound[ADDRESS_MAX];
    server_state->loop = loop;
    assert_int_equal(loop_listen(loop, ADDRESS, fake_server_main, server_state, bound, NULL), STATUS_OK);
}

/* --- responses that do not match their request ---------------------------------------------- */

/* A response whose kind, cluster, version or call differs from the request's must not be accepted as its answer. */
static void wrong_answers(void **state)
{
    (void)state;
    static const struct {
        const char *description;
        OldFrame change;
        bool accepted;
    } ROWS[] = {
        {"as expected", {0}, true},
        {"of another kind", {.kind = 1}, false},
        {"of another cluster", {.cluster = 1}, false},
        {"of another version", {.version = 1}, false},
        {"of another call", {.call = 1}, false},
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        SimWorld *world = sim_world_new(mem, 1);
        TestClient asker = {0};
        FakeServer server_state = {.change = ROWS[i].change};
        const int client = sim_machine_new(world), server = sim_machine_new(world);
        sim_start(world, server, fake_server_start, &server_state);
        sim_start(world, client, test_client_start, &asker);
        const TestCall *ask = begin(&asker, (PeerIdentity){0}, 41, 500);
        run_for(world, 1000);
        assert_true(ask->done);
        if ((ask->status == STATUS_OK) != ROWS[i].accepted)
            fail_msg("a response %s: %s", ROWS[i].description, status_word(ask->status));
        if (!ROWS[i].accepted)
            assert_int_equal(ask->answer.number, 0);
        talloc_free(mem);
    }
}

/* A response from another process than the one that the request was meant for must end the request as closed: that
 * process may have carried it out. */
static void wrong_peers(void **state)
{
    (void)state;
    static const struct {
        uint64_t peer, incarnation;
        Status status;
    } ROWS[] = {
        {0, 0, STATUS_OK},      /* the previous release does not name the peer */
        {0, 1, STATUS_OK},      /* the expected peer */
        {0, 2, STATUS_OK},      /* a later incarnation of it, which it has announced since */
        {1, 1, STATUS_CLOSED},  /* another peer */
        {0, -1, STATUS_CLOSED}, /* an earlier incarnation */
    };
    const PeerIdentity meant = peer_identity("core1", 1000);
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        SimWorld *world = sim_world_new(mem, 1);
        TestClient asker = {0};
        FakeServer server_state = {
            .names_peer = true, .peer = i == 0 ? 0 : meant.id + ROWS[i].peer, .incarnation = 999 + ROWS[i].incarnation};
        const int client = sim_machine_new(world), server = sim_machine_new(world);
        sim_start(world, server, fake_server_start, &server_state);
        sim_start(world, client, test_client_start, &asker);
        const TestCall *ask = begin(&asker, meant, 41, 500);
        run_for(world, 1000);
        assert_true(ask->done);
        if (ask->status != ROWS[i].status)
            fail_msg("row %zu: %s", i, status_word(ask->status));
        assert_int_equal(rpc_counts(asker.rpc)->other_peers, ROWS[i].status != STATUS_OK);
        talloc_free(mem);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(wrong_answers),
        cmocka_unit_test(wrong_peers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
