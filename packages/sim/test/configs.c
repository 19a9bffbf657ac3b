/* Operators that choose the version numbers of their changes: races, many concurrent changes, and requests that are
 * sent again after a time-out, while the leader is killed, frozen and cut off, and while all disks lose data. */
#include <inttypes.h>
#include <stdio.h>

#include "config_fixture.h"
#include "document/document.h"

#define CHANGES 60 /* changes that each operator sends */

/* A change as its operator sees it. */
typedef struct Change {
    uint64_t base, version;
    const char *method, *body;
    char marker[40]; /* text in the document that identifies the change */
    int tries;       /* how often it was sent */
    int code;        /* the first definite HTTP status; 0: none */
} Change;

typedef struct Operator {
    Fleet *fleet;
    int number;
    Change changes[CHANGES];
    size_t count;
    uint64_t known_version; /* the newest version that it knows of */
    bool stop;              /* set by the test: sends nothing more */
    bool done;              /* has ended */
} Operator;

static const char *path_of(void *mem, const Change *change)
{
    return talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, change->base, change->version);
}

/* Sends the same request to the entry points in turn until the response is definite. */
static void change_send(Operator *operator, Change * change)
{
    Fleet *fleet = operator->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    for (change->tries = 1; !operator->stop; change->tries++) {
        void *mem = talloc_new(loop);
        HttpCall call = {
            .mem = mem,
            .address = fleet_node(fleet, FLEET_ENTRY_POINT, (operator->number + change->tries) % 3)->settings.http,
            .method = change->method,
            .path = path_of(mem, change),
            .wait_ms = 1000}; /* time-out of one try */
        bytes_add(mem, &call.body, change->body, strlen(change->body));
        const Status status = loop_call(loop, &call);
        const uint64_t reported =
            number_in(&call, mem, status == STATUS_OK && call.code == 200 ? "\"revision\":" : "\"current\":");
        change->code = status == STATUS_OK && call.code < 500 ? call.code : 0;
        if (change->code == 200)
            assert_int_equal(reported, change->version);
        if (change->code != 0 && reported > operator->known_version)
            operator->known_version = reported;
        talloc_free(mem);
        if (change->code != 0)
            return;
        loop_sleep(loop, 50 + (int64_t)(loop_random(loop) % 200));
    }
}

/* A complete document with the change: the base version, read back, with the marker as its note. Null when it cannot be
 * read. Half of the changes are sent like this. */
static const char *full_document(Operator *operator, const Change * change)
{
    Fleet *fleet = operator->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    void *mem = talloc_new(loop);
    HttpCall call = {.mem = mem,
                     .address = fleet_node(fleet, FLEET_ENTRY_POINT, operator->number % 3)->settings.http,
                     .method = "GET",
                     .path = talloc_asprintf(mem, "/v1/config?revision=%" PRIu64, change->base),
                     .wait_ms = 2000};
    const char *body = NULL;
    if (loop_call(loop, &call) == STATUS_OK && call.code == 200) {
        json_object *got =
            document_parse(talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count));
        json_object *patch = json_object_new_object(), *config;
        json_object_object_add(patch, "note", json_object_new_string(change->marker));
        json_object_object_get_ex(got, "config", &config);
        json_object *next = document_merge(config, patch);
        body = document_text(fleet, next);
        json_object_put(next);
        json_object_put(patch);
        json_object_put(got);
    }
    talloc_free(mem);
    return body;
}

