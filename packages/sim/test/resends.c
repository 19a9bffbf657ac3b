/* Changes of the configuration that race, and calls that are sent again unchanged: to any
 * node, through changes of the leader, after losses of disks, after many later changes. In
 * virtual time. */
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
#define NODES (CONTROLLERS + ENTRY_POINTS)
#define TRIES_MOST 200   /* count; of one call until it is answered clearly */
#define ASK_WAIT_MS 1000 /* ms; a caller gives an answer up after this */
#define RACERS 8         /* count; so many orders may be under way at once */

typedef struct Call {
    Fleet *fleet;
    uint64_t base, version;
    const char *method, *body;
    int node;     /* where it is sent first; then to the next */
    int code;     /* the first clear answer; 0: none yet */
    bool refused; /* one was: whatever came before or after it */
    bool done;
} Call;

static Fleet *begin(uint64_t seed)
{
    return case_begin(seed, (FleetShape){CONTROLLERS, ENTRY_POINTS, 3, MIX_TRENTVALE, 0});
}

static const FleetNode *node_at(Fleet *fleet, int number)
{
    const int at = number % NODES;
    return at < ENTRY_POINTS ? fleet_node(fleet, FLEET_ENTRY_POINT, at)
                             : fleet_node(fleet, FLEET_CONTROLLER, at - ENTRY_POINTS);
}

static const char *path_of(void *mem, const Call *call)
{
    return talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, call->base, call->version);
}

/* The first document with a note of its own. */
static const char *whole_body(Fleet *fleet, const char *note)
{
    return talloc_asprintf(fleet, "{\"note\":\"%s\",%s", note, mix_config(fleet->shape.mix) + 1);
}

static const char *patch_body(Fleet *fleet, const char *note)
{
    return talloc_asprintf(fleet, "{\"note\":\"%s\"}", note);
}

/* 0: no clear answer. */
static int send_once(const Call *call, int node)
{
    Loop *loop = sim_loop(call->fleet->world, call->fleet->caller_machine);
    void *mem = talloc_new(loop);
    HttpCall sent = {.mem = mem,
                     .address = node_at(call->fleet, node)->settings.http,
                     .method = call->method,
                     .path = path_of(mem, call),
                     .wait_ms = ASK_WAIT_MS};
    bytes_add(mem, &sent.body, call->body, strlen(call->body));
    const int code = loop_call(loop, &sent) == STATUS_OK && sent.code < 500 ? sent.code : 0;
    talloc_free(mem);
    return code;
}

static void call_main(void *arg)
{
    Call *call = arg;
    Loop *loop = sim_loop(call->fleet->world, call->fleet->caller_machine);
    for (int i = 0; i < TRIES_MOST && call->code == 0; i++) {
        call->code = send_once(call, call->node + i);
        loop_sleep(loop, 20);
    }
    call->done = true;
}

static void call_start(Call *call)
{
    loop_spawn(sim_loop(call->fleet->world, call->fleet->caller_machine), "call", call_main, call);
}

static void calls_wait(Fleet *fleet, const Call *calls, size_t count)
{
    for (size_t i = 0; i < count; i++)
        for (int turns = 0; !calls[i].done && turns < 100000; turns++)
            fleet_run(fleet, 5);
}

/* Sends it once more, unchanged, to the node. */
static int again(const Call *call, int node)
{
    void *mem = talloc_new(NULL);
    const FleetNode *at = node_at(call->fleet, node);
    const int code =
        fleet_request(call->fleet, mem, at->role, at->number, call->method, path_of(mem, call), call->body).code;
    talloc_free(mem);
    return code;
}

static void again_everywhere(const Call *call, int code)
{
    for (int i = 0; i < NODES; i++)
        assert_int_equal(again(call, i), code);
}

static uint64_t newest(Fleet *fleet)
{
    void *mem = talloc_new(NULL);
    const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(call.code, 200);
    const char *at = strstr((const char *)call.response_body.data, "\"revision\":");
    const uint64_t version = strtoull(at + strlen("\"revision\":"), NULL, 10);
    talloc_free(mem);
    return version;
}

/* So many patches, one upon the other. */
static void changes_more(Fleet *fleet, int count)
{
    uint64_t base = newest(fleet);
    for (int i = 0; i < count; i++, base++) {
        const Call more = {.fleet = fleet,
                           .base = base,
                           .version = base + 1,
                           .method = "PATCH",
                           .body = patch_body(fleet, i % 2 == 0 ? "even" : "odd")};
        assert_int_equal(again(&more, i % ENTRY_POINTS), 200);
    }
}

