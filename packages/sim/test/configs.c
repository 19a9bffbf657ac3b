/* Operators who name their versions: races, storms, and calls sent again after
 * silence, through kills, freezes and cuts of the leader. In virtual time. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "document/document.h"
#include "sim/fleet.h"

#define CHANGES 60 /* count; of each operator */

/* One change as its operator sees it. */
typedef struct Change {
    uint64_t base, version;
    const char *method, *body;
    char marker[40];
    int tries, code; /* code: the first clear answer; 0: none */
} Change;

typedef struct Operator {
    Fleet *fleet;
    int number;
    Change changes[CHANGES];
    size_t count;
    uint64_t believed; /* the newest version that it knows of */
    bool stop, done;
} Operator;

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = fleet_new(NULL, seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_start(fleet);
    assert_true(fleet_settle(fleet, 30000) && fleet_configure(fleet));
    return fleet;
}

static const char *path_of(void *mem, const Change *change)
{
    return talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, change->base, change->version);
}

/* The number behind a key of a result; 0: it is not there. */
static uint64_t number_in(const HttpCall *call, void *mem, const char *key)
{
    const char *text = talloc_strndup(mem, (const char *)call->result.data, call->result.count);
    const char *at = text != NULL ? strstr(text, key) : NULL;
    return at != NULL ? strtoull(at + strlen(key), NULL, 10) : 0;
}

/* Sends until an answer is clear, unchanged, at one entry point after the other. */
static void change_send(Operator *operator, Change * change)
{
    Fleet *fleet = operator->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller);
    for (change->tries = 1; !operator->stop; change->tries++) {
        void *mem = talloc_new(loop);
        HttpCall call = {
            .mem = mem,
            .address = fleet_node(fleet, FLEET_ENTRY_POINT, (operator->number + change->tries) % 3)->settings.http,
            .method = change->method,
            .path = path_of(mem, change),
            .wait_ms = 1000}; /* a second of silence is given up on */
        bytes_add(mem, &call.body, change->body, strlen(change->body));
        const Status status = loop_call(loop, &call);
        const uint64_t told =
            number_in(&call, mem, status == STATUS_OK && call.code == 200 ? "\"revision\":" : "\"current\":");
        change->code = status == STATUS_OK && call.code < 500 ? call.code : 0;
        if (change->code == 200)
            assert_int_equal(told, change->version);
        if (change->code != 0 && told > operator->believed)
            operator->believed = told;
        talloc_free(mem);
        if (change->code != 0)
            return;
        loop_sleep(loop, 50 + (int64_t)(loop_random(loop) % 200));
    }
}

/* Every other change is a whole document: the one in force with one thing changed. */
static const char *whole_body(Operator *operator, const Change * change)
{
    Fleet *fleet = operator->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller);
    void *mem = talloc_new(loop);
    HttpCall call = {.mem = mem,
                     .address = fleet_node(fleet, FLEET_ENTRY_POINT, operator->number % 3)->settings.http,
                     .method = "GET",
                     .path = talloc_asprintf(mem, "/v1/config?revision=%" PRIu64, change->base),
                     .wait_ms = 2000};
    const char *body = NULL;
    if (loop_call(loop, &call) == STATUS_OK && call.code == 200) {
        json_object *got = document_parse(talloc_strndup(mem, (const char *)call.result.data, call.result.count));
        json_object *patch = json_object_new_object(), *config;
        json_object_object_add(patch, "note", json_object_new_string(change->marker));
        json_object_object_get_ex(got, "config", &config);
        json_object *next = document_merged(config, patch);
        body = document_text(fleet, next);
        json_object_put(next);
        json_object_put(patch);
        json_object_put(got);
    }
    talloc_free(mem);
    return body;
}

static void operate_main(void *arg)
{
    Operator *operator= arg;
    Loop *loop = sim_loop(operator->fleet->world, operator->fleet->caller);
    while (operator->count<CHANGES && !operator->stop) {
        Change *change = &operator->changes[operator->count];
        snprintf(change->marker, sizeof(change->marker), "o%d-%zu", operator->number, operator->count);
        change->base = operator->believed;
        change->version = change->base + 1 + loop_random(loop) % 4;
        change->method = "PATCH";
        change->body = NULL;
        if (loop_random(loop) % 2 == 0 && (change->body = whole_body(operator, change)) != NULL)
            change->method = "PUT";
        if (change->body == NULL)
            change->body = talloc_asprintf(operator->fleet, "{\"note\":\"%s\"}", change->marker);
        operator->count++;
        change_send(operator, change);
        loop_sleep(loop, (int64_t)(loop_random(loop) % 300));
    }
    operator->done = true;
}

