/* Policies, shares and preemption on a full fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"

static Fleet *begin(const char *config)
{
    return case_configured(5, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0}, config);
}

/* Submits a job of one step with count tasks; it is accepted. */
static void submit(Fleet *fleet, const char *id, const char *cell, const char *tenant, const char *queue, int count,
                   int cpu, int run_ms)
{
    const char *body = talloc_asprintf(
        fleet,
        "{\"id\":\"%s\",\"cell\":\"%s\",\"tenant\":\"%s\",\"queue\":\"%s\",\"protection\":\"best-effort\",\"steps\":[{\"name\":"
        "\"a\",\"count\":%d,\"room\":{\"cpu\":%d,\"memMb\":64},\"payload\":{\"runMs\":%d}}]}",
        id, cell, tenant, queue, count, cpu, run_ms);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", body);
    if (call.code != 201)
        fail_msg("%s: %d %s", id, call.code, (const char *)call.response_body.data);
    checker_accepted(fleet->checker, id);
}

/* How many of the job's tasks are in the phase. */
static size_t in_phase(Fleet *fleet, const char *id, TaskPhase phase)
{
    const Job *job = fleet_job(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        count += job->tasks[t].phase == phase;
    return count;
}

/* A cell with two tenants and two queues; more: further members, each with a comma before. */
#define CELL(name, more) \
    "\"" name "\":{\"tenants\":{\"t\":{},\"u\":{}},\"queues\":{\"bulk\":{},\"urgent\":{\"priority\":5}}" more "}"

/* Without a policy, urgent tasks wait for bulk tasks; with one, they preempt them. */
static void preempts(void **state)
{
    (void)state;
    for (int with_policy = 0; with_policy < 2; with_policy++) {
        Fleet *fleet = begin(
            with_policy
                ? "{\"cells\":{" CELL(
                      "c",
                      ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) return "
                                           "t.queue_priority end function may_push(a, b) return a.queue == 'urgent' and b.queue == 'bulk' end\"}}"
                : "{\"cells\":{" CELL("c", "") "}}");
        submit(fleet, "bulk", "c", "t", "bulk", 22, 32, 15000);
        fleet_run(fleet, 2000);
        assert_int_equal(in_phase(fleet, "bulk", TASK_RUNNING), 22); /* the fleet is full */
        submit(fleet, "urgent", "c", "t", "urgent", 3, 16, 1000);
        fleet_run(fleet, 3500);
        if (with_policy)
            assert_int_equal(in_phase(fleet, "urgent", TASK_DONE) + in_phase(fleet, "urgent", TASK_RUNNING), 3);
        else
            assert_int_equal(in_phase(fleet, "urgent", TASK_WAITING), 3);
        /* two tasks of 16 cores fit where one of 32 ran: no more than two were preempted */
        assert_true(in_phase(fleet, "bulk", TASK_RUNNING) >= (with_policy ? 20 : 22));
        fleet_run(fleet, 40000);
        assert_int_equal(in_phase(fleet, "urgent", TASK_DONE), 3);
        assert_int_equal(in_phase(fleet, "bulk", TASK_DONE), 22);
        case_end(fleet);
    }
}

/* Two cells with shares 3 and 1 both ask for the entire fleet; tenants within a cell get equal parts. */
static void shares(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("big", ",\"share\":3") "," CELL("small", ",\"share\":1") "}}");
    submit(fleet, "s", "small", "t", "bulk", 400, 8, 4000);
    submit(fleet, "b1", "big", "t", "bulk", 400, 8, 4000);
    submit(fleet, "b2", "big", "u", "bulk", 200, 8, 4000);
    fleet_run(fleet, 11000); /* the tasks that started before the other jobs came have ended by now */
    const size_t small = in_phase(fleet, "s", TASK_RUNNING);
    const size_t first_tenant = in_phase(fleet, "b1", TASK_RUNNING),
                 second_tenant = in_phase(fleet, "b2", TASK_RUNNING);
    print_message("of 88 slots: small %zu, big %zu + %zu\n", small, first_tenant, second_tenant);
    assert_in_range(small + first_tenant + second_tenant, 70, 88);
    assert_in_range((first_tenant + second_tenant) * 100 / (small + 1), 220, 400);
    assert_in_range(first_tenant * 100 / (second_tenant + 1), 70, 140);
    case_end(fleet);
}

