/* Cancellations that are answered before the submission of their job arrives: the submission must not run, wherever it
 * was held up and whatever is lost in between. */
#include <stdio.h>

#include "inside_request.h"
#include "tenants_fixture.h"

#define LINK_MS 10       /* delay of each frame, so that a cut can fall between two of them */
#define LATE_RUN_MS 6000 /* time within which a late submission arrives and would start */

/* The submission of a job to a queue by a caller whose connection stays open: only the controllers know that the job
 * has been cancelled. */
static InsideRequest *submit_late(Fleet *fleet, int entry_point, const char *path)
{
    return inside_request_send(
        fleet, entry_point,
        &(HttpExchange){.method = "POST", .path = talloc_strdup(fleet, path), .query = "", .host = HOST}, BODY(500));
}

static void cancel_unknown(Fleet *fleet, int entry_point, const char *path, const char *key)
{
    assert_null(fleet_job(fleet, strrchr(path, '/') + 1));
    assert_int_equal(ask(fleet, FLEET_ENTRY_POINT, entry_point, "DELETE", path, key, NULL), 410);
}

/* Fails if an attempt of the job has been started. */
static void assert_never_started(const Fleet *fleet, const char *id)
{
    const Job *job = fleet_job(fleet, id);
    if (job != NULL && (job->phase != JOB_CANCELLED || job->tasks[0].attempt > 0))
        fail_msg("%s: phase %s, %d attempts", id, job_phase_name(job->phase), (int)job->tasks[0].attempt);
}

static void entry_point_cut(Fleet *fleet, int entry_point, bool cut)
{
    const int machine = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point)->machine;
    for (int i = 0; i < CONTROLLERS; i++)
        sim_link_cut(fleet->world, machine, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, cut);
}

static Fleet *delayed_begin(uint64_t seed)
{
    Fleet *fleet = tenants_begin(seed);
    sim_link_delay(fleet->world, LINK_MS, LINK_MS);
    fleet_run(fleet, 1000);
    return fleet;
}

/* Issue 58, case 10: a job that was submitted at a frozen entry point ran although its cancellation, at another entry
 * point, had been answered 410. */
static void submission_held_by_a_frozen_entry_point(void **state)
{
    (void)state;
    for (uint64_t seed = 61; seed < 64; seed++) {
        Fleet *fleet = delayed_begin(seed);
        const int machine = fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine;
        sim_freeze(fleet->world, machine, sim_now_ms(fleet->world) + 5000);
        fleet_run(fleet, 20);
        const InsideRequest *late = submit_late(fleet, 0, "/v1/entry/open/late");
        fleet_run(fleet, 3000);
        cancel_unknown(fleet, 1, "/v1/entry/open/late", NULL);
        fleet_run(fleet, LATE_RUN_MS);
        assert_true(late->done);
        assert_never_started(fleet, "late");
        case_end(fleet);
    }
}

/* The submission is held up on its way from its entry point to the leader: TCP delivers it when the cut has healed. The
 * answer of a submission that arrived after its cancellation shows the job as cancelled. */
static void submission_held_on_the_way_to_the_leader(void **state)
{
    (void)state;
    int arrived = 0;
    for (int at_ms = 1; at_ms < 10; at_ms += 4) {
        Fleet *fleet = delayed_begin(64);
        const InsideRequest *late = submit_late(fleet, 0, "/v1/entry/open/late");
        fleet_run(fleet, at_ms);
        entry_point_cut(fleet, 0, true);
        fleet_run(fleet, 400);
        cancel_unknown(fleet, 1, "/v1/entry/open/late", NULL);
        entry_point_cut(fleet, 0, false);
        fleet_run(fleet, LATE_RUN_MS);
        assert_true(late->done);
        assert_never_started(fleet, "late");
        const char *text = (const char *)late->task->response_body.data;
        arrived += late->task->code == 201 && strstr(text, "\"phase\":\"cancelled\"") != NULL;
        case_end(fleet);
    }
    assert_true(arrived > 0); /* at least one of the cuts held a submission that arrived afterwards */
}

