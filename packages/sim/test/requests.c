/* Requests of callers, workers and operators: valid, malformed, repeated and concurrent ones. */
#include <stdio.h>

#include "job_fixture.h"

/* Jobs that are refused: the HTTP code, the status, and a text that the answer must hold. */
static const struct {
    const char *body;
    int code;
    const char *status, *path;
} BAD_JOBS[] = {
    {"", 400, "bad-json", ""},
    {"{", 400, "bad-json", ""},
    {"[]", 422, "bad-field", ""},
    {"{} x", 400, "bad-json", ""},
    {"{\"id\":\"\xff\"}", 400, "bad-json", ""},
    {"[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]", 400, "bad-json", ""},
    {"{}", 422, "bad-field", "\"id\""},
    {JOB("x", ",\"speed\":1"), 422, "bad-field", "\"speed\""},
    {JOB("", ""), 422, "bad-field", "\"id\""},
    {JOB("a b", ""), 422, "bad-field", "\"id\""},
    {JOB("../x", ""), 422, "bad-field", "\"id\""},
    {JOB("x", ",\"priority\":\"high\""), 422, "bad-field", "\"priority\""},
    {JOB("x", ",\"priority\":1e99"), 422, "bad-field", "\"priority\""},
    {JOB("x", ",\"priority\":99999999999999999999999"), 422, "bad-field", "\"priority\""},
    {JOB("x", ",\"rounds\":-1"), 422, "bad-field", "\"rounds\""},
    {JOB("x", ",\"rounds\":0"), 422, "bad-field", "\"rounds\""},
    {JOB("x", ",\"protection\":\"much\""), 422, "bad-field", "\"protection\""},
    {JOB("x", ",\"copies\":1"), 422, "bad-field", "\"copies\""},
    {JOB("x", ",\"delayMs\":-5"), 422, "bad-field", "\"delayMs\""},
    {JOB("x", ",\"turns\":-1"), 422, "bad-field", "\"turns\""},
    {JOB("x", ",\"turns\":10001"), 422, "bad-field", "\"turns\""},
    {JOB("x", ",\"lasting\":1"), 422, "bad-field", "\"lasting\""},
    {JOB("x", ",\"periodMs\":-1"), 422, "bad-field", "\"periodMs\""},
    {JOB("x", ",\"firstWallMs\":0.5"), 422, "bad-field", "\"firstWallMs\""},
    {STEPS("x", ""), 422, "bad-field", "\"steps\""},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"estMs\":-1}"), 422, "bad-field", "steps[0].estMs"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"apart\":-1}"), 422, "bad-field", "steps[0].apart"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"near\":\"a b\"}"), 422, "bad-field", "steps[0].near"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"saves\":\"\"}"), 422, "bad-field", "steps[0].saves"},
    {STEPS("x", "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":1,\"gpu\":-1}}"), 422, "bad-field", "steps[0].room.gpu"},
    {STEPS("x", "1"), 422, "bad-field", "steps[0]"},
    {STEPS("x", "{\"name\":\"a\"}"), 422, "bad-field", "steps[0].room"},
    {STEPS("x", "{\"name\":\"a\",\"room\":{\"cpu\":-1,\"memMb\":1}}"), 422, "bad-field", "steps[0].room.cpu"},
    {STEPS("x", "{\"name\":\"a\",\"room\":{\"cpu\":1e300,\"memMb\":1}}"), 422, "bad-field", "steps[0].room.cpu"},
    {STEPS("x", "{\"name\":\"a\",\"room\":{\"cpu\":0,\"memMb\":0}}"), 422, "bad-field", "steps[0].room"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"count\":0}"), 422, "bad-field", "steps[0].count"},
    {"{\"id\":\"x\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"turns\":5000,\"steps\":["
     "{\"name\":\"a\"," RESOURCES ",\"count\":3}]}",
     413, "too-large", "steps"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES ",\"count\":10001}"), 422, "bad-field", "steps[0].count"},
    {STEPS("x", "{\"name\":\"a\"," RESOURCES "},{\"name\":\"a\"," RESOURCES "}"), 422, "bad-field", "steps[1].name"},
    {STEPS("x", "{\"name\":\"a\",\"after\":[\"b\"]," RESOURCES "}"), 422, "bad-field", "steps[0].after[0]"},
    {STEPS("x", "{\"name\":\"a\",\"after\":[\"a\"]," RESOURCES "}"), 422, "cyclic-steps", "steps"},
    {STEPS("x", "{\"name\":\"a\",\"after\":[\"b\"]," RESOURCES "},{\"name\":\"b\",\"after\":[\"a\"]," RESOURCES "}"),
     422, "cyclic-steps", "steps"},
    {STEPS("x", "{\"name\":\"a\",\"room\":{\"cpu\":65,\"memMb\":1}}"), 422, "impossible-room", "steps[0].room"},
    {STEPS("x", "{\"name\":\"a\",\"kind\":\"gpu\"," RESOURCES "}"), 422, "impossible-kind", "steps[0].kind"},
    {STEPS("x", "{\"name\":\"a\",\"labels\":[\"ssd\"]," RESOURCES "}"), 422, "impossible-kind", "steps[0].kind"},
    {STEPS("x", "{\"name\":\"a\",\"gang\":true,\"count\":12,\"room\":{\"cpu\":64,\"memMb\":1}}"), 422,
     "impossible-room", "steps[0].count"},
    {"{\"id\":\"x\",\"cell\":\"nowhere\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[{\"name\":\"a\"," RESOURCES
     "}]}",
     422, "unknown-cell", "cell"},
    {"{\"id\":\"x\",\"cell\":\"imagery\",\"tenant\":\"nobody\",\"queue\":\"sweeps\",\"steps\":[{\"name\":\"a\"," RESOURCES
     "}]}",
     422, "unknown-tenant", "tenant"},
    {"{\"id\":\"x\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"none\",\"steps\":[{\"name\":\"a\"," RESOURCES
     "}]}",
     422, "unknown-queue", "queue"},
};