/* A policy lets small urgent tasks overtake bulk tasks that were submitted earlier. */
static void rank_within(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL(
        "c", ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) if t.queue "
                                  "== 'urgent' then return 100 - t.cpu end return t.waited_ms / 100000 end\"}}");
    submit(fleet, "bulk", "c", "t", "bulk", 300, 8, 2000);
    fleet_run(fleet, 1000);
    submit(fleet, "urgent", "c", "u", "urgent", 10, 1, 200);
    fleet_run(fleet, 2600);
    assert_int_equal(in_phase(fleet, "urgent", TASK_DONE), 10);
    assert_true(in_phase(fleet, "bulk", TASK_WAITING) > 50);
    /* a trial shows the order that another policy would give the queue, without applying it */
    submit(fleet, "later", "c", "u", "bulk", 1, 8, 200);
    HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/queue?cell=c&limit=1", NULL);
    assert_int_equal(call.code, 200);
    call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/queue/try?cell=c&limit=1",
                         "function rank(t) return t.id == 'later' and 1 or 0 end");
    assert_int_equal(call.code, 200);
    assert_non_null(strstr((const char *)call.response_body.data, "\"order\":[{\"job\":\"later\""));
    assert_int_equal(
        fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/queue/try?cell=c", "function rank(").code, 422);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/queue?cell=none", NULL).code, 422);
    for (int role = FLEET_CONTROLLER; role <= FLEET_AGENT; role++) {
        call = fleet_request(fleet, fleet, (FleetRole)role, 0, "GET", "/metrics", NULL);
        assert_int_equal(call.code, 200);
        assert_non_null(strstr((const char *)call.response_body.data, "\nspancart_bad_frames 0\n"));
    }
    case_end(fleet);
}

/* A policy fails on some tasks only: the failures are counted and reported, and all tasks are run. */
static void failing(void **state)
{
    (void)state;
    Fleet *fleet =
        begin("{\"cells\":{" CELL("c", ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) if t.tenant == "
                                                            "'u' then while true do end end return 1 end\"}}");
    submit(fleet, "x", "c", "u", "bulk", 5, 1, 500);
    submit(fleet, "y", "c", "t", "bulk", 5, 1, 500);
    fleet_run(fleet, 4000);
    assert_int_equal(in_phase(fleet, "x", TASK_DONE), 5);
    assert_int_equal(in_phase(fleet, "y", TASK_DONE), 5);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/status", NULL);
    assert_null(strstr((const char *)call.response_body.data, "\"policyFailures\":0"));
    assert_non_null(strstr((const char *)call.response_body.data, "more than"));
    const HttpCall bad = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1",
                                       "{\"policies\":{\"q\":\"function rank(t)\\n while true do end\\nend\"}}");
    assert_int_equal(bad.code, 422);
    assert_non_null(strstr((const char *)bad.response_body.data, "policies.q"));
    assert_non_null(strstr((const char *)bad.response_body.data, ":2: more than"));
    case_end(fleet);
}

/* Small tasks are submitted without end, and some end all the time. A task that needs an entire worker starts all the
 * same, since a worker is reserved for it; for a gang of two such tasks, two workers are reserved. */
static void big_among_small(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    char id[32];
    int64_t started_ms = 0, both_ms = 0;
    const int64_t from_ms = sim_now_ms(fleet->world);
    for (int i = 0; i < 120 && both_ms == 0; i++) {
        snprintf(id, sizeof(id), "small%d", i);
        submit(fleet, id, "c", "t", "bulk", 44, 4, 3000 + i % 7 * 200);
        if (i == 8)
            submit(fleet, "big", "c", "u", "bulk", 1, 64, 1000);
        if (i == 40) {
            const HttpCall call = fleet_request(
                fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs",
                "{\"id\":\"gang\",\"cell\":\"c\",\"tenant\":\"u\",\"queue\":\"bulk\",\"steps\":[{\"name\":\"g\",\"gang\":true,"
                "\"count\":2,\"room\":{\"cpu\":60,\"memMb\":64},\"payload\":{\"runMs\":1000}}]}");
            assert_int_equal(call.code, 201);
        }
        fleet_run(fleet, 900);
        const Job *big = fleet_job(fleet, "big"), *gang = fleet_job(fleet, "gang");
        if (started_ms == 0 && big != NULL && big->tasks[0].started_ms != 0)
            started_ms = sim_now_ms(fleet->world) - from_ms;
        if (gang != NULL && gang->tasks[0].started_ms != 0 && gang->tasks[1].started_ms != 0)
            both_ms = sim_now_ms(fleet->world) - from_ms;
    }
    print_message("big started after %lld ms, the gang after %lld ms\n", (long long)started_ms, (long long)both_ms);
    assert_true(started_ms > 0 && started_ms < 40000);
    assert_true(both_ms > 0);
    case_end(fleet);
}

/* A worker runs the same steps five times as slowly as the others and reports itself healthy. It gets less than a tenth
 * of the starts of each other worker; it would get a third if only its lack of free capacity counted against it. */
static void slow_worker(void **state)
{
    (void)state;
    Fleet *fleet = begin(mix_config(MIX_TRENTVALE));
    FleetNode *worker = fleet_node(fleet, FLEET_WORKER, 0);
    worker->worker_settings.slowdown_factor = 5;
    stand_worker_set_slowdown(worker->worker, 5);
    fleet_submit_jobs(fleet, "c", 15000, 60000);
    fleet_run(fleet, 60000);
    const size_t slow = checker_starts_on(fleet->checker, "worker1"), all = checker_starts(fleet->checker);
    print_message("starts on the slow worker: %zu, on each other worker: %zu\n", slow, (all - slow) / 10);
    assert_true(slow * 10 < (all - slow) / 10);
    case_end(fleet);
}

