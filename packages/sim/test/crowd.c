/* Overload: start delays of urgent jobs alone and while bulk jobs and jobs that no worker can run are submitted as
 * well, and many concurrent configuration changes while the leader is killed. Virtual time makes the figures
 * reproducible. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

/* Comparison function of qsort() for int64_t. */
static int compare_spans(const void *a, const void *b)
{
    const int64_t one = *(const int64_t *)a, other = *(const int64_t *)b;
    return one < other ? -1 : one > other;
}

/* Median and 99th percentile of the time from acceptance to start of urgent jobs, in ms of the log's time. */
static void urgent_spans(const Fleet *fleet, const char *name, int64_t *p50, int64_t *p99)
{
    int64_t spans[4000];
    size_t count = 0;
    for (int i = 0; i < 4000; i++) {
        const Job *job = fleet_job(fleet, talloc_asprintf((void *)(uintptr_t)fleet, "%s-urgent-%d", name, i));
        if (job == NULL)
            continue;
        assert_true(job->tasks[0].started_ms > 0);
        spans[count++] = job->tasks[0].started_ms - job->accepted_ms;
    }
    assert_true(count > 100);
    qsort(spans, count, sizeof(*spans), compare_spans);
    *p50 = spans[count / 2];
    *p99 = spans[count * 99 / 100];
}

static Fleet *begin(Mix mix)
{
    return case_begin(21, (FleetShape){3, 3, 11, mix, 0});
}

/* The background load, and how many of its jobs got which response. */
typedef struct Pouring {
    Fleet *fleet;
    bool stop;
    size_t refused;            /* invalid: no worker can run them */
    size_t accepted;           /* 201 */
    size_t retry_later, other; /* retry_later: 503 with Retry-After */
} Pouring;

/* The task of the background load: each second about fifty jobs that no worker can run and five bulk jobs, from the
 * same machine as the urgent ones. */
static void background_load_main(void *arg)
{
    Pouring *load = arg;
    Fleet *fleet = load->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    const bool trentvale = fleet->shape.mix == MIX_TRENTVALE;
    for (int i = 0; !load->stop; i++) {
        void *mem = talloc_new(loop);
        const bool bulk = i % 11 == 0;
        HttpCall call = {.mem = mem,
                         .address = fleet_node(fleet, FLEET_ENTRY_POINT, i % 3)->settings.http,
                         .method = "POST",
                         .path = "/v1/jobs",
                         .wait_ms = 5000};
        const char *body = talloc_asprintf(
            mem,
            "{\"id\":\"%s%d\",\"cell\":\"%s\",\"tenant\":\"%s\",\"queue\":\"%s\",\"protection\":\"none\",\"steps\":[{\"name\":\"a\","
            "\"count\":%d,\"kind\":\"%s\",\"room\":{\"cpu\":2,\"memMb\":1024},\"payload\":{\"runMs\":3000}}]}",
            bulk ? "bulk" : "never", i, trentvale ? "imagery" : "registry", trentvale ? "planners" : "backend",
            trentvale ? "rebuilds" : "reindex", bulk ? (trentvale ? 100 : 25) : 1, bulk ? "std" : "gpu");
        bytes_add(mem, &call.body, body, strlen(body));
        const Status status = loop_call(loop, &call);
        if (status == STATUS_OK && call.code == 201)
            load->accepted++;
        else if (status == STATUS_OK && call.code == 422)
            load->refused++;
        else if (status == STATUS_OK && call.code == 503 && call.retry_after_s > 0)
            load->retry_later++;
        else
            load->other++;
        talloc_free(mem);
        loop_sleep(loop, 18);
    }
}

