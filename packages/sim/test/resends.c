/* Concurrent changes of the configuration, and calls that are resent unchanged: to any node, during changes of leader,
 * after the loss of disks, and after many later changes. In virtual time. */
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
#define SEND_ATTEMPTS 200    /* attempts to send one call, until it gets a definite answer */
#define CALL_TIMEOUT_MS 1000 /* a caller's time-out */
#define CALLS_AT_ONCE 8      /* the most changes that may be in progress at the same time */

/* A change of the configuration that is sent until it gets a definite answer. */
typedef struct Call {
    Fleet *fleet;
    uint64_t base, version;
    const char *method, *body;
    int node;     /* the node that it is sent to first; each further attempt goes to the next */
    int code;     /* the first definite answer; 0: none yet */
    bool refused; /* some attempt was refused, whatever came before or after it */
    bool done;
} Call;

static Fleet *begin(uint64_t seed)
{
    return case_begin(seed, (FleetShape){CONTROLLERS, ENTRY_POINTS, 3, MIX_TRENTVALE, 0});
}

/* Nodes are numbered from 0, the entry points before the controllers; higher numbers wrap around. */
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

/* The mix's configuration with this note. */
static const char *whole_body(Fleet *fleet, const char *note)
{
    return talloc_asprintf(fleet, "{\"note\":\"%s\",%s", note, mix_config(fleet->shape.mix) + 1);
}

static const char *patch_body(Fleet *fleet, const char *note)
{
    return talloc_asprintf(fleet, "{\"note\":\"%s\"}", note);
}

/* Sends the call to the node. Returns the HTTP code; 0: no definite answer. */
static int send_once(const Call *call, int node)
{
    Loop *loop = sim_loop(call->fleet->world, call->fleet->caller_machine);
    void *mem = talloc_new(loop);
    HttpCall sent = {.mem = mem,
                     .address = node_at(call->fleet, node)->settings.http,
                     .method = call->method,
                     .path = path_of(mem, call),
                     .wait_ms = CALL_TIMEOUT_MS};
    bytes_add(mem, &sent.body, call->body, strlen(call->body));
    const int code = loop_call(loop, &sent) == STATUS_OK && sent.code < 500 ? sent.code : 0;
    talloc_free(mem);
    return code;
}

