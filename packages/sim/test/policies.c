/* Policies, shares and pushing aside on a fleet that is full. */
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

static void inside_request_send(Fleet *fleet, const char *id, const char *cell, const char *tenant, const char *queue,
                                int count, int cpu, int run_ms)
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

static size_t in_phase(Fleet *fleet, const char *id, TaskPhase phase)
{
    const Job *job = fleet_job(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        count += job->tasks[t].phase == phase;
    return count;
}

#define CELL(name, more) \
    "\"" name "\":{\"tenants\":{\"t\":{},\"u\":{}},\"queues\":{\"bulk\":{},\"urgent\":{\"priority\":5}}" more "}"

/* Without a policy the urgent task waits for the bulk; with one it pushes. */
static void preempts(void **state)
{
    (void)state;
    for (int with = 0; with < 2; with++) {
        Fleet *fleet = begin(
            with
                ? "{\"cells\":{" CELL(
                      "c",
                      ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) return "
                                           "t.queue_priority end function may_push(a, b) return a.queue == 'urgent' and b.queue == 'bulk' end\"}}"
                : "{\"cells\":{" CELL("c", "") "}}");
        inside_request_send(fleet, "bulk", "c", "t", "bulk", 22, 32, 15000);
        fleet_run(fleet, 2000);
        assert_int_equal(in_phase(fleet, "bulk", TASK_RUNNING), 22); /* the fleet is full */
        inside_request_send(fleet, "urgent", "c", "t", "urgent", 3, 16, 1000);
        fleet_run(fleet, 3500);
        if (with)
            assert_int_equal(in_phase(fleet, "urgent", TASK_DONE) + in_phase(fleet, "urgent", TASK_RUNNING), 3);
        else
            assert_int_equal(in_phase(fleet, "urgent", TASK_WAITING), 3);
        /* two of 16 fit where one of 32 was: no more than two were pushed */
        assert_true(in_phase(fleet, "bulk", TASK_RUNNING) >= (with ? 20 : 22));
        fleet_run(fleet, 40000);
        assert_int_equal(in_phase(fleet, "urgent", TASK_DONE), 3);
        assert_int_equal(in_phase(fleet, "bulk", TASK_DONE), 22);
        case_end(fleet);
    }
}

/* Two cells with shares 3 and 1 want everything; tenants within one share alike. */
static void shares(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("big", ",\"share\":3") "," CELL("small", ",\"share\":1") "}}");
    inside_request_send(fleet, "s", "small", "t", "bulk", 400, 8, 4000);
    inside_request_send(fleet, "b1", "big", "t", "bulk", 400, 8, 4000);
    inside_request_send(fleet, "b2", "big", "u", "bulk", 200, 8, 4000);
    fleet_run(fleet, 11000); /* what was there first has left by now */
    const size_t small = in_phase(fleet, "s", TASK_RUNNING);
    const size_t one = in_phase(fleet, "b1", TASK_RUNNING), two = in_phase(fleet, "b2", TASK_RUNNING);
    print_message("of 88 places: small %zu, big %zu + %zu\n", small, one, two);
    assert_in_range(small + one + two, 70, 88);
    assert_in_range((one + two) * 100 / (small + 1), 220, 400);
    assert_in_range(one * 100 / (two + 1), 70, 140);
    case_end(fleet);
}

/* Urgent light work overtakes bulk that was there first. */
static void rank_within(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL(
        "c", ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) if t.queue "
                                  "== 'urgent' then return 100 - t.cpu end return t.waited_ms / 100000 end\"}}");
    inside_request_send(fleet, "bulk", "c", "t", "bulk", 300, 8, 2000);
    fleet_run(fleet, 1000);
    inside_request_send(fleet, "urgent", "c", "u", "urgent", 10, 1, 200);
    fleet_run(fleet, 2600);
    assert_int_equal(in_phase(fleet, "urgent", TASK_DONE), 10);
    assert_true(in_phase(fleet, "bulk", TASK_WAITING) > 50);
    /* what another policy would make of the queue, without doing it */
    inside_request_send(fleet, "later", "c", "u", "bulk", 1, 8, 200);
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