/* Guards against background load delaying urgent jobs: measures their start delays without it and with it. */
static void assert_urgent_not_delayed(Mix mix)
{
    int64_t p50[2], p99[2];
    for (int with_load = 0; with_load < 2; with_load++) {
        Fleet *fleet = begin(mix);
        Pouring *load = talloc_zero(fleet, Pouring);
        load->fleet = fleet;
        if (with_load)
            loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "background-load", background_load_main, load);
        fleet_run(fleet, with_load ? 15000 : 1000); /* with the background load the fleet is full by then */
        fleet_submit_jobs(fleet, "u", 10000, 30000);
        fleet_run(fleet, 40000);
        load->stop = true;
        if (with_load) {
            print_message("%s: background load: %zu accepted, %zu refused, %zu told to retry later, %zu other; ",
                          mix_word(mix), load->accepted, load->refused, load->retry_later, load->other);
            assert_true(load->refused > 1000 && load->accepted > 50);
            assert_int_equal(load->other, 0);
        }
        fleet_run(fleet, 60000);
        urgent_spans(fleet, "u", &p50[with_load], &p99[with_load]);
        if (checker_violations_total(fleet->checker) > 0)
            fail_msg("%s", checker_first_violation(fleet->checker));
        talloc_free(fleet);
    }
    print_message("urgent jobs alone: p50 %d ms, p99 %d ms; under load: %d and %d ms\n", (int)p50[0], (int)p99[0],
                  (int)p50[1], (int)p99[1]);
    /* while several hundred tasks of 3 s run, capacity frees up soon, and urgent jobs take it first */
    assert_true(p50[1] < p50[0] + 100);
    assert_true(p99[1] < p99[0] + 1000);
}

static void trentvale(void **state)
{
    (void)state;
    assert_urgent_not_delayed(MIX_TRENTVALE);
}

static void atlas(void **state)
{
    (void)state;
    assert_urgent_not_delayed(MIX_ATLAS);
}

/* --- requests at once ------------------------------------------------------------------- */

enum { AT_ONCE = LEADER_REQUESTS_MAX + 300 };

/* Callers that submit a job each at the same moment, and the status codes that they got. */
typedef struct Flood {
    Fleet *fleet;
    int next;
    size_t answered;
    int codes[AT_ONCE];
} Flood;

static HttpCall flood_call(Flood *flood, void *mem, const char *method, const char *path, const char *body)
{
    HttpCall call = {.mem = mem,
                     .address = fleet_node(flood->fleet, FLEET_ENTRY_POINT, flood->next % 3)->settings.http,
                     .method = method,
                     .path = path,
                     .wait_ms = 10000};
    bytes_add(mem, &call.body, body, strlen(body));
    return call;
}

static void flood_main(void *arg)
{
    Flood *flood = arg;
    Loop *loop = sim_loop(flood->fleet->world, flood->fleet->caller_machine);
    void *mem = talloc_new(loop);
    const int number = flood->next++;
    const char *body =
        talloc_asprintf(mem,
                        "{\"id\":\"f%d\",\"cell\":\"imagery\",\"tenant\":\"planners\",\"queue\":"
                        "\"rebuilds\",\"protection\":\"none\",\"steps\":[{\"name\":\"a\",\"count\":1,"
                        "\"kind\":\"std\",\"room\":{\"cpu\":1,\"memMb\":100},\"payload\":{\"runMs\":100}}]}",
                        number);
    HttpCall call = flood_call(flood, mem, "POST", "/v1/jobs", body);
    if (loop_call(loop, &call) == STATUS_OK)
        flood->codes[number] = call.code;
    if (call.code == 503)
        assert_true(call.retry_after_s > 0);
    flood->answered++;
    talloc_free(mem);
}

/* Guards against a leader that holds any number of requests, which all entry points forward to it: what exceeds the
 * bound is refused, and was not taken; the status is answered meanwhile. */
static void requests_at_once(void **state)
{
    (void)state;
    Fleet *fleet = begin(MIX_TRENTVALE);
    Flood *flood = talloc_zero(fleet, Flood);
    flood->fleet = fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    for (int i = 0; i < AT_ONCE; i++)
        loop_spawn(loop, "flood", flood_main, flood);
    fleet_run(fleet, 1);
    const HttpCall status = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/status", "");
    assert_int_equal(status.code, 200);
    fleet_run(fleet, 10000);
    assert_int_equal(flood->answered, AT_ONCE);
    size_t refused = 0;
    for (int i = 0; i < AT_ONCE; i++) {
        const Job *job = fleet_job(fleet, talloc_asprintf(flood, "f%d", i));
        assert_true(flood->codes[i] == 201 || flood->codes[i] == 503);
        assert_int_equal(job != NULL, flood->codes[i] == 201);
        refused += flood->codes[i] == 503;
    }
    assert_true(refused > 0 && refused <= AT_ONCE - LEADER_REQUESTS_MAX + 1);
    case_end(fleet);
}