static Operator *operate(Fleet *fleet, int operators)
{
    Operator *all = talloc_zero_array(fleet, Operator, (unsigned)operators);
    for (int i = 0; i < operators; i++) {
        all[i].fleet = fleet;
        all[i].number = i;
        all[i].believed = 1;
        loop_spawn(sim_loop(fleet->world, fleet->caller), "operator", operate_main, &all[i]);
    }
    return all;
}

/* The marker of a version as it is read back; "" when it can't be. */
static const char *marker_at(Fleet *fleet, void *mem, uint64_t version)
{
    const char *path = talloc_asprintf(mem, "/v1/config?revision=%" PRIu64, version);
    const HttpCall call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", path, NULL);
    if (call.code != 200)
        return "";
    const char *text = talloc_strndup(mem, (const char *)call.result.data, call.result.count);
    const char *at = strstr(text, "\"note\":\"");
    return at != NULL ? talloc_strndup(mem, at + 8, strcspn(at + 8, "\"")) : "";
}

/* After the storm: each acknowledged change is in the history under its number
 * and is acknowledged again, no refused one is anywhere, no two that were
 * acknowledged built on one base, none is lost. */
static void judge(Fleet *fleet, const Operator *all, int operators)
{
    void *mem = talloc_new(fleet);
    size_t taken = 0, refused = 0, silent = 0, again = 0;
    uint64_t highest = 0;
    bool *bases = talloc_zero_array(mem, bool, 100000);
    for (int i = 0; i < operators; i++)
        for (size_t k = 0; k < all[i].count; k++) {
            const Change *change = &all[i].changes[k];
            again += change->tries > 1;
            if (change->code == 200) {
                taken++;
                assert_true(change->version < 100000 && !bases[change->base]);
                bases[change->base] = true;
                highest = change->version > highest ? change->version : highest;
                assert_string_equal(marker_at(fleet, mem, change->version), change->marker);
                const HttpCall call =
                    fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 1, change->method, path_of(mem, change), change->body);
                assert_int_equal(call.code, 200);
                assert_int_equal(number_in(&call, mem, "\"revision\":"), change->version);
            } else if (change->code != 0) {
                assert_int_equal(change->code, 409);
                refused++;
                assert_string_not_equal(marker_at(fleet, mem, change->version), change->marker);
            } else {
                silent++;
            }
        }
    const HttpCall newest = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 2, "GET", "/v1/config", NULL);
    assert_int_equal(newest.code, 200);
    assert_true(number_in(&newest, mem, "\"revision\":") >= highest);
    print_message("%zu taken, %zu refused, %zu without an answer; %zu sent more than once\n", taken, refused, silent,
                  again);
    assert_true(taken > 20 && refused > 5 && silent <= (size_t)operators);
    if (checker_broken_all(fleet->checker) > 0)
        fail_msg("%s", checker_first(fleet->checker));
    talloc_free(mem);
}

static void wait(Fleet *fleet, Operator *all, int operators)
{
    for (int i = 0; i < operators; i++)
        for (int turns = 0; !all[i].done && turns < 600; turns++)
            fleet_run(fleet, 500);
    for (int i = 0; i < operators; i++)
        all[i].stop = true;
    fleet_run(fleet, 5000);
}

/* The leader is killed, frozen and cut off in turn while three operators send. */
static void storm(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = begin(40 + seed);
        Operator *all = operate(fleet, 3);
        for (int i = 0; i < 6; i++) {
            fleet_run(fleet, 1500 + (int64_t)seed * 130);
            const int leader = fleet_leader(fleet);
            if (leader < 0)
                continue;
            checker_fault(fleet->checker);
            if (i % 3 == 0)
                fleet_kill(fleet, FLEET_CONTROLLER, leader);
            else if (i % 3 == 1)
                fleet_freeze(fleet, FLEET_CONTROLLER, leader, 4000);
            else
                fleet_isolate(fleet, FLEET_CONTROLLER, leader, true);
            fleet_run(fleet, 6000);
            if (i % 3 == 0)
                fleet_start_node(fleet, FLEET_CONTROLLER, leader);
            else if (i % 3 == 2)
                fleet_isolate(fleet, FLEET_CONTROLLER, leader, false);
            fleet_run(fleet, 3000);
        }
        wait(fleet, all, 3);
        judge(fleet, all, 3);
        talloc_free(fleet);
    }
}

