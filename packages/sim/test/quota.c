/* A tenant's attempts that run on all workers together never exceed its quota. The checker counts the attempts on the
 * workers themselves, whether or not the leader still knows of them. */
#include <stdio.h>
#include <string.h>

#include "fleet_fixture.h"

#define QUOTA_CPU 8

/* A configuration with these tenants and two queues. */
static const char *config_text(Fleet *fleet, const char *tenants)
{
    return talloc_asprintf(fleet,
                           "{\"r\":0,\"cells\":{\"c\":{\"tenants\":{%s},\"queues\":{"
                           "\"bulk\":{\"stretch\":4,\"targetMs\":4000,\"rounds\":9},"
                           "\"urgent\":{\"priority\":1,\"stretch\":1.5,\"targetMs\":1000,\"rounds\":9}}}}}",
                           tenants);
}

/* A configuration in which tenant t may use cpu cores, and another tenant has no quota. */
static const char *quota_config(Fleet *fleet, uint64_t cpu)
{
    return config_text(fleet,
                       talloc_asprintf(fleet, "\"t\":{\"quota\":{\"cpu\":%u,\"memMb\":0}},\"free\":{}", (unsigned)cpu));
}

/* Replaces the newest version of the configuration. */
static void configure(Fleet *fleet, const char *config)
{
    const HttpCall read = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(read.code, 200);
    const char *version = strstr((const char *)read.response_body.data, "\"revision\":");
    assert_non_null(version);
    const char *path = talloc_asprintf(fleet, "/v1/config?base=%llu", strtoull(strchr(version, ':') + 1, NULL, 10));
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PUT", path, config);
    if (call.code != 200)
        fail_msg("%d %s", call.code, (const char *)call.response_body.data);
}

/* A fleet of six workers and a tenant t that may use QUOTA_CPU cores. */
static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = fleet_new(NULL, seed, (FleetShape){3, 1, 6, MIX_TRENTVALE, 0});
    fleet_start(fleet);
    assert_true(fleet_wait_ready(fleet, 30000));
    const HttpCall call =
        fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=0", quota_config(fleet, QUOTA_CPU));
    if (call.code != 200)
        fail_msg("%d %s", call.code, (const char *)call.response_body.data);
    checker_quota_changed(fleet->checker, "t", (Resources){QUOTA_CPU * 1000, 0, 0}, TENANT_PRESENT);
    fleet_run(fleet, 1000);
    return fleet;
}

/* A step with 2 cores a task; more: further JSON members, each with a comma before. */
#define STEP(count, mem_mb, run_ms, more)                                                                \
    "{\"name\":\"a\",\"count\":" #count ",\"room\":{\"cpu\":2,\"memMb\":" #mem_mb "},\"estMs\":" #run_ms \
    ",\"payload\":{\"runMs\":" #run_ms "}" more "}"

/* Submits a job to queue bulk; more: further JSON members, each with a comma before. */
static void submit(Fleet *fleet, const char *id, const char *step, const char *more)
{
    case_submit(fleet, id, "bulk", more, step);
}

/* The number of a worker that has a task of the job according to the leader's table; -1: none. */
static int worker_of(const Fleet *fleet, const char *id)
{
    const Job *job = fleet_job(fleet, id);
    for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
        if (job->tasks[t].worker[0] != '\0')
            return atoi(job->tasks[t].worker + strlen("worker")) - 1;
    return -1;
}

/* Guards against gang members that are still being stopped no longer counting once one member has finished. */
static void gang_members_count_until_they_have_stopped(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        for (int i = 0; i < 6; i++)
            stand_worker_set_slowdown(fleet_node(fleet, FLEET_WORKER, i)->worker, 1 + i % 2 * 3);
        submit(fleet, "gang", STEP(4, 100000, 1500, ",\"gang\":true"), "");
        submit(fleet, "after", STEP(16, 64, 700, ""), "");
        fleet_run(fleet, 1000);
        for (int i = 1; i < 6; i += 2) /* the slow workers do not receive the stops */
            fleet_node_cut(fleet, FLEET_AGENT, i, true);
        fleet_run(fleet, 20000);
        assert_int_equal(case_tasks_in_phase(fleet, "after", TASK_DONE), 16);
        case_end(fleet);
    }
}

/* Guards against a copy being started over the quota beside an attempt on a silent worker, which runs on until its
 * lease expires. */
static void copies_count_beside_what_they_replace(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "copied", STEP(4, 64, 6000, ""), ",\"copies\":true");
        fleet_run(fleet, 800);
        const int at = worker_of(fleet, "copied");
        assert_true(at >= 0);
        fleet_node_cut(fleet, FLEET_AGENT, at, true);
        fleet_run(fleet, 15000);
        assert_int_equal(case_tasks_in_phase(fleet, "copied", TASK_DONE),
                         4); /* the lost worker's attempts no longer count */
        case_end(fleet);
    }
}

/* Guards against the same after a change of leader: the new leader has not heard what the silent worker runs. */
static void copies_count_for_a_new_leader(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "copied", STEP(4, 64, 6000, ""), ",\"copies\":true");
        submit(fleet, "more", STEP(12, 64, 900, ""), "");
        fleet_run(fleet, 800);
        const int at = worker_of(fleet, "copied");
        assert_true(at >= 0);
        fleet_node_cut(fleet, FLEET_AGENT, at, true);
        fleet_run(fleet, 1500 + 30 * (int64_t)seed);
        if (seed % 2 == 0)
            fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
        else
            fleet_restart_gracefully(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
        fleet_run(fleet, 20000);
        case_end(fleet);
    }
}