static Call taken(Fleet *fleet, const char *method, const char *note)
{
    const uint64_t base = newest(fleet);
    Call call = {.fleet = fleet, .base = base, .version = base + 3, .method = method};
    call.body = strcmp(method, "PUT") == 0 ? whole_body(fleet, note) : patch_body(fleet, note);
    assert_int_equal(again(&call, 0), 200);
    return call;
}

/* Kills leaders until the controller leads. */
static void make_lead(Fleet *fleet, int controller)
{
    for (int i = 0; i < 12 && fleet_leader(fleet) != controller; i++) {
        const int leader = fleet_leader(fleet);
        checker_fault(fleet->checker);
        if (leader >= 0) {
            fleet_kill(fleet, FLEET_CONTROLLER, leader);
            fleet_run(fleet, 4000);
            fleet_start_node(fleet, FLEET_CONTROLLER, leader);
        }
        fleet_run(fleet, 5000);
    }
    assert_int_equal(fleet_leader(fleet), controller);
}

/* --- races ---------------------------------------------------------------------------------- */

typedef enum Upset { UPSET_NONE, UPSET_KILL, UPSET_FREEZE, UPSET_CUT, UPSET_COUNT } Upset;

static void upset(Fleet *fleet, Upset how, int leader, bool begins)
{
    if (how == UPSET_KILL && begins)
        fleet_kill(fleet, FLEET_CONTROLLER, leader);
    else if (how == UPSET_KILL)
        fleet_start_node(fleet, FLEET_CONTROLLER, leader);
    else if (how == UPSET_FREEZE && begins)
        fleet_freeze(fleet, FLEET_CONTROLLER, leader, 3000);
    else if (how == UPSET_CUT)
        fleet_node_cut(fleet, FLEET_CONTROLLER, leader, begins);
}

/* Two calls on one base at the same moment; the leader is lost some ms after they were sent. */
static void race_once(Fleet *fleet, Call pair[2], Upset how, int64_t after_ms)
{
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    for (int k = 0; k < 2; k++)
        call_start(&pair[k]);
    if (how != UPSET_NONE) {
        checker_fault(fleet->checker);
        fleet_run(fleet, after_ms);
        upset(fleet, how, leader, true);
        fleet_run(fleet, 3000);
        upset(fleet, how, leader, false);
    }
    calls_wait(fleet, pair, 2);
    fleet_run(fleet, how != UPSET_NONE ? 5000 : 50);
}

static void races_of(uint64_t seed, const char *method_a, const char *method_b)
{
    Fleet *fleet = begin(seed);
    int firsts = 0, attempts = 0;
    for (int how = 0; how < UPSET_COUNT; how++)
        for (int64_t after_ms = 1; after_ms <= 9; after_ms += 2, attempts++) {
            const uint64_t base = newest(fleet);
            Call pair[2];
            for (int k = 0; k < 2; k++) {
                const char *method = k == 0 ? method_a : method_b;
                const char *note = talloc_asprintf(fleet, "r%d-%d", attempts, k);
                pair[k] = (Call){.fleet = fleet, .base = base, .version = base + 2, .method = method};
                pair[k].version += (uint64_t)(attempts % 2 * k); /* one number, or one each */
                pair[k].body = strcmp(method, "PUT") == 0 ? whole_body(fleet, note) : patch_body(fleet, note);
                pair[k].node = attempts + 2 * k;
            }
            race_once(fleet, pair, (Upset)how, after_ms);
            const bool first = pair[0].code == 200 && pair[1].code == 409;
            if (!first && !(pair[0].code == 409 && pair[1].code == 200))
                fail_msg("%s against %s, upset %d after %d ms: %d and %d", method_a, method_b, how, (int)after_ms,
                         pair[0].code, pair[1].code);
            firsts += first;
            assert_int_equal(newest(fleet), pair[first ? 0 : 1].version);
            for (int k = 0; k < 2; k++)
                again_everywhere(&pair[k], pair[k].code);
        }
    print_message("%s against %s: the first won %d of %d\n", method_a, method_b, firsts, attempts);
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    talloc_free(fleet);
}

static void whole_against_whole(void **state)
{
    (void)state;
    races_of(61, "PUT", "PUT");
}

static void whole_against_patch(void **state)
{
    (void)state;
    races_of(62, "PUT", "PATCH");
}

static void patch_against_patch(void **state)
{
    (void)state;
    races_of(63, "PATCH", "PATCH");
}