static void send_main(void *arg)
{
    Operator *operator= arg;
    operator->count = 1;
    change_send(operator, & operator->changes[0]);
    operator->done = true;
}

/* Two on one base at the same moment, with one and the same number: one wins, and
 * each hears the same when it asks again. */
static void races(void **state)
{
    (void)state;
    Fleet *fleet = begin(51);
    uint64_t base = 1;
    size_t firsts = 0;
    for (int i = 0; i < 40; i++) {
        Operator *pair = talloc_zero_array(fleet, Operator, 2);
        for (int k = 0; k < 2; k++) {
            pair[k].fleet = fleet;
            pair[k].number = i + k;
            Change *change = &pair[k].changes[0];
            *change = (Change){.base = base, .version = base + 2, .method = "PATCH"};
            snprintf(change->marker, sizeof(change->marker), "r%d-%d", i, k);
            change->body = talloc_asprintf(fleet, "{\"note\":\"%s\"}", change->marker);
            loop_spawn(sim_loop(fleet->world, fleet->caller), "racer", send_main, &pair[k]);
        }
        while (!pair[0].done || !pair[1].done)
            fleet_run(fleet, 5);
        const int a = pair[0].changes[0].code, b = pair[1].changes[0].code;
        assert_true((a == 200 && b == 409) || (a == 409 && b == 200));
        firsts += a == 200;
        void *mem = talloc_new(fleet);
        assert_string_equal(marker_at(fleet, mem, base + 2), pair[a == 200 ? 0 : 1].changes[0].marker);
        talloc_free(mem);
        for (int k = 0; k < 2; k++) {
            const int before = pair[k].changes[0].code;
            const HttpCall call = fleet_ask(fleet, fleet, FLEET_ENTRY_POINT, k, "PATCH",
                                            path_of(fleet, &pair[k].changes[0]), pair[k].changes[0].body);
            assert_int_equal(call.code, before);
        }
        base += 2;
    }
    print_message("the first of the pair won %zu of 40\n", firsts);
    talloc_free(fleet);
}

/* Versions that are not above, bases that are not in force, faults: refused, and
 * what was in force stays. */
