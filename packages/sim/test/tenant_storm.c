/* Rapid changes of one tenant's keys while leaders and entry points are killed and cut off. In virtual time. */
#include "tenants_fixture.h"

#define STORM_CHANGES 40
#define STORM_CALLERS 4

/* When the change that adds a key was acknowledged, when the change that removes it was first sent, and when that was
 * acknowledged. INT64_MAX: not yet. */
typedef struct StormKey {
    int64_t added_ms, removal_sent_ms, removed_ms;
} StormKey;

/* What the operator and the callers share. */
typedef struct Storm {
    Fleet *fleet;
    StormKey keys[STORM_CHANGES + 2];
    int newest;                    /* the key that the operator added last */
    bool done;                     /* all changes were acknowledged */
    size_t accepted, unauthorized; /* calls answered 201, 401 */
    size_t accepted_late;          /* accepted under a key whose removal had been acknowledged */
    size_t wrongly_refused;        /* refused although the key was valid throughout the call */
    size_t calls;
} Storm;

/* One call under the key; key below 0: none. The code is 0 if it was not answered. */
static HttpCall storm_call(const Storm *storm, void *mem, int entry_point, const char *method, const char *path,
                           const char *body, int key)
{
    Fleet *fleet = storm->fleet;
    HttpHeader *heads = talloc_zero_array(mem, HttpHeader, 2);
    heads[0] = (HttpHeader){"host", HOST};
    heads[1] = (HttpHeader){"authorization", talloc_asprintf(mem, "Bearer storm-%d", key)};
    HttpCall call = {.mem = mem,
                     .address = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point % ENTRY_POINTS)->settings.http,
                     .method = method,
                     .path = path,
                     .wait_ms = 3000,
                     .request_headers = heads,
                     .request_header_count = key >= 0 ? 2 : 1};
    bytes_add(mem, &call.body, body, strlen(body));
    if (loop_call(sim_loop(fleet->world, fleet->caller_machine), &call) != STATUS_OK)
        call.code = 0;
    return call;
}

/* The operator: each version adds a key and removes the one before the last, and is sent repeatedly until it is
 * acknowledged. */
static void storm_operator(void *arg)
{
    Storm *storm = arg;
    Loop *loop = sim_loop(storm->fleet->world, storm->fleet->caller_machine);
    for (int i = 1; i <= STORM_CHANGES; i++) {
        void *mem = talloc_new(loop);
        const char *path = talloc_asprintf(mem, "/v1/config?base=%d&revision=%d", i, i + 1);
        const char *body = talloc_asprintf(
            mem, "{\"cells\":{\"c\":{\"tenants\":{\"one\":{\"keys\":[\"storm-%d\",\"storm-%d\"]}}}}}", i, i - 1);
        if (i >= 2)
            storm->keys[i - 2].removal_sent_ms = loop_now_ms(loop);
        int code = 0;
        for (int attempt = 0; code != 200; attempt++) {
            code = storm_call(storm, mem, i + attempt, "PATCH", path, body, -1).code;
            if (code != 200 && code != 0 && code != 503 && code != 504)
                fail_msg("a change was answered %d", code);
            if (code != 200)
                loop_sleep(loop, 200);
        }
        storm->keys[i].added_ms = loop_now_ms(loop);
        if (i >= 2)
            storm->keys[i - 2].removed_ms = loop_now_ms(loop);
        storm->newest = i;
        talloc_free(mem);
        loop_sleep(loop, (int64_t)(loop_random(loop) % 700));
    }
    storm->done = true;
}

/* A caller: sends calls under one of the latest keys, and compares each answer with what had been acknowledged when the
 * call was sent. */
static void storm_caller(void *arg)
{
    Storm *storm = arg;
    Loop *loop = sim_loop(storm->fleet->world, storm->fleet->caller_machine);
    while (!storm->done) {
        void *mem = talloc_new(loop);
        const int key = storm->newest + 1 - (int)(loop_random(loop) % 5);
        const StormKey *held = &storm->keys[key >= 0 ? key : STORM_CHANGES + 1];
        const int64_t sent_ms = loop_now_ms(loop);
        const bool added = held->added_ms < sent_ms, removed = held->removed_ms < sent_ms;
        const char *path = talloc_asprintf(mem, "/v1/entry/q/s-%zu", storm->calls++);
        const int code = storm_call(storm, mem, (int)storm->calls, "POST", path, BODY(50), key).code;
        storm->accepted += code == 201;
        storm->unauthorized += code == 401;
        storm->accepted_late += code == 201 && removed; /* its removal had been acknowledged */
        /* the key was valid from before the call until after the answer */
        storm->wrongly_refused += code == 401 && added && held->removal_sent_ms > loop_now_ms(loop);
        talloc_free(mem);
        loop_sleep(loop, (int64_t)(loop_random(loop) % 60));
    }
}

/* CONFIG: guards against a call under a removed key being run, or one under a valid key being refused, during rapid
 * changes of the keys and changes of leader. */
static void storm_of_keys(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = tenants_begin(70 + seed);
        Storm *storm = talloc_zero(fleet, Storm);
        storm->fleet = fleet;
        for (int i = 0; i < STORM_CHANGES + 2; i++)
            storm->keys[i] = (StormKey){INT64_MAX, INT64_MAX, INT64_MAX};
        Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
        loop_spawn(loop, "operator", storm_operator, storm);
        for (int i = 0; i < STORM_CALLERS; i++)
            loop_spawn(loop, "caller", storm_caller, storm);
        for (int turn = 0; !storm->done && turn < 60; turn++) {
            fleet_run(fleet, 1500);
            const int leader = fleet_leader(fleet);
            if (leader < 0 || turn % 4 != 1)
                continue;
            checker_fault(fleet->checker);
            if (turn % 8 == 1)
                fleet_kill(fleet, FLEET_CONTROLLER, leader);
            else
                fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
            fleet_node_cut(fleet, FLEET_ENTRY_POINT, turn % ENTRY_POINTS, true);
            fleet_run(fleet, 4000);
            fleet_node_cut(fleet, FLEET_ENTRY_POINT, turn % ENTRY_POINTS, false);
            if (turn % 8 == 1)
                fleet_start_node(fleet, FLEET_CONTROLLER, leader);
            else
                fleet_node_cut(fleet, FLEET_CONTROLLER, leader, false);
        }
        assert_true(storm->done);
        fleet_run(fleet, 5000);
        print_message("%zu calls: %zu accepted, %zu refused; %zu accepted late, %zu wrongly refused\n", storm->calls,
                      storm->accepted, storm->unauthorized, storm->accepted_late, storm->wrongly_refused);
        assert_true(storm->accepted > 100 && storm->unauthorized > 100);
        assert_int_equal(storm->accepted_late, 0);
        assert_int_equal(storm->wrongly_refused, 0);
        case_end(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(storm_of_keys)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
