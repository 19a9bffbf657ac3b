/* Crowds: the urgent class alone and while large, bulk and impossible jobs pour
 * in together; storms of configurations through the leader's death. In virtual
 * time, so that the figures are the same each time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

static int order(const void *a, const void *b)
{
    const int64_t one = *(const int64_t *)a, other = *(const int64_t *)b;
    return one < other ? -1 : one > other;
}

/* p50 and p99 of accepted to started, of the urgent class, in log time. */
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
    qsort(spans, count, sizeof(*spans), order);
    *p50 = spans[count / 2];
    *p99 = spans[count * 99 / 100];
}

static Fleet *begin(Mix mix)
{
    return case_begin(21, (FleetShape){3, 3, 11, mix, 0});
}

typedef struct Pouring {
    Fleet *fleet;
    bool stop;
    size_t refused, taken, back, other;
} Pouring;

/* Fifty impossible jobs a second and five of bulk, from the same machine. */
static void pour_main(void *arg)
{
    Pouring *pouring = arg;
    Fleet *fleet = pouring->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    const bool trentvale = fleet->shape.mix == MIX_TRENTVALE;
    for (int i = 0; !pouring->stop; i++) {
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
            pouring->taken++;
        else if (status == STATUS_OK && call.code == 422)
            pouring->refused++;
        else if (status == STATUS_OK && call.code == 503 && call.retry_after_s > 0)
            pouring->back++;
        else
            pouring->other++;
        talloc_free(mem);
        loop_sleep(loop, 18);
    }
}

static void crowd_of(Mix mix)
{
    int64_t p50[2], p99[2];
    for (int with = 0; with < 2; with++) {
        Fleet *fleet = begin(mix);
        Pouring *pouring = talloc_zero(fleet, Pouring);
        pouring->fleet = fleet;
        if (with)
            loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "pour", pour_main, pouring);
        fleet_run(fleet, with ? 15000 : 1000); /* by now the fleet is full */
        fleet_submit_jobs(fleet, "u", 10000, 30000);
        fleet_run(fleet, 40000);
        pouring->stop = true;
        if (with) {
            print_message("%s: poured: %zu taken, %zu refused, %zu told to come back, %zu other; ", mix_word(mix),
                          pouring->taken, pouring->refused, pouring->back, pouring->other);
            assert_true(pouring->refused > 1000 && pouring->taken > 50);
            assert_int_equal(pouring->other, 0);
        }
        fleet_run(fleet, 60000);
        urgent_spans(fleet, "u", &p50[with], &p99[with]);
        if (checker_violations_total(fleet->checker) > 0)
            fail_msg("%s", checker_first_violation(fleet->checker));
        talloc_free(fleet);
    }
    print_message("urgent alone p50 %d p99 %d ms, in the crowd %d and %d ms\n", (int)p50[0], (int)p99[0], (int)p50[1],
                  (int)p99[1]);
    /* a place is free soon when several hundred tasks of 3 s run: urgent work takes it first */
    assert_true(p50[1] < p50[0] + 100);
    assert_true(p99[1] < p99[0] + 1000);
}

static void trentvale(void **state)
{
    (void)state;
    crowd_of(MIX_TRENTVALE);
}

static void atlas(void **state)
{
    (void)state;
    crowd_of(MIX_ATLAS);
}

/* --- configurations ------------------------------------------------------------------- */

typedef struct Operator {
    Fleet *fleet;
    int number;
    uint64_t acknowledged[200];
    size_t count, stale;
    bool done;
} Operator;

/* Patches on whatever version it last saw, at one entry point; races with the others. */
static void operate_main(void *arg)
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

static void config_storm(void **state)
{
    (void)state;
    Fleet *fleet = begin(MIX_ATLAS);
    Operator *operators = talloc_zero_array(fleet, Operator, 5);
    for (int i = 0; i < 5; i++) {
        operators[i] = (Operator){.fleet = fleet, .number = i};
        loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "operator", operate_main, &operators[i]);
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
            assert_false(seen[version]); /* no two were given the same */
            seen[version] = true;
            highest = version > highest ? version : highest;
        }
    }
    print_message("%zu acknowledged, %zu refused as stale\n", acknowledged, stale);
    assert_true(acknowledged > 30 && stale > 20);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "GET", "/v1/config", NULL);
    assert_true(strtoull((const char *)call.response_body.data + strlen("{\"revision\":"), NULL, 10) >= highest);
    /* each acknowledged one is in the history as it was sent */
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
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
