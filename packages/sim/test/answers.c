/* An answer goes to whoever asked, and to nobody else: frames made by hand on one side, a
 * RPC endpoint on the other. */
#include "asker.h"

/* --- one who answers by hand ------------------------------------------------------------- */

typedef struct Forger {
    Loop *loop;
    OldFrame change; /* what differs from a good answer; 0: nothing */
    bool says;       /* it says who it is: */
    uint64_t peer, life;
} Forger;

static void forge_send(const Forger *forger, Channel *channel, void *mem, const OldFrame *question)
{
    const OldFrame *change = &forger->change;
    OldFrame answer = *question;
    answer.answer = true;
    answer.status = STATUS_OK;
    answer.version += change->version;
    answer.cluster += change->cluster;
    answer.kind += change->kind;
    answer.call += change->call;
    const NowFrame now = {answer.version, answer.cluster, answer.kind,  answer.call, answer.answer,
                          answer.status,  answer.payload, forger->peer, forger->life};
    Bytes frame = {0};
    if (forger->says)
        shape_pack(&NowFrame_shape, &now, mem, &frame);
    else
        shape_pack(&OldFrame_shape, &answer, mem, &frame);
    channel_send(channel, frame);
}

static void forge_main(void *arg, Channel *channel)
{
    Forger *forger = arg;
    for (;;) {
        void *mem = talloc_new(forger->loop);
        Bytes frame;
        OldFrame question;
        if (channel_receive(channel, mem, INT64_MAX, &frame) != STATUS_OK)
            break;
        assert_int_equal(shape_unpack(&OldFrame_shape, frame, mem, &question, NULL), STATUS_OK);
        forge_send(forger, channel, mem, &question);
        talloc_free(mem);
    }
    channel_close(channel);
}

static void forge_start(void *arg, Loop *loop)
{
    Forger *forger = arg;
    char bound[ADDRESS_MAX];
    forger->loop = loop;
    assert_int_equal(loop_listen(loop, ADDRESS, forge_main, forger, bound, NULL), STATUS_OK);
}

/* --- answers that are none of the question's --------------------------------------------- */

static void wrong_answers(void **state)
{
    (void)state;
    static const struct {
        const char *word;
        OldFrame change;
        bool taken;
    } ROWS[] = {
        {"as it should be", {0}, true},
        {"of another kind", {.kind = 1}, false},
        {"of another cluster", {.cluster = 1}, false},
        {"of another version", {.version = 1}, false},
        {"of another call", {.call = 1}, false},
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        SimWorld *world = sim_world_new(mem, 1);
        Asker asker = {0};
        Forger forger = {.change = ROWS[i].change};
        const int client = sim_machine_new(world), server = sim_machine_new(world);
        sim_start(world, server, forge_start, &forger);
        sim_start(world, client, asker_start, &asker);
        const Ask *ask = begin(&asker, (PeerIdentity){0}, 41, 500);
        run_for(world, 1000);
        assert_true(ask->done);
        if ((ask->status == STATUS_OK) != ROWS[i].taken)
            fail_msg("an answer %s: %s", ROWS[i].word, status_word(ask->status));
        if (!ROWS[i].taken)
            assert_int_equal(ask->answer.number, 0);
        talloc_free(mem);
    }
}

/* Whom an answer says that it is from, beside whom the question was meant for. */
static void wrong_peers(void **state)
{
    (void)state;
    static const struct {
        uint64_t peer, life;
        Status status;
    } ROWS[] = {
        {0, 0, STATUS_OK},      /* a release before says nothing */
        {0, 1, STATUS_OK},      /* the one that was meant */
        {0, 2, STATUS_OK},      /* it has said since that it is newer */
        {1, 1, STATUS_CLOSED},  /* another: it may have carried the question out */
        {0, -1, STATUS_CLOSED}, /* an earlier life */
    };
    const PeerIdentity meant = peer_identity("core1", 1000);
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        SimWorld *world = sim_world_new(mem, 1);
        Asker asker = {0};
        Forger forger = {.says = true, .peer = i == 0 ? 0 : meant.id + ROWS[i].peer, .life = 999 + ROWS[i].life};
        const int client = sim_machine_new(world), server = sim_machine_new(world);
        sim_start(world, server, forge_start, &forger);
        sim_start(world, client, asker_start, &asker);
        const Ask *ask = begin(&asker, meant, 41, 500);
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
