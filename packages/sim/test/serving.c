/* Guards against stale answers while a controller is cut off from the others, though callers and entry points still
 * reach it: no answer may be older than what had been acknowledged when the request was sent. In virtual time. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

#define CONTROLLERS 3
#define ENTRY_POINTS 3
#define READ_PAUSE_MS 40     /* interval between two reads of one reader */
#define CALL_TIMEOUT_MS 1000 /* a caller's time-out */
/* Interval between two of the operator's changes; short, so that one is sent as soon as the lock has moved. */
#define CHANGE_PAUSE_MS 7

/* CUT_BOTH, CUT_IN, CUT_OUT: both directions or one direction of the links to other controllers; CUT_ALL: the links to
 * all nodes; CUT_REFUSED: connections are refused and reset; CUT_FREEZE: the process is frozen. */
typedef enum CutKind { CUT_BOTH, CUT_IN, CUT_OUT, CUT_ALL, CUT_REFUSED, CUT_FREEZE } CutKind;

/* What the readers, the operator and the submitter, which run on the callers' machine, have observed. */
typedef struct Observations {
    Fleet *fleet;
    uint64_t acknowledged; /* the newest version whose change was acknowledged to the operator */
    size_t jobs;           /* number of accepted jobs, whose ids are j-0 to j-(jobs - 1) */
    size_t answers;        /* answers that stated a version or a job */
    bool stop;
    char stale_answer[200]; /* the first stale answer; "": none */
} Observations;

/* Reads repeatedly from one node. */
typedef struct Reader {
    Observations *observations;
    const char *address, *name;
} Reader;

/* Sends one call; the code is 0 if it fails, and the result ends with a zero byte. */
static HttpCall ask(Loop *loop, void *mem, const char *address, const char *method, const char *path, const char *body)
{
    HttpCall call = {.mem = mem, .address = address, .method = method, .path = path, .wait_ms = CALL_TIMEOUT_MS};
    if (body != NULL)
        bytes_add(mem, &call.body, body, strlen(body));
    if (loop_call(loop, &call) != STATUS_OK)
        call.code = 0;
    bytes_add(mem, &call.response_body, "", 1);
    return call;
}

/* The number after the key in the result; 0: the key is not there. */
static uint64_t number_in(const HttpCall *call, const char *key)
{
    const char *at = strstr((const char *)call->response_body.data, key);
    return at != NULL ? strtoull(at + strlen(key), NULL, 10) : 0;
}

/* Records the answer if it is the first stale one. what: what the answer states. */
static void stale_answer(Observations *observations, const Reader *reader, const char *what, uint64_t reported,
                         uint64_t known)
{
    if (observations->stale_answer[0] == '\0')
        snprintf(observations->stale_answer, sizeof(observations->stale_answer),
                 "%s at %" PRId64 " ms: %s states %" PRIu64 ", but %" PRIu64 " was acknowledged", reader->name,
                 sim_now_ms(observations->fleet->world), what, reported, known);
}

static void read_config(const Reader *reader, Loop *loop, void *mem)
{
    Observations *observations = reader->observations;
    const uint64_t known = observations->acknowledged;
    const HttpCall call = ask(loop, mem, reader->address, "GET", "/v1/config", NULL);
    const uint64_t reported = number_in(&call, "\"revision\":");
    observations->answers += call.code == 200;
    if (call.code == 200 && reported < known)
        stale_answer(observations, reader, "the configuration", reported, known);
}

/* A refused change states the version that is in force. */
static void read_refusal(const Reader *reader, Loop *loop, void *mem)
{
    Observations *observations = reader->observations;
    const uint64_t known = observations->acknowledged;
    const HttpCall call =
        ask(loop, mem, reader->address, "PATCH", "/v1/config?base=0&revision=1", "{\"note\":\"never\"}");
    const uint64_t reported = number_in(&call, "\"current\":");
    observations->answers += call.code == 409;
    if (call.code == 200 || (call.code == 409 && reported < known))
        stale_answer(observations, reader, "a refusal", reported, known);
}