/* Guards against a new leader no longer counting gang members that still run after another member has finished. */
static void gang_members_count_for_a_new_leader(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        Fleet *fleet = begin(seed);
        for (int i = 0; i < 6; i++)
            stand_worker_set_slowdown(fleet_node(fleet, FLEET_WORKER, i)->worker, 1 + i % 2 * 3);
        submit(fleet, "gang", STEP(4, 100000, 1500, ",\"gang\":true"), "");
        fleet_run(fleet, 1200);
        for (int i = 1; i < 6; i += 2)
            fleet_node_cut(fleet, FLEET_AGENT, i, true);
        fleet_run(fleet, 300 + 30 * (int64_t)seed);
        fleet_restart_gracefully(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
        submit(fleet, "after", STEP(16, 64, 700, ""), "");
        fleet_run(fleet, 20000);
        assert_int_equal(case_tasks_in_phase(fleet, "after", TASK_DONE), 16);
        case_end(fleet);
    }
}

/* Guards against the tasks of a cancelled job no longer counting before their workers have stopped them. */
static void cancelled_counts_until_it_has_stopped(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "first", STEP(4, 64, 9000, ""), "");
        submit(fleet, "second", STEP(8, 64, 500, ""), "");
        fleet_run(fleet, 1000);
        const int at = worker_of(fleet, "first");
        assert_true(at >= 0);
        fleet_node_cut(fleet, FLEET_AGENT, at, true);
        const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "DELETE", "/v1/jobs/first", NULL);
        assert_in_range(call.code, 200, 202);
        checker_cancelled(fleet->checker, "first");
        fleet_run(fleet, 12000);
        assert_int_equal(case_tasks_in_phase(fleet, "second", TASK_DONE), 8);
        case_end(fleet);
    }
}

/* Guards against a lost worker's tasks being started again while that worker, cut off, still runs them. */
static void lost_counts_until_its_lease_lapses(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "a", STEP(12, 64, 2500, ""), "");
        fleet_run(fleet, 1000);
        fleet_node_cut(fleet, FLEET_AGENT, worker_of(fleet, "a"), true);
        fleet_run(fleet, 1000);
        fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
        fleet_run(fleet, 25000);
        assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 12);
        case_end(fleet);
    }
}

/* Guards against a lowered quota being exceeded by starts that were decided before or after the change. */
static void lowered_limit_is_kept(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "a", STEP(30, 64, 700, ""), "");
        fleet_run(fleet, 1200 + 37 * (int64_t)seed);
        checker_quota_changed(fleet->checker, "t", (Resources){4000, 0, 0}, TENANT_CHANGE_SENT);
        configure(fleet, quota_config(fleet, 4));
        checker_quota_changed(fleet->checker, "t", (Resources){4000, 0, 0}, TENANT_PRESENT);
        fleet_run(fleet, 20000);
        assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 30);
        case_end(fleet);
    }
}

/* Guards against a tenant that was removed from the configuration running tasks without a limit, and exceeding its
 * quota when it is added again. */
static void removed_tenant_keeps_its_limit(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        submit(fleet, "a", STEP(40, 64, 1500, ""), "");
        fleet_run(fleet, 1000);
        configure(fleet, config_text(fleet, "\"free\":{}"));
        fleet_run(fleet, 1000);
        if (seed % 2 == 0)
            fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
        fleet_run(fleet, 6000);
        configure(fleet, quota_config(fleet, QUOTA_CPU));
        fleet_run(fleet, 15000);
        assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 40);
        case_end(fleet);
    }
}

/* What the first waiting task of the job waits for, as the job's representation shows it. */
static const char *waits_for(Fleet *fleet, const char *id)
{
    const char *path = talloc_asprintf(fleet, "/v1/jobs/%s", id);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", path, NULL);
    assert_int_equal(call.code, 200);
    const char *at = strstr((const char *)call.response_body.data, "\"waitsFor\":\"");
    assert_non_null(at);
    at += strlen("\"waitsFor\":\"");
    return talloc_strndup(fleet, at, strcspn(at, "\""));
}

/* Guards against a job that waits for its tenant's quota being shown as one that waits for a worker. */
static void waiting_for_the_quota_is_shown(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    submit(fleet, "a", STEP(6, 64, 3000, ""), "");
    submit(fleet, "gang", STEP(3, 64, 500, ",\"gang\":true"), "");
    fleet_run(fleet, 1000);
    assert_string_equal(waits_for(fleet, "a"), "quota");
    assert_string_equal(waits_for(fleet, "gang"), "quota");
    configure(fleet, quota_config(fleet, 1000));
    checker_quota_changed(fleet->checker, "t", (Resources){1000000, 0, 0}, TENANT_PRESENT);
    fleet_run(fleet, 5000);
    assert_int_equal(case_tasks_in_phase(fleet, "a", TASK_DONE), 6);
    assert_int_equal(case_tasks_in_phase(fleet, "gang", TASK_DONE), 3);
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gang_members_count_until_they_have_stopped),
        cmocka_unit_test(copies_count_beside_what_they_replace),
        cmocka_unit_test(copies_count_for_a_new_leader),
        cmocka_unit_test(gang_members_count_for_a_new_leader),
        cmocka_unit_test(cancelled_counts_until_it_has_stopped),
        cmocka_unit_test(lost_counts_until_its_lease_lapses),
        cmocka_unit_test(lowered_limit_is_kept),
        cmocka_unit_test(removed_tenant_keeps_its_limit),
        cmocka_unit_test(waiting_for_the_quota_is_shown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