static void bad_jobs(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    for (size_t i = 0; i < sizeof(BAD_JOBS) / sizeof(BAD_JOBS[0]); i++) {
        const char *text;
        const int code = ask(fleet, "POST", "/v1/jobs", BAD_JOBS[i].body, &text);
        char status[64];
        snprintf(status, sizeof(status), "\"status\":\"%s\"", BAD_JOBS[i].status);
        if (code != BAD_JOBS[i].code || strstr(text, status) == NULL || strstr(text, BAD_JOBS[i].path) == NULL)
            fail_msg("row %zu (%s): %d %s", i, BAD_JOBS[i].body, code, text);
    }
    char *large = talloc_zero_array(fleet, char, JOB_BODY_MAX + 100);
    memset(large, ' ', JOB_BODY_MAX + 50);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", large, NULL), 413);
    fleet_run(fleet, 5000);
    assert_int_equal(checker_starts(fleet->checker), 0); /* no task of them was started */
    const char *text;
    assert_int_equal(ask(fleet, "GET", "/v1/jobs", NULL, &text), 200);
    assert_string_equal(text, "{\"jobs\":[]}\n");
    case_end(fleet);
}

static void bad_paths(void **state)
{
    (void)state;
    static const struct {
        const char *method, *path;
        int code;
    } ROWS[] = {
        {"GET", "/", 404},
        {"GET", "/v1/", 404},
        {"GET", "/v1/jobs/none", 404},
        {"GET", "/v1/jobs/a/b/c/d", 404},
        {"GET", "/v1/jobs/%2e%2e", 404},
        {"PUT", "/v1/jobs", 405},
        {"DELETE", "/v1/jobs/none", 404},
        {"GET", "/v1/jobs?after=-1", 422},
        {"GET", "/v1/jobs?limit=100000", 422},
        {"GET", "/v1/jobs?limit=x", 422},
        {"GET", "/v1/config?revision=99", 404},
        {"PUT", "/v1/config", 422},
        {"PUT", "/v1/config?base=x", 422},
        {"POST", "/v1/zones/nowhere/drain", 404},
    };
    Fleet *fleet = begin();
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        const char *text;
        const int code = ask(fleet, ROWS[i].method, ROWS[i].path, NULL, &text);
        if (code != ROWS[i].code || strstr(text, "\"status\":") == NULL)
            fail_msg("%s %s: %d %s", ROWS[i].method, ROWS[i].path, code, text);
    }
    case_end(fleet);
}

static void bad_reports(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    static const char *const BAD[] = {
        "",
        "[]",
        "{}",
        "{\"boot\":\"b\"}",
        "{\"boot\":\"b\",\"zone\":\"z\",\"room\":{\"cpu\":1,\"memMb\":1},\"running\":7}",
        "{\"boot\":\"b\",\"zone\":\"z\",\"room\":{\"cpu\":1,\"memMb\":1},\"running\":[{\"job\":\"j\",\"task\":-1,\"round\":1}]}",
        "{\"boot\":\"b\",\"zone\":\"z\",\"room\":{\"cpu\":1,\"memMb\":1},\"ended\":[{\"job\":\"j\",\"task\":1,\"round\":1,\"word\":\"running\"}]}",
    };
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        const HttpCall call = fleet_request(fleet, fleet, FLEET_AGENT, 0, "POST", "/v1/workers/worker1/report", BAD[i]);
        if (call.code < 400 || call.code >= 500)
            fail_msg("%s: %d", BAD[i], call.code);
    }
    static const char GOOD[] = "{\"boot\":\"other\",\"zone\":\"z\",\"room\":{\"cpu\":1,\"memMb\":1}}";
    /* a second process with the same name, while the first one's lease runs */
    fleet_run(fleet, 2000);
    HttpCall call = fleet_request(fleet, fleet, FLEET_AGENT, 0, "POST", "/v1/workers/worker1/report", GOOD);
    if (call.code != 409)
        fail_msg("%d %s", call.code, (const char *)call.response_body.data);
    call = fleet_request(fleet, fleet, FLEET_AGENT, 0, "POST", "/v1/workers/worker2/report", GOOD);
    assert_int_equal(call.code, 404);
    fleet_run(fleet, 2000);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_AGENT, 0, "GET", "/readyz", NULL).code, 200);
    case_end(fleet);
}