static void call_main(void *arg)
{
    Call *call = arg;
    Loop *loop = sim_loop(call->fleet->world, call->fleet->caller_machine);
    for (int i = 0; i < SEND_ATTEMPTS && call->code == 0; i++) {
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

/* Sends the call to the node once more, unchanged. Returns the HTTP code. */
static int resend(const Call *call, int node)
{
    void *mem = talloc_new(NULL);
    const FleetNode *at = node_at(call->fleet, node);
    const int code =
        fleet_request(call->fleet, mem, at->role, at->number, call->method, path_of(mem, call), call->body).code;
    talloc_free(mem);
    return code;
}

/* Fails unless every node answers the call with this code. */
static void resend_everywhere(const Call *call, int code)
{
    for (int i = 0; i < NODES; i++)
        assert_int_equal(resend(call, i), code);
}

static uint64_t newest_version(Fleet *fleet)
{
    void *mem = talloc_new(NULL);
    const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(call.code, 200);
    const char *at = strstr((const char *)call.response_body.data, "\"revision\":");
    const uint64_t version = strtoull(at + strlen("\"revision\":"), NULL, 10);
    talloc_free(mem);
    return version;
}

/* Applies count patches in sequence. */
static void patches_apply(Fleet *fleet, int count)
{
    uint64_t base = newest_version(fleet);
    for (int i = 0; i < count; i++, base++) {
        const Call more = {.fleet = fleet,
                           .base = base,
                           .version = base + 1,
                           .method = "PATCH",
                           .body = patch_body(fleet, i % 2 == 0 ? "even" : "odd")};
        assert_int_equal(resend(&more, i % ENTRY_POINTS), 200);
    }
}

/* A change with the note that has just been accepted. */
static Call change_accepted(Fleet *fleet, const char *method, const char *note)
{
    const uint64_t base = newest_version(fleet);
    Call call = {.fleet = fleet, .base = base, .version = base + 3, .method = method};
    call.body = strcmp(method, "PUT") == 0 ? whole_body(fleet, note) : patch_body(fleet, note);
    assert_int_equal(resend(&call, 0), 200);
    return call;
}

/* Kills and restarts leaders until this controller leads. */
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

/* What happens to the leader during a race. */
typedef enum LeaderFault {
    LEADER_FAULT_NONE,
    LEADER_FAULT_KILL,
    LEADER_FAULT_FREEZE,
    LEADER_FAULT_CUT,
    LEADER_FAULTS
} LeaderFault;

/* Begins or ends the fault. */
static void leader_fault_apply(Fleet *fleet, LeaderFault fault, int leader, bool begins)
{
    if (fault == LEADER_FAULT_KILL && begins)
        fleet_kill(fleet, FLEET_CONTROLLER, leader);
    else if (fault == LEADER_FAULT_KILL)
        fleet_start_node(fleet, FLEET_CONTROLLER, leader);
    else if (fault == LEADER_FAULT_FREEZE && begins)
        fleet_freeze(fleet, FLEET_CONTROLLER, leader, 3000);
    else if (fault == LEADER_FAULT_CUT)
        fleet_node_cut(fleet, FLEET_CONTROLLER, leader, begins);
}

/* Sends two calls on the same base at the same time; the fault begins after_ms after they were sent. */
static void race_once(Fleet *fleet, Call pair[2], LeaderFault fault, int64_t after_ms)
{
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    for (int k = 0; k < 2; k++)
        call_start(&pair[k]);
    if (fault != LEADER_FAULT_NONE) {
        checker_fault(fleet->checker);
        fleet_run(fleet, after_ms);
        leader_fault_apply(fleet, fault, leader, true);
        fleet_run(fleet, 3000);
        leader_fault_apply(fleet, fault, leader, false);
    }
    calls_wait(fleet, pair, 2);
    fleet_run(fleet, fault != LEADER_FAULT_NONE ? 5000 : 50);
}

/* Guards against two changes on the same base both being accepted, both being refused, or being answered otherwise when
 * they are resent. */
static void races_of(uint64_t seed, const char *method_a, const char *method_b)
{
    Fleet *fleet = begin(seed);
    int first_wins = 0, attempts = 0;
    for (int fault = 0; fault < LEADER_FAULTS; fault++)
        for (int64_t after_ms = 1; after_ms <= 9; after_ms += 2, attempts++) {
            const uint64_t base = newest_version(fleet);
            Call pair[2];
            for (int k = 0; k < 2; k++) {
                const char *method = k == 0 ? method_a : method_b;
                const char *note = talloc_asprintf(fleet, "r%d-%d", attempts, k);
                pair[k] = (Call){.fleet = fleet, .base = base, .version = base + 2, .method = method};
                pair[k].version += (uint64_t)(attempts % 2 * k); /* both calls have the same version, or each its own */
                pair[k].body = strcmp(method, "PUT") == 0 ? whole_body(fleet, note) : patch_body(fleet, note);
                pair[k].node = attempts + 2 * k;
            }
            race_once(fleet, pair, (LeaderFault)fault, after_ms);
            const bool first = pair[0].code == 200 && pair[1].code == 409;
            if (!first && !(pair[0].code == 409 && pair[1].code == 200))
                fail_msg("%s against %s, leader fault %d after %d ms: %d and %d", method_a, method_b, fault,
                         (int)after_ms, pair[0].code, pair[1].code);
            first_wins += first;
            assert_int_equal(newest_version(fleet), pair[first ? 0 : 1].version);
            for (int k = 0; k < 2; k++)
                resend_everywhere(&pair[k], pair[k].code);
        }
    print_message("%s against %s: the first won %d of %d\n", method_a, method_b, first_wins, attempts);
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

/* Eight concurrent changes with different bodies, some with the same version: one is accepted. Then the same call eight
 * times concurrently: it is one change, and accepted every time. */
static void eight_at_once(void **state)
{
    (void)state;
    Fleet *fleet = begin(64);
    for (int attempt = 0; attempt < 20; attempt++) {
        Call calls[CALLS_AT_ONCE];
        const uint64_t base = newest_version(fleet);
        const bool same = attempt % 2 == 1;
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            const char *note = talloc_asprintf(fleet, "e%d-%d", attempt, same ? 0 : i);
            const uint64_t version = base + 5 + (same ? 0 : (uint64_t)(i % 3));
            calls[i] = (Call){.fleet = fleet, .base = base, .version = version, .node = i, .method = "PATCH"};
            calls[i].body = patch_body(fleet, note);
            call_start(&calls[i]);
        }
        calls_wait(fleet, calls, CALLS_AT_ONCE);
        int confirmed = 0;
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            assert_true(calls[i].code == 200 || calls[i].code == 409);
            confirmed += calls[i].code == 200;
            if (calls[i].code == 200)
                assert_int_equal(newest_version(fleet), calls[i].version);
        }
        assert_int_equal(confirmed, same ? CALLS_AT_ONCE : 1);
    }
    talloc_free(fleet);
}

/* Calls with the same body, or the same version, on different bases are different calls. */
static void other_base(void **state)
{
    (void)state;
    Fleet *fleet = begin(65);
    const Call first = change_accepted(fleet, "PATCH", "a");
    patches_apply(fleet, 1);
    Call other = first;
    other.base = newest_version(fleet);
    other.version = other.base + 1;
    assert_int_equal(resend(&other, 1), 200);
    resend_everywhere(&first, 200);
    Call number = other;
    number.base = first.base;
    resend_everywhere(&number, 409);
    talloc_free(fleet);
}

/* --- resent calls ------------------------------------------------------------------------------ */

/* The controller loses power, and its disk is wiped. */
static void disk_lose(Fleet *fleet, int controller)
{
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, controller);
    sim_disk_wipe(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine);
}

