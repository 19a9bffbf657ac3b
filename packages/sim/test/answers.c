/* An answer goes to whoever asked, and to nobody else: frames made by hand on one side, a
 * courier on the other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/world.h"
#include "wire/courier.h"

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
    X(U64, peerLife, 0)
SHAPE(NowFrame, FRAME_FIELDS)
SHAPE_TABLE(NowFrame, FRAME_FIELDS)

#define CLUSTER 7
#define ADDRESS "10.0.0.2:7000"

/* --- one who answers by hand ------------------------------------------------------------- */

typedef struct Forger {
    Loop *loop;
    OldFrame change; /* what differs from a good answer; 0: nothing */
    bool says;       /* it says who it is: */
    uint64_t peer, life;
} Forger;

static void forgeSend(const Forger *forger, Channel *channel, void *mem, const OldFrame *question)
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
        shapePack(&NowFrameShape, &now, mem, &frame);
    else
        shapePack(&OldFrameShape, &answer, mem, &frame);
    channelSend(channel, frame);
}

static void forgeMain(void *arg, Channel *channel)
{
    Forger *forger = arg;
    for (;;) {
        void *mem = talloc_new(forger->loop);
        Bytes frame;
        OldFrame question;
        if (channelReceive(channel, mem, INT64_MAX, &frame) != STATUS_OK)
            break;
        assert_int_equal(shapeUnpack(&OldFrameShape, frame, mem, &question, NULL), STATUS_OK);
        forgeSend(forger, channel, mem, &question);
        talloc_free(mem);
    }
    channelClose(channel);
}

static void forgeStart(void *arg, Loop *loop)
{
    Forger *forger = arg;
    char bound[ADDRESS_MAX];
    forger->loop = loop;
    assert_int_equal(loopListen(loop, ADDRESS, forgeMain, forger, bound, NULL), STATUS_OK);
}

/* --- one who asks ---------------------------------------------------------------------- */

typedef struct Asker {
    Loop *loop;
    Courier *courier;
} Asker;

static void askerStart(void *arg, Loop *loop)
{
    Asker *asker = arg;
    asker->loop = loop;
    asker->courier = courierNew(loop, loop, ringNew(loop, "asker"));
    courierSetCluster(asker->courier, CLUSTER);
}

typedef struct Ask {
    Asker *asker;
    PeerLife meant;
    CourierSending *sending;
    uint64_t number;
    int64_t waitMs;
    bool done;
    Status status;
    Echo answer;
} Ask;

static void askMain(void *arg)
{
    Ask *ask = arg;
    const Echo echo = {ask->number};
    ask->status = courierAskPeer(ask->asker->courier, ask, &(CourierTarget){ADDRESS, ask->meant, ask->sending},
                                 MESSAGE_KNOW, &EchoShape, &echo, ask->waitMs, &EchoShape, &ask->answer);
    ask->done = true;
}

static Ask *begin(Asker *asker, PeerLife meant, uint64_t number, int64_t waitMs)
{
    Ask *ask = talloc_zero(asker->loop, Ask);
    *ask = (Ask){.asker = asker, .meant = meant, .number = number, .waitMs = waitMs};
    loopSpawn(asker->loop, "ask", askMain, ask);
    return ask;
}

/* A question sent by hand, as the release before does. */
typedef struct Hand {
    Loop *loop;
    OldFrame question, answer;
    bool answered;
} Hand;

static void handMain(void *arg)
{
    Hand *hand = arg;
    void *mem = talloc_new(hand->loop);
    Channel *channel;
    Bytes frame = {0};
    const Echo echo = {1};
    assert_int_equal(loopOpen(hand->loop, mem, ADDRESS, 500, &channel), STATUS_OK);
    shapePack(&EchoShape, &echo, mem, &hand->question.payload);
    shapePack(&OldFrameShape, &hand->question, mem, &frame);
    channelSend(channel, frame);
    hand->answered = channelReceive(channel, mem, loopNowMs(hand->loop) + 500, &frame) == STATUS_OK &&
                     shapeUnpack(&OldFrameShape, frame, mem, &hand->answer, NULL) == STATUS_OK;
    channelClose(channel);
    hand->answer.payload = (Bytes){0};
    talloc_free(mem);
}

static void runFor(SimWorld *world, int64_t forMs)
{
    simRunUntil(world, simNowMs(world) + forMs);
}

/* --- answers that are none of the question's --------------------------------------------- */