static void refused(void **state)
{
    (void)state;
    Fleet *fleet = begin(52);
    void *mem = talloc_new(fleet);
    static const struct {
        const char *method, *path, *body;
        int code;
        const char *words;
    } CASES[] = {
        {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"a\"}", 200, "{\"revision\":7}"},
        {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"a\"}", 200, "{\"revision\":7}"},
        {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"b\"}", 409, "\"current\":7"},
        {"PATCH", "/v1/config?base=1&revision=9", "{\"note\":\"a\"}", 409, "\"current\":7"},
        {"PATCH", "/v1/config?base=7&revision=7", "{\"note\":\"c\"}", 422, "?revision"},
        {"PATCH", "/v1/config?base=7&revision=3", "{\"note\":\"c\"}", 422, "?revision"},
        {"PATCH", "/v1/config?base=7&revision=0", "{\"note\":\"c\"}", 422, "?revision"},
        {"PATCH", "/v1/config?base=7&revision=x", "{\"note\":\"c\"}", 422, "?revision"},
        {"PATCH", "/v1/config?revision=9", "{\"note\":\"c\"}", 422, "?base"},
        {"PATCH", "/v1/config?base=7&revision=9", "{\"note\":7}", 422, "note"},
        {"PATCH", "/v1/config?base=7&revision=9", "[]", 400, "object"},
        {"PATCH", "/v1/config?base=7&revision=9", "null", 400, "null"},
        {"PUT", "/v1/config?base=7&revision=9", "null", 400, "null"},
        {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1", 400, "too early"},
        {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1}{}", 400, "follows"},
        {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"r\":1}", 422, "twice"},
        {"PUT", "/v1/config?base=7&revision=9", "", 400, "empty"},
        {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"note\":\"whole\"}", 200, "{\"revision\":9}"},
        {"PUT", "/v1/config?base=9&revision=9007199254740993", "{\"r\":1.0}", 422, "\"r\""},
        {"PUT", "/v1/config?base=9&revision=9007199254740993", "{ \"r\": 1,\n\"note\":\"\\u00e9 2.20\" }", 200,
         "9007199254740993"},
        {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"note\":\"whole\"}", 200, "{\"revision\":9}"},
        {"GET", "/v1/config?revision=7", NULL, 200, "\"note\":\"a\""},
        {"GET", "/v1/config?revision=9", NULL, 200, "{\"revision\":9,\"config\":{\"r\":1,\"note\":\"whole\"}}"},
        {"GET", "/v1/config?revision=8", NULL, 404, "unknown-revision"},
        {"GET", "/v1/config", NULL, 200,
         "{\"revision\":9007199254740993,\"config\":{ \"r\": 1,\n\"note\":\"\\u00e9 2.20\" }}"},
        {"GET", "/v1/config/history", NULL, 200, "[1,7,9,9007199254740993]"},
    };
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        const HttpCall call =
            fleet_ask(fleet, mem, FLEET_ENTRY_POINT, (int)(i % 3), CASES[i].method, CASES[i].path, CASES[i].body);
        const char *text = talloc_strndup(mem, (const char *)call.result.data, call.result.count);
        if (call.code != CASES[i].code || strstr(text, CASES[i].words) == NULL)
            fail_msg("%s %s %s: %d %s", CASES[i].method, CASES[i].path, CASES[i].body, call.code, text);
    }
    char *large = talloc_size(mem, CONFIG_BODY_MAX + 2);
    memset(large, ' ', CONFIG_BODY_MAX + 1);
    large[CONFIG_BODY_MAX + 1] = '\0';
    assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=9007199254740993", large).code,
                     413);
    /* many patches that together are too large */
    int code = 200;
    for (int i = 0; i < CONFIG_BODY_MAX / 60000 + 12 && code == 200; i++) {
        char *note = talloc_size(mem, 60001);
        memset(note, 'n', 60000);
        note[60000] = '\0';
        const char *body =
            talloc_asprintf(mem, "{\"cells\":{\"c%d\":{\"queues\":{\"q\":{\"note\":\"%s\"}}}}}", i, note);
        const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64, UINT64_C(9007199254740993) + (uint64_t)i);
        code = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path, body).code;
    }
    assert_int_equal(code, 413);
    talloc_free(mem);
    talloc_free(fleet);
}

/* Disks that lose hours of what they acknowledged: the entry points have the document and
 * all that was changed of it since, also what was changed long ago. */
static void told_again(void **state)
{
    (void)state;
    Fleet *fleet = begin(53);
    void *mem = talloc_new(fleet);
    for (int i = 0; i < 3; i++)
        sim_disk_lie(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    uint64_t base = 1;
    for (int i = 0; i < 20; i++) {
        const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, base, base + 3);
        const char *body =
            talloc_asprintf(mem, "{\"note\":\"t%d\",\"cells\":{\"x%d\":{\"share\":%d}}}", i, i % 5, i + 1);
        assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path, body).code, 200);
        base += 3;
        fleet_run(fleet, i == 15 ? REPAIR_KEEP_MS + 10000 : 200);
    }
    fleet_run(fleet, REPAIR_KEEP_MS + 10000); /* the calls themselves are remembered no more */
    const HttpCall before = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    checker_fault(fleet->checker);
    for (int i = 0; i < 3; i++)
        fleet_power_off(fleet, FLEET_CONTROLLER, i);
    for (int i = 0; i < 3; i++) {
        sim_disk_lie(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, false);
        fleet_start_node(fleet, FLEET_CONTROLLER, i);
    }
    fleet_run(fleet, 12000);
    const HttpCall after = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(after.code, 200);
    assert_true(bytes_equal(before.result, after.result));
    /* the last call, sent again, is known from what was told */
    const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, base - 3, base);
    assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path,
                               "{\"note\":\"t19\",\"cells\":{\"x4\":{\"share\":20}}}")
                         .code,
                     200);
    talloc_free(mem);
    talloc_free(fleet);
}

