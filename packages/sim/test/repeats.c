/* Which requests an entry point forwards again: each row of its table of retry rules is tried with the answer lost
 * after the change was committed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"
#include "routing/retry_rules.h"
#include "inside_request.h"
#include "state/table.h"

#define LINK_MS 10         /* delay of each frame, in ms */
#define CUT_AT_MS 25       /* the request has reached the leader, which has not answered yet */
#define ORDER_CUT_AT_MS 45 /* an order is on its way: its base was requested before, by a round of messages */
#define COMMITTED_MS 300   /* the change is committed, and the entry point still waits for the answer */
#define JOB(id)                                                                                                     \
    "{\"id\":\"" id "\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[{\"name\":\"a\"," \
    "\"room\":{\"cpu\":1,\"memMb\":64},\"payload\":{\"runMs\":60000}}]}"
#define STEPS "{\"steps\":[{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":64},\"payload\":{\"runMs\":60000}}]}"
#define HOST "jobs.example"

/* Gives the queue an entry path. */
static const char ENTRIES[] =
    "{\"cells\":{\"imagery\":{\"queues\":{\"sweeps\":{\"entry\":{\"host\":\"" HOST "\",\"prefix\":\"/in/\"}}}}}}";

/* A request that is tried, and the result that is expected. */
typedef struct Row {
    const char *method, *path, *query, *body;
    int code; /* of the answer to the second attempt */
} Row;

static const Row ROWS[] = {
    {"POST", "/v1/jobs", "", JOB("one"), 201},
    {"DELETE", "/v1/jobs/known", "", NULL, 200},
    {"POST", "/v1/jobs/known/cancel", "", NULL, 200},
    {"POST", "/v1/entry/in/one", "", STEPS, 201},
    {"DELETE", "/v1/entry/in/known", "", NULL, 200},
    {"PUT", "/v1/config", "base=2&revision=7", NULL, 200},
    {"PATCH", "/v1/config", "base=2&revision=7", "{\"r\":0}", 200},
    {"PATCH", "/v1/config", "base=2", "{\"r\":0}", 504},
    {"POST", "/v1/zones/west/drain", "", NULL, 200},
    {"PUT", "/v1/zones/west/drain", "", NULL, 200},
    {"DELETE", "/v1/zones/west/drain", "", NULL, 200},
};

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_run(fleet, 1000);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "PATCH", "/v1/config?base=1", ENTRIES).code,
                     200);
    const char *body = JOB("known");
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "POST", "/v1/jobs", body).code, 201);
    sim_link_delay(fleet->world, LINK_MS, LINK_MS);
    fleet_run(fleet, 1000);
    return fleet;
}

/* The part of the state that these requests change, as a text on mem; equal texts mean equal states. */
static char *state_of(void *mem, Fleet *fleet)
{
    const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 1, "GET", "/v1/config/history", NULL);
    assert_int_equal(call.code, 200);
    const char *history = (const char *)call.response_body.data;
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    const Table *table = controller_table(fleet->nodes[FLEET_CONTROLLER][leader].controller);
    const Job *known = table_job(table, "known");
    Job *const *jobs;
    return talloc_asprintf(mem, "jobs %zu, ending %d, zone %d %lld, %s", table_jobs(table, &jobs), (int)known->ending,
                           table_zone_is_drained(table, "west"), (long long)table_drain_stamp(table, "west"), history);
}

/* Sends the row's request through the first entry point, and returns without waiting for the answer. */
static InsideRequest *send_row(Fleet *fleet, const Row *row)
{
    const bool whole = strcmp(row->method, "PUT") == 0 && strcmp(row->path, "/v1/config") == 0;
    const HttpExchange task = {.method = row->method, .path = row->path, .query = row->query, .host = HOST};
    return inside_request_send(fleet, 0, &task, whole ? mix_config(MIX_TRENTVALE) : row->body);
}