/* Another leader is elected between the cancellation and the submission. */
static void next_leader_knows_the_cancellation(void **state)
{
    (void)state;
    Fleet *fleet = delayed_begin(65);
    cancel_unknown(fleet, 1, "/v1/entry/open/late", NULL);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 5000);
    assert_int_equal(post(fleet, 0, "/v1/entry/open/late", NULL), 201);
    fleet_run(fleet, LATE_RUN_MS);
    assert_non_null(fleet_job(fleet, "late"));
    assert_never_started(fleet, "late");
    case_end(fleet);
}

/* All controllers lose power together with what their disks had acknowledged: the entry points' repair buffers restore
 * the cancellation, also that of a job that was known when it was cancelled and whose submission nobody restores. */
static void cancellation_survives_the_loss_of_the_disks(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(66);
    for (int i = 0; i < CONTROLLERS; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    fleet_run(fleet, 1000);
    cancel_unknown(fleet, 1, "/v1/entry/open/late", NULL);
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    assert_int_equal(post(fleet, 0, "/v1/entry/open/late", NULL), 201);
    fleet_run(fleet, LATE_RUN_MS);
    assert_non_null(fleet_job(fleet, "late"));
    assert_never_started(fleet, "late");
    case_end(fleet);
}

/* A tenant can't prevent the submission of another tenant's job by cancelling its id in advance. */
static void other_tenants_cancellation_has_no_effect(void **state)
{
    (void)state;
    Fleet *fleet = delayed_begin(67);
    cancel_unknown(fleet, 1, "/v1/entry/q/mine", "key-2a");
    cancel_unknown(fleet, 2, "/v1/entry/open/mine", NULL);
    assert_int_equal(post(fleet, 0, "/v1/entry/q/mine", "key-1a"), 201);
    assert_int_equal(fleet_job(fleet, "mine")->phase, JOB_ACTIVE);
    cancel_unknown(fleet, 1, "/v1/entry/q/own", "key-1a");
    assert_int_equal(post(fleet, 0, "/v1/entry/q/own", "key-1a"), 201);
    assert_never_started(fleet, "own");
    case_end(fleet);
}

/* The same at /v1/jobs, where the path names no tenant. */
static void cancellation_at_v1_jobs(void **state)
{
    (void)state;
    Fleet *fleet = delayed_begin(68);
    assert_int_equal(ask(fleet, FLEET_ENTRY_POINT, 1, "DELETE", "/v1/jobs/late", NULL, NULL), 404);
    assert_int_equal(ask(fleet, FLEET_ENTRY_POINT, 1, "POST", "/v1/jobs/later/cancel", NULL, ""), 404);
    static const char JOB[] = "{\"id\":\"%s\",\"cell\":\"c\",\"tenant\":\"one\",\"queue\":\"q\",\"steps\":[{"
                              "\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":500}}]}";
    for (int i = 0; i < 2; i++) {
        const char *id = i == 0 ? "late" : "later";
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs",
                          talloc_asprintf(fleet, JOB, id)); /* NOLINT(clang-diagnostic-format-nonliteral) */
        assert_int_equal(call.code, 201);
        fleet_run(fleet, LATE_RUN_MS);
        assert_non_null(fleet_job(fleet, id));
        assert_never_started(fleet, id);
    }
    case_end(fleet);
}

/* A submission whose caller disconnected before anything was forwarded has no effect. */
static void submission_of_a_disconnected_caller(void **state)
{
    (void)state;
    Fleet *fleet = delayed_begin(69);
    const int machine = fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine;
    sim_freeze(fleet->world, machine, sim_now_ms(fleet->world) + 2000);
    fleet_run(fleet, 20);
    InsideRequest *late = submit_late(fleet, 0, "/v1/entry/open/late");
    late->task->caller_disconnected = true;
    fleet_run(fleet, LATE_RUN_MS);
    assert_true(late->done);
    assert_null(fleet_job(fleet, "late"));
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(submission_held_by_a_frozen_entry_point),
        cmocka_unit_test(submission_held_on_the_way_to_the_leader),
        cmocka_unit_test(next_leader_knows_the_cancellation),
        cmocka_unit_test(cancellation_survives_the_loss_of_the_disks),
        cmocka_unit_test(other_tenants_cancellation_has_no_effect),
        cmocka_unit_test(cancellation_at_v1_jobs),
        cmocka_unit_test(submission_of_a_disconnected_caller),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