/* A document of 900 KB and a change of it: taken, on all voters, through the death of
 * the leader and from the disks, as it was sent. */
static void largest(void **state)
{
    (void)state;
    Fleet *fleet = begin(55);
    void *mem = talloc_new(fleet);
    char *text = talloc_strdup(mem, "{\"cells\":{\"c\":{\"queues\":{");
    for (int i = 0; strlen(text) < 900000; i++) {
        char note[3001];
        memset(note, 'a' + i % 26, 3000);
        note[3000] = '\0';
        text = talloc_asprintf_append_buffer(text, "%s\"q%d\":{\"stretch\":2.%d0,\"note\":\"%s\"}", i > 0 ? "," : "", i,
                                             i % 7, note);
    }
    text = talloc_strdup_append_buffer(text, "}}}}");
    HttpCall call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=1&revision=2", text);
    assert_int_equal(call.code, 200);
    assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 1, "PUT", "/v1/config?base=1&revision=2", text).code,
                     200);
    for (int k = 0; k < 2; k++) {
        call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 2, "GET", "/v1/config", NULL);
        assert_int_equal(call.code, 200);
        const char *read = talloc_strndup(mem, (const char *)call.result.data, call.result.count);
        assert_non_null(strstr(read, text));
        checker_fault(fleet->checker);
        const int leader = fleet_leader(fleet);
        fleet_kill(fleet, FLEET_CONTROLLER, leader);
        fleet_run(fleet, 8000);
        fleet_start_node(fleet, FLEET_CONTROLLER, leader);
        fleet_run(fleet, 5000);
    }
    checker_fault(fleet->checker);
    for (int i = 0; i < 3; i++)
        fleet_power_off(fleet, FLEET_CONTROLLER, i);
    for (int i = 0; i < 3; i++)
        fleet_start_node(fleet, FLEET_CONTROLLER, i);
    fleet_run(fleet, 12000);
    assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=2",
                               "{\"cells\":{\"c\":{\"queues\":{\"q0\":null}}}}")
                         .code,
                     200);
    call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    const char *read = talloc_strndup(mem, (const char *)call.result.data, call.result.count);
    assert_non_null(strstr(read, strstr(text, "\"q1\"")));
    assert_null(strstr(read, "\"q0\""));
    talloc_free(mem);
    talloc_free(fleet);
}

/* A document that an entry point does not take at once comes in a calm moment. */
static void large_told_again(void **state)
{
    (void)state;
    Fleet *fleet = begin(54);
    void *mem = talloc_new(fleet);
    for (int i = 0; i < 3; i++)
        sim_disk_lie(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    char *note = talloc_size(mem, 60001);
    memset(note, 'n', 60000);
    note[60000] = '\0';
    const char *body = talloc_asprintf(mem, "{\"limits\":{\"idleMs\":9000},\"note\":\"%s\"}", note);
    assert_int_equal(fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1&revision=5", body).code,
                     200);
    fleet_run(fleet, 200);
    for (int i = 0; i < 3; i++) { /* its number and limits are known at once */
        const HttpCall call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, i, "GET", "/metrics", NULL);
        assert_non_null(
            strstr(talloc_strndup(mem, (const char *)call.result.data, call.result.count), "config_revision 5\n"));
    }
    fleet_run(fleet, REPAIR_KEEP_MS + 10000);
    checker_fault(fleet->checker);
    for (int i = 0; i < 3; i++)
        fleet_power_off(fleet, FLEET_CONTROLLER, i);
    for (int i = 0; i < 3; i++) {
        sim_disk_lie(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, false);
        fleet_start_node(fleet, FLEET_CONTROLLER, i);
    }
    fleet_run(fleet, 12000);
    const HttpCall after = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(number_in(&after, mem, "\"revision\":"), 5);
    assert_true(after.result.count > 60000);
    talloc_free(mem);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(storm),
        cmocka_unit_test(races),
        cmocka_unit_test(refused),
        cmocka_unit_test(told_again),
        cmocka_unit_test(large_told_again),
        cmocka_unit_test(largest),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