/* A controller that lost its disk is brought up to date by a snapshot, and then leads. */
static void after_wipe(void **state)
{
    (void)state;
    Fleet *fleet = begin(66);
    const Call whole = change_accepted(fleet, "PUT", "w"), patch = change_accepted(fleet, "PATCH", "p");
    const int lost = (fleet_leader(fleet) + 1) % CONTROLLERS;
    disk_lose(fleet, lost);
    for (int i = 0; i < ENTRY_POINTS; i++) /* while the controller is down */
        assert_int_equal(resend(&patch, i), 200);
    fleet_start_node(fleet, FLEET_CONTROLLER, lost);
    fleet_run(fleet, 20000);
    make_lead(fleet, lost);
    resend_everywhere(&whole, 200);
    resend_everywhere(&patch, 200);
    talloc_free(fleet);
}

/* All controllers lose power, and their disks keep what they have synced. */
static void after_power(void **state)
{
    (void)state;
    Fleet *fleet = begin(67);
    const Call whole = change_accepted(fleet, "PUT", "w"), patch = change_accepted(fleet, "PATCH", "p");
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    resend_everywhere(&patch, 200);
    resend_everywhere(&whole, 200);
    talloc_free(fleet);
}

/* A change whose answers were all lost may be resent at any later time, after hundreds of other changes, and after the
 * log was compacted into a snapshot. */
static void after_hundreds(void **state)
{
    (void)state;
    Fleet *fleet = begin(68);
    const Call whole = change_accepted(fleet, "PUT", "w"), patch = change_accepted(fleet, "PATCH", "p");
    patches_apply(fleet, 5);
    resend_everywhere(&whole, 200);
    patches_apply(fleet, 500);
    resend_everywhere(&whole, 200);
    resend_everywhere(&patch, 200);
    const int lost = (fleet_leader(fleet) + 1) % CONTROLLERS;
    disk_lose(fleet, lost);
    fleet_start_node(fleet, FLEET_CONTROLLER, lost);
    fleet_run(fleet, 20000);
    make_lead(fleet, lost);
    resend_everywhere(&whole, 200);
    resend_everywhere(&patch, 200);
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