/* The same job submitted at several entry points at the same time is accepted once; the same id with another body is
 * refused. */
static void twice_at_once(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    CallerSettings settings = {
        .name = "same", .mix = MIX_TRENTVALE, .rate_milli = 10000, .submission_ms = 3000, .entry_count = 1};
    for (int i = 0; i < 3; i++) {
        settings.entries[0] = fleet_node(fleet, FLEET_ENTRY_POINT, i)->settings.http;
        Caller *caller = caller_start(loop, loop, &settings);
        fleet->callers[fleet->caller_count++] = caller;
    }
    fleet_run(fleet, 20000);
    const char *text;
    assert_int_equal(ask(fleet, "GET", "/v1/jobs?limit=1000", NULL, &text), 200);
    /* the three callers submit different jobs under the same ids: each id is one job */
    for (int i = 0; i < fleet->caller_count; i++) {
        CallerJob *const *jobs;
        const size_t count = caller_jobs(fleet->callers[i], &jobs);
        assert_int_equal(count, 30);
        for (size_t k = 0; k < count; k++) {
            const char *first = strstr(text, talloc_asprintf(fleet, "\"id\":\"%s\"", jobs[k]->id));
            assert_non_null(first);
            assert_null(strstr(first + 1, talloc_asprintf(fleet, "\"id\":\"%s\"", jobs[k]->id)));
            assert_string_equal(jobs[k]->phase, "done");
        }
    }
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("one", ""), &text), 201);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("one", ""), &text), 200);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("one", ",\"priority\":1"), &text), 409);
    assert_non_null(strstr(text, "other-body"));
    case_end(fleet);
}

static void config_races(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    assert_int_equal(ask(fleet, "PUT", "/v1/config?base=0", mix_config(MIX_TRENTVALE), &text), 409);
    assert_non_null(strstr(text, "\"current\":1"));
    assert_int_equal(
        ask(fleet, "PATCH", "/v1/config?base=1", "{\"r\":2,\"cells\":{\"spare\":{\"tenants\":{\"t\":{}}}}}", &text),
        200);
    assert_int_equal(ask(fleet, "PATCH", "/v1/config?base=1", "{\"r\":3}", &text), 409);
    assert_int_equal(ask(fleet, "PATCH", "/v1/config?base=2", "{\"cells\":{\"spare\":null}}", &text), 200);
    assert_int_equal(ask(fleet, "GET", "/v1/config", NULL, &text), 200);
    assert_non_null(strstr(text, "\"revision\":3"));
    assert_null(strstr(text, "spare"));
    assert_non_null(strstr(text, "\"r\":2"));
    assert_int_equal(ask(fleet, "GET", "/v1/config?revision=2", NULL, &text), 200);
    assert_non_null(strstr(text, "spare"));
    static const struct {
        const char *body, *path;
    } BAD[] = {
        {"{\"r\":9}", "\"r\""},
        {"{\"r\":\"1\"}", "\"r\""},
        {"{\"x\":1}", "\"x\""},
        {"{\"cells\":{\"a b\":{}}}", "cells.a b"},
        {"{\"cells\":{\"c\":{\"share\":0}}}", "cells.c.share"},
        {"{\"cells\":{\"c\":{\"policy\":\"none\"}}}", "cells.c.policy"},
        {"{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"quota\":{\"cpu\":-1,\"memMb\":1}}}}}}",
         "cells.c.tenants.t.quota.cpu"},
        {"{\"policies\":{\"p\":7}}", "policies.p"},
    };
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        const int code = ask(fleet, "PATCH", "/v1/config?base=3", BAD[i].body, &text);
        if (code != 422 || strstr(text, BAD[i].path) == NULL)
            fail_msg("%s: %d %s", BAD[i].body, code, text);
    }
    /* refused changes had no effect, and the loss of the leader loses no version */
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 6000);
    assert_int_equal(ask(fleet, "GET", "/v1/config", NULL, &text), 200);
    assert_non_null(strstr(text, "\"revision\":3"));
    case_end(fleet);
}