/* Eight at once, each with a body of its own, some with the same number: one is confirmed. Then the
 * same call eight times: it is one change, and confirmed to all. */
static void eight_at_once(void **state)
{
    (void)state;
    Fleet *fleet = begin(64);
    for (int attempt = 0; attempt < 20; attempt++) {
        Call calls[RACERS];
        const uint64_t base = newest(fleet);
        const bool same = attempt % 2 == 1;
        for (int i = 0; i < RACERS; i++) {
            const char *note = talloc_asprintf(fleet, "e%d-%d", attempt, same ? 0 : i);
            const uint64_t version = base + 5 + (same ? 0 : (uint64_t)(i % 3));
            calls[i] = (Call){.fleet = fleet, .base = base, .version = version, .node = i, .method = "PATCH"};
            calls[i].body = patch_body(fleet, note);
            call_start(&calls[i]);
        }
        calls_wait(fleet, calls, RACERS);
        int confirmed = 0;
        for (int i = 0; i < RACERS; i++) {
            assert_true(calls[i].code == 200 || calls[i].code == 409);
            confirmed += calls[i].code == 200;
            if (calls[i].code == 200)
                assert_int_equal(newest(fleet), calls[i].version);
        }
        assert_int_equal(confirmed, same ? RACERS : 1);
    }
    talloc_free(fleet);
}

/* One body, and one number, on two bases: it is not the same call. */
static void other_base(void **state)
{
    (void)state;
    Fleet *fleet = begin(65);
    const Call first = taken(fleet, "PATCH", "a");
    changes_more(fleet, 1);
    Call other = first;
    other.base = newest(fleet);
    other.version = other.base + 1;
    assert_int_equal(again(&other, 1), 200);
    again_everywhere(&first, 200);
    Call number = other;
    number.base = first.base;
    again_everywhere(&number, 409);
    talloc_free(fleet);
}

/* --- sent again -------------------------------------------------------------------------------- */

/* The controller loses power and its disk. */
static void disk_lose(Fleet *fleet, int controller)
{
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, controller);
    sim_disk_wipe(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine);
}

/* A disk is lost and brought up to date by a snapshot; then its controller leads. */
static void after_wipe(void **state)
{
    (void)state;
    Fleet *fleet = begin(66);
    const Call whole = taken(fleet, "PUT", "w"), patch = taken(fleet, "PATCH", "p");
    const int lost = (fleet_leader(fleet) + 1) % CONTROLLERS;
    disk_lose(fleet, lost);
    for (int i = 0; i < ENTRY_POINTS; i++) /* while it is away */
        assert_int_equal(again(&patch, i), 200);
    fleet_start_node(fleet, FLEET_CONTROLLER, lost);
    fleet_run(fleet, 20000);
    make_lead(fleet, lost);
    again_everywhere(&whole, 200);
    again_everywhere(&patch, 200);
    talloc_free(fleet);
}

/* All lose power; the disks keep what they synced. */
static void after_power(void **state)
{
    (void)state;
    Fleet *fleet = begin(67);
    const Call whole = taken(fleet, "PUT", "w"), patch = taken(fleet, "PATCH", "p");
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    again_everywhere(&patch, 200);
    again_everywhere(&whole, 200);
    talloc_free(fleet);
}

/* An order whose answers were all lost is sent on for as long as its operator likes, while
 * others make hundreds of changes; through a log shortened into a snapshot as well. */
static void after_hundreds(void **state)
{
    (void)state;
    Fleet *fleet = begin(68);
    const Call whole = taken(fleet, "PUT", "w"), patch = taken(fleet, "PATCH", "p");
    changes_more(fleet, 5);
    again_everywhere(&whole, 200);
    changes_more(fleet, 500);
    again_everywhere(&whole, 200);
    again_everywhere(&patch, 200);
    const int lost = (fleet_leader(fleet) + 1) % CONTROLLERS;
    disk_lose(fleet, lost);
    fleet_start_node(fleet, FLEET_CONTROLLER, lost);
    fleet_run(fleet, 20000);
    make_lead(fleet, lost);
    again_everywhere(&whole, 200);
    again_everywhere(&patch, 200);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(whole_against_whole), cmocka_unit_test(whole_against_patch),
        cmocka_unit_test(patch_against_patch), cmocka_unit_test(eight_at_once),
        cmocka_unit_test(other_base),          cmocka_unit_test(after_wipe),
        cmocka_unit_test(after_power),         cmocka_unit_test(after_hundreds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