static void wrongAnswers(void **state)
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
        SimWorld *world = simWorldNew(mem, 1);
        Asker asker = {0};
        Forger forger = {.change = ROWS[i].change};
        const int client = simMachine(world), server = simMachine(world);
        simStart(world, server, forgeStart, &forger);
        simStart(world, client, askerStart, &asker);
        const Ask *ask = begin(&asker, (PeerLife){0}, 41, 500);
        runFor(world, 1000);
        assert_true(ask->done);
        if ((ask->status == STATUS_OK) != ROWS[i].taken)
            fail_msg("an answer %s: %s", ROWS[i].word, statusWord(ask->status));
        if (!ROWS[i].taken)
            assert_int_equal(ask->answer.number, 0);
        talloc_free(mem);
    }
}

/* Whom an answer says that it is from, beside whom the question was meant for. */
static void wrongPeers(void **state)
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
    const PeerLife meant = peerLife("core1", 1000);
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        void *mem = talloc_new(NULL);
        SimWorld *world = simWorldNew(mem, 1);
        Asker asker = {0};
        Forger forger = {.says = true, .peer = i == 0 ? 0 : meant.id + ROWS[i].peer, .life = 999 + ROWS[i].life};
        const int client = simMachine(world), server = simMachine(world);
        simStart(world, server, forgeStart, &forger);
        simStart(world, client, askerStart, &asker);
        const Ask *ask = begin(&asker, meant, 41, 500);
        runFor(world, 1000);
        assert_true(ask->done);
        if (ask->status != ROWS[i].status)
            fail_msg("row %zu: %s", i, statusWord(ask->status));
        assert_int_equal(courierCounts(asker.courier)->otherPeers, ROWS[i].status != STATUS_OK);
        talloc_free(mem);
    }
}

/* --- questions that are another's ------------------------------------------------------ */

typedef struct Server {
    PeerLife self;
    Courier *courier;
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
        loopSleep(server->loop, (int64_t)number);
    ((Echo *)answer)->number = number + 1;
    return STATUS_OK;
}

static void serverStart(void *arg, Loop *loop)
{
    Server *server = arg;
    char bound[ADDRESS_MAX];
    server->loop = loop;
    server->courier = courierNew(loop, loop, ringNew(loop, "server"));
    courierSetCluster(server->courier, CLUSTER);
    if (server->self.id != 0)
        courierSetSelf(server->courier, server->self);
    courierHandle(server->courier, MESSAGE_KNOW, &EchoShape, &EchoShape, echo, server);
    assert_int_equal(courierListen(server->courier, ADDRESS, bound, NULL), STATUS_OK);
}

/* An address is used again by another machine, or by the same one after a restart: what
 * was meant for the one before is refused, and not carried out. */
static void addressReused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = simWorldNew(mem, 1);
    Asker asker = {0};
    Server server = {.self = peerLife("gate1", 1000)};
    const int client = simMachine(world), machine = simMachine(world);
    simStart(world, machine, serverStart, &server);
    simStart(world, client, askerStart, &asker);
    Ask *ask = begin(&asker, server.self, 41, 500);
    runFor(world, 1000);
    assert_int_equal(ask->status, STATUS_OK);
    static const struct {
        const char *id;
        uint64_t life;
        Status status;
    } NEXT[] = {
        {"gate2", 2000, STATUS_OTHER_PEER}, {"gate1", 2000, STATUS_OTHER_LIFE}, {"gate1", 900, STATUS_OTHER_LIFE}};
    for (size_t i = 0; i < sizeof(NEXT) / sizeof(NEXT[0]); i++) {
        const PeerLife before = peerLife("gate1", 1000);
        simKill(world, machine);
        server = (Server){.self = peerLife(NEXT[i].id, NEXT[i].life)};
        simStart(world, machine, serverStart, &server);
        runFor(world, 100);
        ask = begin(&asker, before, 41, 500);
        runFor(world, 1000);
        assert_int_equal(ask->status, NEXT[i].status);
        assert_int_equal(server.served, 0);
        ask = begin(&asker, server.self, 41, 500);
        runFor(world, 1000);
        assert_int_equal(ask->status, STATUS_OK);
    }
    /* one that has had to say that it is newer is the same process still */
    const PeerLife born = server.self;
    courierSetSelf(server.courier, peerLife("gate1", 3000));
    ask = begin(&asker, born, 41, 500);
    runFor(world, 1000);
    assert_int_equal(ask->status, STATUS_OK);
    talloc_free(mem);
}

/* --- late answers, ended connections ------------------------------------------------------ */