/* When a zone is drained with move=1, the attempts that run there are stopped and restarted elsewhere, one at a time;
 * without it, they run there until they end. */
static void moved(void **state)
{
    (void)state;
    for (int move = 0; move < 2; move++) {
        Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
        submit(fleet, "long", "c", "t", "bulk", 11, 4, 60000);
        fleet_run(fleet, 2000);
        assert_int_equal(in_phase(fleet, "long", TASK_RUNNING), 11);
        assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "POST",
                                       move ? "/v1/zones/west/drain?move=1" : "/v1/zones/west/drain", NULL)
                             .code,
                         200);
        assert_int_equal(
            fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "POST", "/v1/zones/west/drain?move=2", NULL).code, 422);
        checker_zone_drained(fleet->checker, "west", true);
        fleet_run(fleet, 12000);
        const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/zones/west/drain", NULL);
        assert_non_null(strstr((const char *)call.response_body.data, move ? "\"tasksLeft\":0" : "\"tasksLeft\":3"));
        assert_int_equal(in_phase(fleet, "long", TASK_RUNNING), 11);
        case_end(fleet);
    }
}

/* An alert is in the list and in the metrics as long as an operator has something to do; the flight recorder can be
 * read from every process. */
static void alerts(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/alerts", NULL);
    assert_string_equal((const char *)call.response_body.data, "[]\n");
    submit(fleet, "work", "c", "t", "bulk", 11, 4, 30000);
    fleet_run(fleet, 1000);
    fleet_kill(fleet, FLEET_WORKER, 1);
    fleet_kill(fleet, FLEET_AGENT, 2);
    const int second = (fleet_leader(fleet) + 1) % 3;
    fleet_kill(fleet, FLEET_CONTROLLER, second);
    fleet_run(fleet, 6000);
    call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/alerts", NULL);
    const char *lost =
        strstr((const char *)call.response_body.data, "{\"alert\":\"worker-lost\",\"subject\":\"worker2\"");
    assert_non_null(lost);
    /* the worker was killed, and its agent runs on */
    assert_non_null(strstr(lost, "\"todo\":\"its agent lives and does not hear it: look at the worker's process\""));
    assert_non_null(strstr((const char *)call.response_body.data, "{\"alert\":\"seat-out\",\"subject\":\"core"));
    assert_non_null(strstr((const char *)call.response_body.data, "{\"alert\":\"losses-few\",\"subject\":\"0 of 1\""));
    lost = strstr((const char *)call.response_body.data, "{\"alert\":\"worker-lost\",\"subject\":\"worker3\"");
    assert_non_null(lost);
    assert_non_null(strstr(lost, "\"todo\":\"its agent's lease has lapsed: look at the machine and its agent\""));
    call = fleet_request(fleet, fleet, FLEET_CONTROLLER, fleet_leader(fleet), "GET", "/metrics", NULL);
    assert_non_null(strstr((const char *)call.response_body.data, "\nspancart_alert_worker_lost 2\n"));
    for (int role = FLEET_CONTROLLER; role <= FLEET_AGENT; role++) {
        call = fleet_request(fleet, fleet, (FleetRole)role, role == FLEET_CONTROLLER ? fleet_leader(fleet) : 0, "GET",
                             "/v1/ring", NULL);
        assert_int_equal(call.code, 200);
        assert_true(role != FLEET_CONTROLLER ||
                    strstr((const char *)call.response_body.data,
                           " alert voter-out commits wait no longer for the voter: ") != NULL);
    }
    fleet_start_node(fleet, FLEET_WORKER, 1);
    fleet_start_node(fleet, FLEET_AGENT, 2);
    fleet_start_node(fleet, FLEET_CONTROLLER, second);
    fleet_run(fleet, 8000);
    call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/alerts", NULL);
    assert_string_equal((const char *)call.response_body.data, "[]\n");
    case_end(fleet);
}

/* Among workers with equal free capacity, the tasks of a job are spread over racks and zones. */
static void spreads(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    submit(fleet, "three", "c", "t", "bulk", 3, 2, 5000);
    fleet_run(fleet, 1500);
    const Job *job = fleet_job(fleet, "three");
    const Worker *workers[3];
    const Table *table = controller_table(fleet_node(fleet, FLEET_CONTROLLER, fleet_leader(fleet))->controller);
    for (int i = 0; i < 3; i++)
        workers[i] = table_worker(table, job->tasks[i].worker);
    for (int i = 0; i < 3; i++)
        for (int k = 0; k < i; k++) {
            assert_string_not_equal(workers[i]->zone, workers[k]->zone);
            assert_string_not_equal(workers[i]->rack, workers[k]->rack);
        }
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(preempts),    cmocka_unit_test(shares),          cmocka_unit_test(rank_within),
        cmocka_unit_test(failing),     cmocka_unit_test(big_among_small), cmocka_unit_test(spreads),
        cmocka_unit_test(slow_worker), cmocka_unit_test(moved),           cmocka_unit_test(alerts),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
