/* Jobs that are submitted under the host and path prefix of their queue, and adding and removing these addresses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

#define HOST "jobs.example"

/* A patch that gives two queues addresses; one prefix is part of the other. */
static const char ENTRIES[] =
    "{\"cells\":{\"imagery\":{\"queues\":{"
    "\"sweeps\":{\"entry\":{\"host\":\"" HOST
    "\",\"prefix\":\"/sweeps/\"},\"rounds\":2,\"stretch\":2.5,\"targetMs\":900},"
    "\"urgent\":{\"priority\":5,\"entry\":{\"host\":\"" HOST "\",\"prefix\":\"/sweeps/now/\"}}}}}}";

/* A job of one step that runs for run_ms. */
#define BODY(run_ms) \
    "{\"steps\":[{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":" #run_ms "}}]}"

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 6, MIX_TRENTVALE, 0});
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1", ENTRIES).code,
                     200);
    return fleet;
}

/* Sends a request with the queues' host and returns the status code. text, unless null, receives the response body. */
static int ask(Fleet *fleet, int entry_point, const char *method, const char *path, const char *body, const char **text)
{
    const HttpHeader host = {"host", HOST ":8080"};
    const HttpCall call =
        fleet_request_with_headers(fleet, fleet, FLEET_ENTRY_POINT, entry_point, method, path, body, &host, 1);
    if (text != NULL)
        *text = (const char *)call.response_body.data;
    return call.code;
}

#define ASSERT_CONTAINS(text, word)                  \
    do {                                             \
        if (strstr(text, word) == NULL)              \
            fail_msg("%s is not in %s", word, text); \
    } while (0)