/* The task of an operator: sends CHANGES changes, each based on the newest version that it knows of. */
static void operator_main(void *arg)
{
    Operator *operator= arg;
    Loop *loop = sim_loop(operator->fleet->world, operator->fleet->caller_machine);
    while (operator->count<CHANGES && !operator->stop) {
        Change *change = &operator->changes[operator->count];
        snprintf(change->marker, sizeof(change->marker), "o%d-%zu", operator->number, operator->count);
        change->base = operator->known_version;
        change->version = change->base + 1 + loop_random(loop) % 4;
        change->method = "PATCH";
        change->body = NULL;
        if (loop_random(loop) % 2 == 0 && (change->body = full_document(operator, change)) != NULL)
            change->method = "PUT";
        if (change->body == NULL)
            change->body = talloc_asprintf(operator->fleet, "{\"note\":\"%s\"}", change->marker);
        operator->count++;
        change_send(operator, change);
        loop_sleep(loop, (int64_t)(loop_random(loop) % 300));
    }
    operator->done = true;
}

/* Starts the operators; the result is an array of them that belongs to the fleet. */
static Operator *start_operators(Fleet *fleet, int operators)
{
    Operator *all = talloc_zero_array(fleet, Operator, (unsigned)operators);
    for (int i = 0; i < operators; i++) {
        all[i].fleet = fleet;
        all[i].number = i;
        all[i].known_version = 1;
        loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "operator", operator_main, &all[i]);
    }
    return all;
}

/* The marker of a version as it is read back; "" when the version cannot be read. */
static const char *marker_at(Fleet *fleet, void *mem, uint64_t version)
{
    const char *path = talloc_asprintf(mem, "/v1/config?revision=%" PRIu64, version);
    const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", path, NULL);
    if (call.code != 200)
        return "";
    const char *text = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
    const char *at = strstr(text, "\"note\":\"");
    return at != NULL ? talloc_strndup(mem, at + 8, strcspn(at + 8, "\"")) : "";
}

/* Asserts that each acknowledged change is in the history under its version and is acknowledged again when it is
 * resent, that no refused change is in the history, that no two acknowledged changes have the same base, and that the
 * newest version is not below any acknowledged one. */
static void assert_history(Fleet *fleet, const Operator *all, int operators)
{
    void *mem = talloc_new(fleet);
    size_t accepted = 0, refused = 0, unanswered = 0, again = 0;
    uint64_t highest = 0;
    bool *bases = talloc_zero_array(mem, bool, 100000);
    for (int i = 0; i < operators; i++)
        for (size_t k = 0; k < all[i].count; k++) {
            const Change *change = &all[i].changes[k];
            again += change->tries > 1;
            if (change->code == 200) {
                accepted++;
                assert_true(change->version < 100000 && !bases[change->base]);
                bases[change->base] = true;
                highest = change->version > highest ? change->version : highest;
                assert_string_equal(marker_at(fleet, mem, change->version), change->marker);
                const HttpCall call =
                    fleet_request(fleet, mem, FLEET_ENTRY_POINT, 1, change->method, path_of(mem, change), change->body);
                assert_int_equal(call.code, 200);
                assert_int_equal(number_in(&call, mem, "\"revision\":"), change->version);
            } else if (change->code != 0) {
                assert_int_equal(change->code, 409);
                refused++;
                assert_string_not_equal(marker_at(fleet, mem, change->version), change->marker);
            } else {
                unanswered++;
            }
        }
    const HttpCall newest = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 2, "GET", "/v1/config", NULL);
    assert_int_equal(newest.code, 200);
    assert_true(number_in(&newest, mem, "\"revision\":") >= highest);
    print_message("%zu accepted, %zu refused, %zu without an answer; %zu sent more than once\n", accepted, refused,
                  unanswered, again);
    assert_true(accepted > 20 && refused > 5 && unanswered <= (size_t)operators);
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    talloc_free(mem);
}

/* Runs until all operators have ended, then stops those that have not. */
static void wait_for_operators(Fleet *fleet, Operator *all, int operators)
{
    for (int i = 0; i < operators; i++)
        for (int turns = 0; !all[i].done && turns < 600; turns++)
            fleet_run(fleet, 500);
    for (int i = 0; i < operators; i++)
        all[i].stop = true;
    fleet_run(fleet, 5000);
}