/* Asks for the job that was accepted last. */
static void read_job(const Reader *reader, Loop *loop, void *mem)
{
    Observations *observations = reader->observations;
    if (observations->jobs == 0)
        return;
    const size_t known = observations->jobs;
    const char *path = talloc_asprintf(mem, "/v1/jobs/j-%zu", known - 1);
    const HttpCall call = ask(loop, mem, reader->address, "GET", path, NULL);
    observations->answers += call.code == 200;
    if (call.code == 404)
        stale_answer(observations, reader, "a refusal for an unknown job", 0, known);
}

static void reader_main(void *arg)
{
    const Reader *reader = arg;
    Observations *observations = reader->observations;
    Loop *loop = sim_loop(observations->fleet->world, observations->fleet->caller_machine);
    while (!observations->stop) {
        void *mem = talloc_new(loop);
        read_config(reader, loop, mem);
        read_refusal(reader, loop, mem);
        read_job(reader, loop, mem);
        talloc_free(mem);
        loop_sleep(loop, READ_PAUSE_MS);
    }
}

/* Changes the configuration continuously, through one controller after another. */
static void operator_main(void *arg)
{
    Observations *observations = arg;
    Loop *loop = sim_loop(observations->fleet->world, observations->fleet->caller_machine);
    uint64_t base = observations->acknowledged;
    for (uint64_t turn = 0; !observations->stop; turn++) {
        void *mem = talloc_new(loop);
        const char *address =
            fleet_node(observations->fleet, FLEET_CONTROLLER, (int)(turn % CONTROLLERS))->settings.http;
        const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, base, base + 1);
        const HttpCall call = ask(loop, mem, address, "PATCH", path, "{\"note\":\"n\"}");
        if (call.code == 200 && base + 1 > observations->acknowledged)
            observations->acknowledged = base + 1;
        const uint64_t current = number_in(&call, "\"current\":");
        base = call.code == 409 && current > base  ? current
               : observations->acknowledged > base ? observations->acknowledged
                                                   : base;
        talloc_free(mem);
        loop_sleep(loop, CHANGE_PAUSE_MS);
    }
}

/* Submits jobs continuously, through one controller after another. */
static void submitter_main(void *arg)
{
    Observations *observations = arg;
    Loop *loop = sim_loop(observations->fleet->world, observations->fleet->caller_machine);
    for (uint64_t turn = 0; !observations->stop; turn++) {
        void *mem = talloc_new(loop);
        const char *address =
            fleet_node(observations->fleet, FLEET_CONTROLLER, (int)(turn % CONTROLLERS))->settings.http;
        const char *body = talloc_asprintf(
            mem,
            "{\"id\":\"j-%zu\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":"
            "[{\"name\":\"a\",\"count\":1,\"room\":{\"cpu\":1,\"memMb\":1},\"payload\":{\"runMs\":20}}]}",
            observations->jobs);
        const HttpCall call = ask(loop, mem, address, "POST", "/v1/jobs", body);
        observations->jobs += call.code == 200 || call.code == 201;
        talloc_free(mem);
        loop_sleep(loop, READ_PAUSE_MS);
    }
}

/* Starts a reader for each node, the operator and the submitter. */
static Observations *observers_start(Fleet *fleet)
{
    Observations *observations = talloc_zero(fleet, Observations);
    observations->fleet = fleet;
    observations->acknowledged = 1;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    for (int i = 0; i < CONTROLLERS + ENTRY_POINTS; i++) {
        const FleetNode *node = i < CONTROLLERS ? fleet_node(fleet, FLEET_CONTROLLER, i)
                                                : fleet_node(fleet, FLEET_ENTRY_POINT, i - CONTROLLERS);
        Reader *reader = talloc_zero(observations, Reader);
        *reader = (Reader){observations, node->settings.http, node->settings.name};
        loop_spawn(loop, "reader", reader_main, reader);
    }
    loop_spawn(loop, "operator", operator_main, observations);
    loop_spawn(loop, "submitter", submitter_main, observations);
    return observations;
}