/* A job from its submission to its end, read and repeated at several entry points. */
static void whole_life(void **state)
{
    (void)state;
    Fleet *fleet = begin(21);
    const char *text;
    assert_int_equal(ask(fleet, 0, "POST", "/v1/entry/sweeps/one", BODY(4000), &text), 201);
    ASSERT_CONTAINS(text, "\"phase\":\"queued\"");
    /* the job has the queue's settings */
    const Job *job = fleet_job(fleet, "one");
    assert_non_null(job);
    assert_string_equal(job->spec.queue, "sweeps");
    assert_int_equal(job->terms.attempt_limit, 2);
    assert_int_equal(job->terms.stretch_milli, 2500);
    assert_int_equal(job->terms.target_ms, 900);
    /* repeated at other entry points, with ?host= and under the longer prefix, it is still one job */
    assert_int_equal(ask(fleet, 1, "POST", "/v1/entry/sweeps/one", BODY(4000), NULL), 200);
    assert_int_equal(ask(fleet, 2, "POST", "/v1/entry/sweeps/now/one", BODY(4000), NULL), 200);
    assert_int_equal(
        fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "POST", "/v1/entry/sweeps/one?host=" HOST, BODY(4000)).code,
        200);
    assert_int_equal(ask(fleet, 0, "POST", "/v1/entry/sweeps/one", BODY(4001), NULL), 409);
    assert_int_equal(ask(fleet, 0, "GET", "/v1/entry/sweeps/", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"waiting\":1");
    assert_int_equal(ask(fleet, 0, "GET", "/v1/entry/sweeps/now/", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"waiting\":0");
    fleet_run(fleet, 2000);
    assert_int_equal(ask(fleet, 2, "GET", "/v1/entry/sweeps/one", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"phase\":\"active\"");
    fleet_run(fleet, 4000);
    assert_int_equal(ask(fleet, 1, "GET", "/v1/entry/sweeps/one", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"phase\":\"done\"");
    assert_int_equal(ask(fleet, 0, "GET", "/v1/entry/sweeps/", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"waiting\":0");
    /* the cancellation of an ended job does not change it */
    assert_int_equal(ask(fleet, 0, "DELETE", "/v1/entry/sweeps/one", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"phase\":\"done\"");
    case_end(fleet);
}

static void cancelled(void **state)
{
    (void)state;
    Fleet *fleet = begin(22);
    const char *text;
    assert_int_equal(ask(fleet, 0, "POST", "/v1/entry/sweeps/now/two", BODY(60000), NULL), 201);
    assert_string_equal(fleet_job(fleet, "two")->spec.queue, "urgent");
    assert_int_equal(fleet_job(fleet, "two")->terms.priority, 5);
    fleet_run(fleet, 1500);
    assert_int_equal(ask(fleet, 1, "DELETE", "/v1/entry/sweeps/two", NULL, NULL), 200);
    fleet_run(fleet, 2000);
    assert_int_equal(ask(fleet, 2, "GET", "/v1/entry/sweeps/two", NULL, &text), 200);
    ASSERT_CONTAINS(text, "\"phase\":\"cancelled\"");
    assert_int_equal(ask(fleet, 1, "DELETE", "/v1/entry/sweeps/two", NULL, NULL), 200);
    case_end(fleet);
}

static void refused(void **state)
{
    (void)state;
    Fleet *fleet = begin(23);
    static const struct {
        const char *method, *path, *body;
        int code;
        const char *status;
    } ROWS[] = {
        {"POST", "/v1/entry/nowhere/x", BODY(1), 404, "unknown-queue"},
        {"GET", "/v1/entry/nowhere/x", NULL, 404, "unknown-queue"},
        {"GET", "/v1/entry/nowhere/", NULL, 404, "unknown-queue"},
        {"GET", "/v1/entry/sweeps", NULL, 404, "unknown-queue"},
        {"DELETE", "/v1/entry/nowhere/x", NULL, 404, "unknown-queue"},
        {"GET", "/v1/entry/sweeps/x", NULL, 410, "unknown-job"},
        {"DELETE", "/v1/entry/sweeps/x", NULL, 410, "unknown-job"},
        {"GET", "/v1/entry/sweeps/x/y", NULL, 410, "unknown-job"},
        {"POST", "/v1/entry/sweeps/x/y", BODY(1), 422, "bad-field"},
        {"POST", "/v1/entry/sweeps/", BODY(1), 405, "bad-method"},
        {"DELETE", "/v1/entry/sweeps/", NULL, 405, "bad-method"},
        {"PUT", "/v1/entry/sweeps/x", BODY(1), 405, "bad-method"},
        {"POST", "/v1/entry/sweeps/x", "{}", 422, "bad-field"},
        {"POST", "/v1/entry/sweeps/x", "[]", 400, "bad-json"},
        {"POST", "/v1/entry/sweeps/x", "", 400, "bad-json"},
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        const char *text;
        const int code = ask(fleet, (int)i % 3, ROWS[i].method, ROWS[i].path, ROWS[i].body, &text);
        if (code != ROWS[i].code || strstr(text, ROWS[i].status) == NULL)
            fail_msg("%s %s: status %d, expected %d: %s", ROWS[i].method, ROWS[i].path, code, ROWS[i].code, text);
    }
    assert_null(fleet_job(fleet, "x"));
    /* no queue has this host */
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/sweeps/x", BODY(1)).code,
                     404);
    /* the queue is full: the job is refused with Retry-After */
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=2",
                                   "{\"cells\":{\"imagery\":{\"limit\":1}}}")
                         .code,
                     200);
    const HttpHeader host = {"host", HOST};
    const HttpCall full = fleet_request_with_headers(
        fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/sweeps/x",
        "{\"steps\":[{\"name\":\"a\",\"count\":2,\"room\":{\"cpu\":1,\"memMb\":10}}]}", &host, 1);
    assert_int_equal(full.code, 503);
    assert_true(full.retry_after_s > 0);
    /* the queues' addresses are removed */
    assert_int_equal(
        fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=3",
                      "{\"cells\":{\"imagery\":{\"queues\":{\"urgent\":null,\"sweeps\":{\"entry\":null}}}}}")
            .code,
        200);
    for (int entry_point = 0; entry_point < 3; entry_point++)
        assert_int_equal(ask(fleet, entry_point, "POST", "/v1/entry/sweeps/x", BODY(1), NULL), 404);
    case_end(fleet);
}

/* All disks lose what they acknowledged: until the entry points have resent it, no response may report that the job or
 * the queue does not exist. */
static void forgotten(void **state)
{
    (void)state;
    Fleet *fleet = begin(25);
    for (int i = 0; i < 3; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    assert_int_equal(ask(fleet, 0, "POST", "/v1/entry/sweeps/kept", BODY(30000), NULL), 201);
    case_power_cycle(fleet);
    int code = 0, refused = 0;
    const int64_t until_ms = sim_now_ms(fleet->world) + 12000;
    while (code != 200 && sim_now_ms(fleet->world) < until_ms) {
        code = ask(fleet, refused % 3, "GET", "/v1/entry/sweeps/kept", NULL, NULL);
        if (code != 200 && code != 503 && code != 504 && code != 0)
            fail_msg("unexpected status %d", code);
        refused += code != 200;
        fleet_run(fleet, 20);
    }
    assert_int_equal(code, 200);
    assert_true(refused > 0);
    assert_int_equal(ask(fleet, 0, "GET", "/v1/entry/sweeps/never", NULL, NULL), 410);
    case_end(fleet);
}

/* While there is no configuration, the answer to callers is to retry later. */
static void no_document(void **state)
{
    (void)state;
    Fleet *fleet = fleet_new(NULL, 24, (FleetShape){3, 3, 2, MIX_TRENTVALE, 0});
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000));
    const char *text;
    assert_int_equal(ask(fleet, 0, "POST", "/v1/entry/sweeps/x", BODY(1), &text), 503);
    ASSERT_CONTAINS(text, "no-config");
    assert_int_equal(ask(fleet, 0, "GET", "/v1/entry/sweeps/", NULL, &text), 503);
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(whole_life),  cmocka_unit_test(cancelled), cmocka_unit_test(refused),
        cmocka_unit_test(no_document), cmocka_unit_test(forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