/* Three operators send changes while the leader is killed, frozen and cut off in turn. */
static void storm(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = begin(40 + seed);
        Operator *all = start_operators(fleet, 3);
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
                fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
            fleet_run(fleet, 6000);
            if (i % 3 == 0)
                fleet_start_node(fleet, FLEET_CONTROLLER, leader);
            else if (i % 3 == 2)
                fleet_node_cut(fleet, FLEET_CONTROLLER, leader, false);
            fleet_run(fleet, 3000);
        }
        wait_for_operators(fleet, all, 3);
        assert_history(fleet, all, 3);
        talloc_free(fleet);
    }
}

/* The task of an operator that sends only its first change. */
static void send_one_main(void *arg)
{
    Operator *operator= arg;
    operator->count = 1;
    change_send(operator, & operator->changes[0]);
    operator->done = true;
}

/* Two operators send changes of the same base with the same version at the same moment: exactly one is accepted, and
 * each operator gets the same response when it sends its change again. */
static void races(void **state)
{
    (void)state;
    Fleet *fleet = begin(51);
    uint64_t base = 1;
    size_t first_wins = 0;
    for (int i = 0; i < 40; i++) {
        Operator *pair = talloc_zero_array(fleet, Operator, 2);
        for (int k = 0; k < 2; k++) {
            pair[k].fleet = fleet;
            pair[k].number = i + k;
            Change *change = &pair[k].changes[0];
            *change = (Change){.base = base, .version = base + 2, .method = "PATCH"};
            snprintf(change->marker, sizeof(change->marker), "r%d-%d", i, k);
            change->body = talloc_asprintf(fleet, "{\"note\":\"%s\"}", change->marker);
            loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "racer", send_one_main, &pair[k]);
        }
        while (!pair[0].done || !pair[1].done)
            fleet_run(fleet, 5);
        const int a = pair[0].changes[0].code, b = pair[1].changes[0].code;
        assert_true((a == 200 && b == 409) || (a == 409 && b == 200));
        first_wins += a == 200;
        void *mem = talloc_new(fleet);
        assert_string_equal(marker_at(fleet, mem, base + 2), pair[a == 200 ? 0 : 1].changes[0].marker);
        talloc_free(mem);
        for (int k = 0; k < 2; k++) {
            const int before = pair[k].changes[0].code;
            const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, k, "PATCH",
                                                path_of(fleet, &pair[k].changes[0]), pair[k].changes[0].body);
            assert_int_equal(call.code, before);
        }
        base += 2;
    }
    print_message("the first of the pair won %zu of 40\n", first_wins);
    talloc_free(fleet);
}

/* All disks lose what they acknowledged: the entry points restore the document with all changes since, including those
 * that are older than REPAIR_KEEP_MS. */
static void repaired_again(void **state)
{
    (void)state;
    Fleet *fleet = begin(53);
    void *mem = talloc_new(fleet);
    for (int i = 0; i < 3; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    uint64_t base = 1;
    for (int i = 0; i < 20; i++) {
        const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, base, base + 3);
        const char *body =
            talloc_asprintf(mem, "{\"note\":\"t%d\",\"cells\":{\"x%d\":{\"share\":%d}}}", i, i % 5, i + 1);
        assert_int_equal(fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path, body).code, 200);
        base += 3;
        fleet_run(fleet, i == 15 ? REPAIR_KEEP_MS + 10000 : 200);
    }
    fleet_run(fleet,
              REPAIR_KEEP_MS + 10000); /* by now the requests themselves have been dropped from the repair buffers */
    const HttpCall before = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    const HttpCall after = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(after.code, 200);
    assert_true(bytes_equal(before.response_body, after.response_body));
    /* the last request, sent again, is recognized from the restored document */
    const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "&revision=%" PRIu64, base - 3, base);
    assert_int_equal(fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path,
                                   "{\"note\":\"t19\",\"cells\":{\"x4\":{\"share\":20}}}")
                         .code,
                     200);
    talloc_free(mem);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(storm),
        cmocka_unit_test(races),
        cmocka_unit_test(repaired_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