/* Begins or ends the cut of the controller. */
static void cut_controller(Fleet *fleet, int victim, CutKind kind, int64_t span_ms, bool cut)
{
    if (kind == CUT_FREEZE) { /* the process goes on by itself, and receives all that was sent to it meanwhile */
        if (cut)
            fleet_freeze(fleet, FLEET_CONTROLLER, victim, span_ms);
        return;
    }
    if (kind == CUT_ALL) {
        fleet_node_cut(fleet, FLEET_CONTROLLER, victim, cut);
        return;
    }
    const int machine = fleet_node(fleet, FLEET_CONTROLLER, victim)->machine;
    for (int i = 0; i < CONTROLLERS; i++) {
        const int other = fleet_node(fleet, FLEET_CONTROLLER, i)->machine;
        if (i == victim)
            continue;
        sim_link_refuse(fleet->world, other, machine, kind == CUT_REFUSED);
        sim_link_refuse(fleet->world, machine, other, kind == CUT_REFUSED);
        if (kind != CUT_OUT)
            sim_link_cut(fleet->world, other, machine, cut);
        if (kind != CUT_IN)
            sim_link_cut(fleet->world, machine, other, cut);
    }
}

static Fleet *begin(uint64_t seed)
{
    return case_begin(seed, (FleetShape){CONTROLLERS, ENTRY_POINTS, 4, MIX_TRENTVALE, 0});
}

/* The leader, or the next controller, is cut off for span_ms, and may be restarted half-way. rate, others_rate: the
 * rate of its clock and of the others', in percent. */
typedef struct CutCase {
    const char *name;
    int after; /* 0: the leader, 1: the next controller */
    CutKind kind;
    int64_t span_ms;
    bool restart;
    int64_t rate, others_rate;
} CutCase;

/* Runs the case and fails if an answer is stale, or if no changes are accepted during and after the cut. */
static void cut_case_run(uint64_t seed, const CutCase *one)
{
    Fleet *fleet = begin(seed);
    const int victim = (fleet_leader(fleet) + one->after) % CONTROLLERS;
    Observations *observations = observers_start(fleet);
    fleet_run(fleet, 1500 + (int64_t)(seed * 37 % 400));
    const uint64_t before = observations->acknowledged;
    checker_fault(fleet->checker);
    cut_controller(fleet, victim, one->kind, one->span_ms, true);
    for (int i = 0; i < CONTROLLERS; i++)
        sim_clock_rate(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine,
                       i == victim ? one->rate : one->others_rate);
    fleet_run(fleet, one->span_ms / 2);
    if (one->restart) {
        fleet_kill(fleet, FLEET_CONTROLLER, victim);
        fleet_run(fleet, 400);
        fleet_start_node(fleet, FLEET_CONTROLLER, victim);
    }
    fleet_run(fleet, one->span_ms / 2);
    const uint64_t during = observations->acknowledged;
    cut_controller(fleet, victim, one->kind, one->span_ms, false);
    sim_clock_rate(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, victim)->machine, 100);
    fleet_run(fleet, 4000);
    observations->stop = true;
    fleet_run(fleet, 2 * CALL_TIMEOUT_MS);
    if (observations->stale_answer[0] != '\0')
        fail_msg("%s, seed %" PRIu64 ": %s", one->name, seed, observations->stale_answer);
    assert_true(before > 1 && during >= before && observations->acknowledged > during);
    assert_true(during > before || one->kind == CUT_FREEZE); /* a short freeze is waited out */
    assert_true(observations->answers > 100 && observations->jobs > 10);
    talloc_free(fleet);
}