/* The link from the leader to the entry point is cut once the leader has the request; all other links go on working. */
static void answers_lost(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        const Row *row = &ROWS[i];
        Fleet *fleet = begin(51 + i);
        const char *before = state_of(fleet, fleet);
        const InsideRequest *inside_request = send_row(fleet, row);
        const bool by_stamp = retry_policy_of(row->method, row->path, row->query) == RETRY_BY_STAMP;
        fleet_run(fleet, by_stamp ? ORDER_CUT_AT_MS : CUT_AT_MS);
        const int entry_point = fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine;
        const int leader = fleet_node(fleet, FLEET_CONTROLLER, fleet_leader(fleet))->machine;
        sim_link_cut(fleet->world, leader, entry_point, true);
        const int64_t from_ms = sim_now_ms(fleet->world);
        fleet_run(fleet, COMMITTED_MS);
        assert_false(inside_request->done);
        const char *first = state_of(fleet, fleet);
        assert_string_not_equal(first, before);
        while (!inside_request->done)
            fleet_run(fleet, 5);
        const int64_t took_ms = sim_now_ms(fleet->world) - from_ms;
        print_message("%s %s?%s: %d after %lld ms, %s", row->method, row->path, row->query, inside_request->task->code,
                      (long long)took_ms, first);
        assert_int_equal(inside_request->task->code, row->code);
        assert_true(took_ms < 4000);
        if (row->code == 504)
            assert_true(inside_request->task->retry_after_s > 0);
        sim_link_cut(fleet->world, leader, entry_point, false);
        fleet_run(fleet, 3000);
        assert_string_equal(state_of(fleet, fleet), first); /* the change was applied once */
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* All controllers lose power as a job is committed, and their disks lose what they reported as synced, so that the next
 * leader has to be repaired first. Guards against an answer to the caller that the outcome is unknown, given because
 * one leader does not know it yet: the request waits for the repair. */
static void repair_awaited(void **state)
{
    (void)state;
    const Row row = {"POST", "/v1/jobs", "", JOB("one"), 201};
    Fleet *fleet = begin(71);
    for (int i = 0; i < 3; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    const InsideRequest *inside_request = send_row(fleet, &row);
    while (fleet_job(fleet, "one") == NULL)
        fleet_run(fleet, 1);
    assert_false(inside_request->done);
    const int lost = fleet_leader(fleet); /* its answer never arrives */
    sim_link_cut(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, lost)->machine,
                 fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine, true);
    for (int i = 0; i < 3; i++) {
        fleet_power_off(fleet, FLEET_CONTROLLER, i);
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, false);
    }
    fleet_run(fleet, 200);
    for (int i = 0; i < 3; i++)
        fleet_start_node(fleet, FLEET_CONTROLLER, i);
    const int64_t from_ms = sim_now_ms(fleet->world);
    while (!inside_request->done)
        fleet_run(fleet, 5);
    print_message("answered %d after %lld ms\n", inside_request->task->code,
                  (long long)(sim_now_ms(fleet->world) - from_ms));
    assert_int_equal(inside_request->task->code, row.code);
    fleet_run(fleet, 5000);
    assert_non_null(fleet_job(fleet, "one"));
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

/* Every retry rule for requests that change something is tried above. */
static void rows_tried(void **state)
{
    (void)state;
    size_t count;
    const RetryRule *routes = retry_rules(&count);
    for (size_t i = 0; i < count; i++) {
        assert_true(strlen(routes[i].reason) > 0);
        bool tried = routes[i].policy == RETRY_READ_ONLY;
        for (size_t k = 0; k < sizeof(ROWS) / sizeof(ROWS[0]) && !tried; k++)
            tried = strcmp(routes[i].method, ROWS[k].method) == 0 && ROWS[k].code != 504 &&
                    retry_policy_of(ROWS[k].method, ROWS[k].path, ROWS[k].query) == routes[i].policy &&
                    strncmp(routes[i].path, ROWS[k].path, strcspn(routes[i].path, "*")) == 0;
        if (!tried)
            fail_msg("no request here tries %s %s", routes[i].method, routes[i].path);
    }
}

/* A request that no retry rule matches is sent once. */
static void not_repeated(void **state)
{
    (void)state;
    static const struct {
        const char *method, *path, *query;
        RetryPolicy policy;
    } REQUESTS[] = {
        {"PUT", "/v1/config", "base=1", RETRY_NEVER},
        {"PUT", "/v1/config", "base=1&xrevision=2", RETRY_NEVER},
        {"PUT", "/v1/config", "base=1&revision=2", RETRY_BY_REQUEST_ID},
        {"PATCH", "/v1/config", "", RETRY_NEVER},
        {"POST", "/v1/jobsx", "", RETRY_NEVER},
        {"POST", "/v1/jobs/a/other", "", RETRY_NEVER},
        {"POST", "/v1/zones/a", "", RETRY_NEVER},
        {"POST", "/v1/zones//drain", "", RETRY_NEVER},
        {"POST", "/v1/zones/a/drain", "", RETRY_BY_STAMP},
        {"POST", "/v1/later", "", RETRY_NEVER},
        {"GET", "/v1/later", "", RETRY_READ_ONLY},
        {"DELETE", "/v1/entry/a/b", "", RETRY_BY_REQUEST_ID},
    };
    for (size_t i = 0; i < sizeof(REQUESTS) / sizeof(REQUESTS[0]); i++)
        if (retry_policy_of(REQUESTS[i].method, REQUESTS[i].path, REQUESTS[i].query) != REQUESTS[i].policy)
            fail_msg("wrong retry policy of %s %s?%s", REQUESTS[i].method, REQUESTS[i].path, REQUESTS[i].query);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(answers_lost),
        cmocka_unit_test(repair_awaited),
        cmocka_unit_test(rows_tried),
        cmocka_unit_test(not_repeated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