/* --- configurations ------------------------------------------------------------------- */

/* An operator, and the versions that were acknowledged to it. */
typedef struct Operator {
    Fleet *fleet;
    int number;
    uint64_t acknowledged[200];
    size_t count; /* of acknowledged */
    size_t stale; /* changes that were refused because their base was no longer in force */
    bool done;
} Operator;

/* The task of an operator: sends patches based on the version that it last saw, always to the same entry point. */
static void operator_main(void *arg)
{
    Operator *operator= arg;
    Fleet *fleet = operator->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    uint64_t base = 1;
    for (int i = 0; i < 60; i++) {
        void *mem = talloc_new(loop);
        HttpCall call = {.mem = mem,
                         .address = fleet_node(fleet, FLEET_ENTRY_POINT, operator->number % 3)->settings.http,
                         .method = "PATCH",
                         .path = talloc_asprintf(mem, "/v1/config?base=%llu", (unsigned long long)base),
                         .wait_ms = 4000};
        const char *body = talloc_asprintf(mem, "{\"cells\":{\"op%d\":{\"share\":%d}}}", operator->number, i + 1);
        bytes_add(mem, &call.body, body, strlen(body));
        const Status status = loop_call(loop, &call);
        bytes_add(mem, &call.response_body, "", 1);
        const char *text = (const char *)call.response_body.data;
        const char *at = strstr(text, call.code == 409 ? "\"current\":" : "\"revision\":");
        if (status == STATUS_OK && at != NULL)
            base = strtoull(strchr(at, ':') + 1, NULL, 10);
        if (status == STATUS_OK && call.code == 200 && operator->count<200)
            operator->acknowledged[operator->count++] = base;
        operator->stale += status == STATUS_OK && call.code == 409;
        talloc_free(mem);
        loop_sleep(loop, 100 + (int64_t)(loop_random(loop) % 100));
    }
    operator->done = true;
}

/* Five operators patch the configuration at the same time while the leader is killed: no version may be acknowledged
 * twice, and each acknowledged change must be in the history. */
static void config_storm(void **state)
{
    (void)state;
    Fleet *fleet = begin(MIX_ATLAS);
    Operator *operators = talloc_zero_array(fleet, Operator, 5);
    for (int i = 0; i < 5; i++) {
        operators[i] = (Operator){.fleet = fleet, .number = i};
        loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "operator", operator_main, &operators[i]);
    }
    fleet_run(fleet, 4000);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 60000);
    size_t acknowledged = 0, stale = 0;
    uint64_t highest = 0;
    bool seen[1000] = {false};
    for (int i = 0; i < 5; i++) {
        assert_true(operators[i].done);
        acknowledged += operators[i].count;
        stale += operators[i].stale;
        for (size_t k = 0; k < operators[i].count; k++) {
            const uint64_t version = operators[i].acknowledged[k];
            assert_true(version < 1000);
            assert_false(seen[version]); /* no version is acknowledged twice */
            seen[version] = true;
            highest = version > highest ? version : highest;
        }
    }
    print_message("%zu acknowledged, %zu refused as stale\n", acknowledged, stale);
    assert_true(acknowledged > 30 && stale > 20);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "GET", "/v1/config", NULL);
    assert_true(strtoull((const char *)call.response_body.data + strlen("{\"revision\":"), NULL, 10) >= highest);
    /* each acknowledged change is in the history */
    for (int i = 0; i < 5; i++)
        for (size_t k = 0; k < operators[i].count; k++) {
            char path[64], cell[24];
            snprintf(path, sizeof(path), "/v1/config?revision=%llu", (unsigned long long)operators[i].acknowledged[k]);
            snprintf(cell, sizeof(cell), "\"op%d\":", i);
            const HttpCall read = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", path, NULL);
            assert_int_equal(read.code, 200);
            assert_non_null(strstr((const char *)read.response_body.data, cell));
        }
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(trentvale),
        cmocka_unit_test(atlas),
        cmocka_unit_test(config_storm),
        cmocka_unit_test(requests_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