/* One that fails on some tasks only: counted, told, and the work goes on. */
static void failing(void **state)
{
    (void)state;
    Fleet *fleet =
        begin("{\"cells\":{" CELL("c", ",\"policy\":\"p\"") "},\"policies\":{\"p\":\"function rank(t) if t.tenant == "
                                                            "'u' then while true do end end return 1 end\"}}");
    inside_request_send(fleet, "x", "c", "u", "bulk", 5, 1, 500);
    inside_request_send(fleet, "y", "c", "t", "bulk", 5, 1, 500);
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

/* Small work without end, some of each ending all the time: a task of a whole
 * worker's room starts all the same, for one worker is kept for it. A gang of two
 * such has two kept. */
static void big_among_small(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    char id[32];
    int64_t started_ms = 0, both_ms = 0;
    const int64_t from_ms = sim_now_ms(fleet->world);
    for (int i = 0; i < 120 && both_ms == 0; i++) {
        snprintf(id, sizeof(id), "small%d", i);
        inside_request_send(fleet, id, "c", "t", "bulk", 44, 4, 3000 + i % 7 * 200);
        if (i == 8)
            inside_request_send(fleet, "big", "c", "u", "bulk", 1, 64, 1000);
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

/* A worker five times as slow as the others of the same steps, that claims
 * health: it gets less than a tenth of what each of the others
 * gets (a third, when only its own fullness speaks against it). */
static void slow_worker(void **state)
{
    (void)state;
    Fleet *fleet = begin(mix_config(MIX_TRENTVALE));
    FleetNode *worker = fleet_node(fleet, FLEET_WORKER, 0);
    worker->worker_settings.slow_times = 5;
    stand_worker_slow(worker->worker, 5);
    fleet_submit_jobs(fleet, "c", 15000, 60000);
    fleet_run(fleet, 60000);
    const size_t slow = checker_starts_on(fleet->checker, "worker1"), all = checker_starts(fleet->checker);
    print_message("starts on the slow one %zu, on each other %zu\n", slow, (all - slow) / 10);
    assert_true(slow * 10 < (all - slow) / 10);
    case_end(fleet);
}

/* Emptying a zone with a move: what runs there is stopped and started elsewhere,
 * one at a time; without, it stays until it ends. */
static void moved(void **state)
{
    (void)state;
    for (int move = 0; move < 2; move++) {
        Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
        inside_request_send(fleet, "long", "c", "t", "bulk", 11, 4, 60000);
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

/* An alert stands while there is something to do, in the list and the metrics;
 * the log ring can be read from every process. */
static void alerts(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/alerts", NULL);
    assert_string_equal((const char *)call.response_body.data, "[]\n");
    inside_request_send(fleet, "work", "c", "t", "bulk", 11, 4, 30000);
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
    /* it was the worker that was killed: its agent lives */
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

/* Copies of a job's work stand in other racks and zones while room is equal. */
static void spreads(void **state)
{
    (void)state;
    Fleet *fleet = begin("{\"cells\":{" CELL("c", "") "}}");
    inside_request_send(fleet, "three", "c", "t", "bulk", 3, 2, 5000);
    fleet_run(fleet, 1500);
    const Job *job = fleet_job(fleet, "three");
    const Worker *at[3];
    const Table *table = controller_table(fleet_node(fleet, FLEET_CONTROLLER, fleet_leader(fleet))->controller);
    for (int i = 0; i < 3; i++)
        at[i] = table_worker(table, job->tasks[i].worker);
    for (int i = 0; i < 3; i++)
        for (int k = 0; k < i; k++) {
            assert_string_not_equal(at[i]->zone, at[k]->zone);
            assert_string_not_equal(at[i]->rack, at[k]->rack);
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