/* The trace of a change shows its way through all nodes, and names a node that is down as silent. */
static void traced(void **state)
{
    (void)state;
    Fleet *fleet = begin();
    const char *text;
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", JOB("seen", ""), &text), 201);
    fleet_run(fleet, 3000);
    fleet_kill(fleet, FLEET_ENTRY_POINT, 2);
    assert_int_equal(ask(fleet, "GET", "/v1/trace?key=job:seen", NULL, &text), 200);
    static const char *const TRACE_STEPS[] = {"carried", "delivered", "fetched", "given", "runs", "over", "known"};
    const char *at = text;
    for (size_t i = 0; i < sizeof(TRACE_STEPS) / sizeof(TRACE_STEPS[0]); i++) {
        char step[32];
        snprintf(step, sizeof(step), "\"step\":\"%s\"", TRACE_STEPS[i]);
        /* the order of the first two varies: entry point and controller record them within one round trip */
        if ((at = strstr(i > 1 ? at : text, step)) == NULL)
            fail_msg("step %s is missing or out of order: %s", TRACE_STEPS[i], text);
    }
    for (int i = 1; i <= 3; i++) {
        char node[32];
        snprintf(node, sizeof(node), "\"node\":\"core%d\"", i);
        assert_non_null(strstr(text, node));
    }
    assert_non_null(strstr(text, "\"silent\":[\"gate3\"]"));
    assert_int_equal(ask(fleet, "GET", "/v1/trace?key=config:1", NULL, &text), 200);
    assert_non_null(strstr(text, "learnt"));
    assert_int_equal(ask(fleet, "GET", "/v1/trace", NULL, &text), 422);
    assert_int_equal(ask(fleet, "POST", "/v1/trace?key=job:x", NULL, &text), 405);
    assert_int_equal(ask(fleet, "GET", "/v1/trace?key=job:none", NULL, &text), 200);
    case_end(fleet);
}

/* The leader freezes while requests are on their way to it. Guards against callers waiting for a long time-out: a
 * request with an id is sent to the new leader, a configuration change without one gets 504 as soon as a newer term is
 * heard of, and a read gets its answer. */
static void leader_freezes(void **state)
{
    (void)state;
    static const char JOB[] =
        "{\"id\":\"on-the-way\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":["
        "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":64}}]}";
    static const struct {
        const char *method, *path, *body;
        int code;
    } REQUESTS[] = {{"POST", "/v1/jobs", JOB, 201},
                    {"PATCH", "/v1/config?base=1", "{\"r\":0}", 504},
                    {"GET", "/v1/config", NULL, 200}};
    for (size_t i = 0; i < sizeof(REQUESTS) / sizeof(REQUESTS[0]); i++) {
        Fleet *fleet = case_begin(3 + i, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
        fleet_run(fleet, 1000);
        fleet_freeze(fleet, FLEET_CONTROLLER, fleet_leader(fleet), 9000);
        const int64_t from_ms = sim_now_ms(fleet->world);
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, REQUESTS[i].method, REQUESTS[i].path, REQUESTS[i].body);
        const int64_t took_ms = sim_now_ms(fleet->world) - from_ms;
        print_message("%s %s: %d after %lld ms %.*s\n", REQUESTS[i].method, REQUESTS[i].path, call.code,
                      (long long)took_ms, call.code >= 400 ? 120 : 0, (const char *)call.response_body.data);
        if (call.code == 503) /* all routes were tried before a new leader was heard of */
            assert_true(call.retry_after_s > 0 && REQUESTS[i].code != 504);
        else
            assert_int_equal(call.code, REQUESTS[i].code);
        assert_true(took_ms < 5000);
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

/* While a zone is cut off, /readyz is 503 in that zone and 200 in the others. */
static void ready_in_a_cut(void **state)
{
    (void)state;
    Fleet *fleet = case_begin(8, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    for (int i = 0; i < 3; i++)
        assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, i, "GET", "/readyz", NULL).code, 200);
    fleet_zone_cut(fleet, "north", true);
    fleet_run(fleet, 8000);
    const HttpCall cut = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/readyz", NULL);
    assert_int_equal(cut.code, 503);
    assert_true(cut.retry_after_s > 0);
    assert_int_not_equal(fleet_request(fleet, fleet, FLEET_CONTROLLER, 0, "GET", "/readyz", NULL).code, 200);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "GET", "/readyz", NULL).code, 200);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 2, "GET", "/readyz", NULL).code, 200);
    fleet_zone_cut(fleet, "north", false);
    fleet_run(fleet, 5000);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/readyz", NULL).code, 200);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(bad_jobs),       cmocka_unit_test(bad_paths),      cmocka_unit_test(bad_reports),
        cmocka_unit_test(twice_at_once),  cmocka_unit_test(config_races),   cmocka_unit_test(traced),
        cmocka_unit_test(leader_freezes), cmocka_unit_test(ready_in_a_cut),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