static void cut_cases_run(const CutCase *cases, size_t count, uint64_t seeds)
{
    for (size_t i = 0; i < count; i++)
        for (uint64_t seed = 1; seed <= seeds; seed++)
            cut_case_run(100 * (i + 1) + seed, &cases[i]);
}

static void cut_off(void **state)
{
    (void)state;
    static const CutCase CASES[] = {
        {"leader, 5 s", 0, CUT_BOTH, 5000, false, 100, 100},
        {"leader, nothing comes in", 0, CUT_IN, 5000, false, 100, 100},
        {"leader, nothing goes out", 0, CUT_OUT, 5000, false, 100, 100},
        {"leader, from entry points as well", 0, CUT_ALL, 5000, false, 100, 100},
        {"leader, started again", 0, CUT_BOTH, 6000, true, 100, 100},
        {"leader, refused and reset", 0, CUT_REFUSED, 5000, false, 100, 100},
        {"the next, refused and reset, started again", 1, CUT_REFUSED, 6000, true, 100, 100},
        {"the next, 5 s", 1, CUT_BOTH, 5000, false, 100, 100},
        {"the next, nothing comes in", 1, CUT_IN, 5000, false, 100, 100},
        {"the next, nothing goes out", 1, CUT_OUT, 5000, false, 100, 100},
        {"the next, started again", 1, CUT_BOTH, 6000, true, 100, 100},
    };
    cut_cases_run(CASES, sizeof(CASES) / sizeof(CASES[0]), 2);
}

static void cut_off_long(void **state)
{
    (void)state;
    static const CutCase CASES[] = {
        {"leader, 20 s", 0, CUT_BOTH, 20000, false, 100, 100},
        {"leader, 60 s, started again", 0, CUT_BOTH, 60000, true, 100, 100},
        {"the next, 20 s", 1, CUT_BOTH, 20000, false, 100, 100},
    };
    cut_cases_run(CASES, sizeof(CASES) / sizeof(CASES[0]), 1);
}

/* A process freezes between checking its lease and answering, or wakes to requests that arrived while its lease still
 * ran. */
static void frozen(void **state)
{
    (void)state;
    static const CutCase CASES[] = {
        {"leader frozen inside its lease", 0, CUT_FREEZE, 1200, false, 100, 100},
        {"leader frozen for a little more", 0, CUT_FREEZE, 1700, false, 100, 100},
        {"leader frozen until another leads", 0, CUT_FREEZE, 4000, false, 100, 100},
        {"the next frozen", 1, CUT_FREEZE, 3000, false, 100, 100},
    };
    cut_cases_run(CASES, sizeof(CASES) / sizeof(CASES[0]), 2);
}

/* The clock of the lock's holder is slow, or the others' clocks are fast, so that their grants expire first. */
static void clocks_apart(void **state)
{
    (void)state;
    static const CutCase CASES[] = {
        {"leader slow by 2%", 0, CUT_BOTH, 5000, false, 98, 100},
        {"others quick by 2%", 0, CUT_BOTH, 5000, false, 100, 102},
    };
    cut_cases_run(CASES, sizeof(CASES) / sizeof(CASES[0]), 3);
}

/* The leader's clock almost stops, so that its lease seems to last forever. Reads of the configuration, and refusals
 * that state the version in force or which jobs exist, must rest on a round of messages, not on a clock. */
static void clock_stands(void **state)
{
    (void)state;
    static const CutCase CASES[] = {
        {"leader's clock stands", 0, CUT_BOTH, 6000, false, 1, 100},
        {"leader's clock stands, nothing comes in", 0, CUT_IN, 6000, false, 1, 100},
        {"leader's clock stands, refused and reset", 0, CUT_REFUSED, 6000, false, 1, 100},
    };
    cut_cases_run(CASES, sizeof(CASES) / sizeof(CASES[0]), 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cut_off),      cmocka_unit_test(cut_off_long), cmocka_unit_test(frozen),
        cmocka_unit_test(clocks_apart), cmocka_unit_test(clock_stands),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