/* A question that was given up: its answer comes while another waits on the same line. */
static void lateAnswer(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = simWorldNew(mem, 1);
    Asker asker = {0};
    Server server = {0};
    const int client = simMachine(world), machine = simMachine(world);
    simStart(world, machine, serverStart, &server);
    simStart(world, client, askerStart, &asker);
    const Ask *first = begin(&asker, (PeerLife){0}, 1000, 500);
    runFor(world, 700);
    assert_int_equal(first->status, STATUS_EXPIRED);
    const Ask *second = begin(&asker, (PeerLife){0}, 1500, 3000), *third = begin(&asker, (PeerLife){0}, 7, 500);
    runFor(world, 2000);
    assert_int_equal(second->status, STATUS_OK);
    assert_int_equal(second->answer.number, 1501);
    assert_int_equal(third->answer.number, 8);
    assert_int_equal(courierCounts(asker.courier)->lateAnswers, 1);
    assert_int_equal(first->answer.number, 0);
    talloc_free(mem);
}

/* A connection ends with questions on it: each is told that its outcome is not known, and
 * none gets an answer of the next connection. */
static void endedLine(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = simWorldNew(mem, 1);
    Asker asker = {0};
    Server server = {0};
    const int client = simMachine(world), machine = simMachine(world);
    simStart(world, machine, serverStart, &server);
    simStart(world, client, askerStart, &asker);
    const Ask *lost[3];
    for (int i = 0; i < 3; i++)
        lost[i] = begin(&asker, (PeerLife){0}, 1000 + (uint64_t)i, 5000);
    runFor(world, 300);
    assert_int_equal(server.served, 3);
    simKill(world, machine);
    simStart(world, machine, serverStart, &server);
    runFor(world, 100);
    const Ask *next = begin(&asker, (PeerLife){0}, 1003, 5000);
    runFor(world, 3000);
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
        SimWorld *world = simWorldNew(mem, 1);
        Asker asker = {0};
        Server server = {0};
        CourierSending sending = {0};
        const int client = simMachine(world), machine = simMachine(world);
        simStart(world, machine, serverStart, &server);
        simStart(world, client, askerStart, &asker);
        simCut(world, client, machine, true);
        Ask *ask = begin(&asker, (PeerLife){0}, 7, 3000);
        ask->sending = &sending;
        runFor(world, 300);
        assert_false(sending.sent);
        sending.cancelled = cancel == 1;
        simCut(world, client, machine, false);
        runFor(world, 3000);
        assert_int_equal(ask->status, cancel ? STATUS_UNREACHABLE : STATUS_OK);
        assert_int_equal(server.served, !cancel);
        assert_int_equal(sending.sent, !cancel);
        talloc_free(mem);
    }
}

/* A question of another version, and one that nobody knows: typed, and not carried out. */
static void refusedQuestions(void **state)
{
    (void)state;
    static const struct {
        OldFrame question;
        Status status;
    } ROWS[] = {
        {{.version = WIRE_VERSION, .cluster = CLUSTER, .kind = MESSAGE_KNOW, .call = 1}, STATUS_OK},
        {{.version = WIRE_VERSION + 1, .cluster = CLUSTER, .kind = MESSAGE_KNOW, .call = 2}, STATUS_OTHER_VERSION},
        {{.version = WIRE_VERSION, .cluster = CLUSTER + 1, .kind = MESSAGE_KNOW, .call = 3}, STATUS_STRANGER},
        {{.version = WIRE_VERSION, .cluster = CLUSTER, .kind = MESSAGE_KEEP, .call = 4}, STATUS_UNKNOWN_QUESTION},
    };
    void *mem = talloc_new(NULL);
    SimWorld *world = simWorldNew(mem, 1);
    Server server = {.self = peerLife("gate1", 1000)};
    Asker asker = {0};
    const int client = simMachine(world), machine = simMachine(world);
    simStart(world, machine, serverStart, &server);
    simStart(world, client, askerStart, &asker);
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        Hand one = {.loop = asker.loop, .question = ROWS[i].question};
        loopSpawn(asker.loop, "hand", handMain, &one);
        runFor(world, 1000);
        assert_true(one.answered);
        assert_int_equal(one.answer.status, ROWS[i].status);
        assert_int_equal(one.answer.call, ROWS[i].question.call);
    }
    assert_int_equal(server.served, 1);
    assert_int_equal(courierCounts(server.courier)->otherVersions, 1);
    assert_int_equal(courierCounts(server.courier)->strangers, 1);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(wrongAnswers), cmocka_unit_test(wrongPeers), cmocka_unit_test(addressReused),
        cmocka_unit_test(lateAnswer),   cmocka_unit_test(endedLine),  cmocka_unit_test(refusedQuestions),
        cmocka_unit_test(cancelled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
