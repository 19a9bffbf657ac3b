/* Tests that the journals of an earlier release (packages/replication/test/fixtures) lead to the same state.
 * write_disk.c wrote them with a different value in each field. Never adapt an expected value here to a change of the
 * sources: if a test fails, the format has changed, and the disks of earlier releases can no longer be read. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "old_disk.h"

/* The expected fields of a task of the job "tasks"; its step, turn and index follow from its position. */
typedef struct ExpectedTask {
    uint64_t phase, attempt, misses, losses;
    const char *worker;
    uint64_t incarnation;
    bool assured;
    int64_t rest_until_ms, changed_ms, started_ms;
    const char *text, *shunned, *saved;
    uint64_t miss_attempt;
} ExpectedTask;

#define TASKS 6

/* The tasks in the snapshot of core2. Phases are the numbers of the format: 0 waiting, 1 placed, 2 running, 3 stopping,
 * 4 done, 6 cancelled. */
static const ExpectedTask TASKS_BEFORE_LOSS[TASKS] = {
    {2, 2, 0, 0, "w1", 201, true, 0, 10591, 10588, "", "", "saved0", 0},
    {0, 3, 1, 0, "", 201, false, 10641, 10591, 0, "text1", "w1", "saved1", 3},
    {4, 4, 0, 0, "", 201, false, 0, 10591, 10586, "text2", "", "", 0},
    {0, 5, 0, 1, "", 202, false, 0, 10591, 0, "", "", "", 0},
    {1, 6, 0, 0, "w1", 201, true, 0, 10591, 0, "", "", "saved4", 0},
    {3, 8, 0, 0, "w1", 201, false, 0, 10591, 0, "why5", "w1", "", 0},
};

/* The tasks after delivery of the next entry: worker w1 is lost. */
static const ExpectedTask TASKS_AFTER_LOSS[TASKS] = {
    {0, 2, 0, 1, "", 201, false, 0, 10606, 10588, "", "", "saved0", 0},
    {0, 3, 1, 0, "", 201, false, 10641, 10591, 0, "text1", "w1", "saved1", 3},
    {4, 4, 0, 0, "", 201, false, 0, 10591, 10586, "text2", "", "", 0},
    {0, 5, 0, 1, "", 202, false, 0, 10591, 0, "", "", "", 0},
    {0, 6, 0, 1, "", 201, false, 0, 10606, 0, "", "", "saved4", 0},
    {0, 8, 0, 0, "", 201, false, 0, 10606, 0, "why5", "w1", "", 0},
};

static void assert_resources(const Resources *resources, uint64_t cpu_milli, uint64_t mem_mb, uint64_t gpu)
{
    assert_int_equal(resources->cpu_milli, cpu_milli);
    assert_int_equal(resources->mem_mb, mem_mb);
    assert_int_equal(resources->gpu, gpu);
}

static void assert_workers(const Table *table)
{
    const Worker *first = table_worker(table, "w1"), *second = table_worker(table, "w2");
    assert_non_null(first);
    assert_non_null(second);
    assert_string_equal(first->zone, "zone1");
    assert_string_equal(first->rack, "rack1");
    assert_string_equal(first->kind, "kind1");
    assert_int_equal(first->labels_count, 2);
    assert_string_equal(first->labels[0], "label1");
    assert_string_equal(first->labels[1], "label2");
    assert_resources(&first->resources, 64001, 32002, 3);
    assert_false(first->excluded);
    assert_string_equal(second->zone, "zone2");
    assert_resources(&second->resources, 4, 5, 6);
    assert_true(second->excluded);
}

static void assert_spec(const JobSpec *spec)
{
    assert_string_equal(spec->id, "full");
    assert_string_equal(spec->cell, "cell1");
    assert_string_equal(spec->tenant, "tenant1");
    assert_string_equal(spec->queue, "queue1");
    assert_int_equal(spec->priority, -121);
    assert_int_equal(spec->protection, 1);
    assert_true(spec->copies);
    assert_int_equal(spec->due_wall_ms, 122);
    assert_int_equal(spec->delay_ms, 123);
    assert_int_equal(spec->attempt_limit, 124);
    assert_int_equal(spec->steps_count, 2);
    assert_false(spec->lasting);
    assert_int_equal(spec->turns, 2);
    assert_int_equal(spec->first_wall_ms, INT64_C(1700000000125));
    assert_int_equal(spec->period_ms, 126);
}

static void assert_steps(const StepSpec *first, const StepSpec *second)
{
    assert_string_equal(first->name, "first");
    assert_int_equal(first->after_count, 0);
    assert_int_equal(first->count, 2);
    assert_true(first->gang && first->same_rack && !first->saves && !first->copies);
    assert_resources(&first->resources, 101, 102, 103);
    assert_string_equal(first->kind, "kind1");
    assert_int_equal(first->labels_count, 2);
    assert_string_equal(first->labels[1], "label2");
    assert_string_equal(first->payload, "{\"x\":1}");
    assert_int_equal(first->est_ms, 104);
    assert_int_equal(first->apart, 105);
    assert_string_equal(first->near, "rack1");
    assert_string_equal(second->name, "second");
    assert_int_equal(second->after_count, 1);
    assert_string_equal(second->after[0], "first");
    assert_int_equal(second->count, 1);
    assert_true(second->gang && !second->same_rack && second->saves && !second->copies);
    assert_resources(&second->resources, 111, 112, 113);
}

static void assert_full(const Table *table)
{
    const Job *job = table_job(table, "full");
    assert_non_null(job);
    assert_spec(&job->spec);
    assert_steps(&job->spec.steps[0], &job->spec.steps[1]);
    assert_int_equal(job->terms.attempt_limit, 131);
    assert_int_equal(job->terms.stretch_milli, 132);
    assert_int_equal(job->terms.target_ms, 133);
    assert_int_equal(job->terms.priority, -134);
    assert_string_equal(job->terms.kind, "kind3");
    assert_int_equal(job->tasks_count, 6);
    assert_int_equal(job->tasks[5].turn, 1);
    assert_int_equal(job->tasks[5].step, 1);
    assert_int_equal(job->tasks[4].at, 1);
}

static void assert_job(const Table *table, const char *id, uint64_t number, uint64_t phase, int64_t ended_ms)
{
    const Job *job = table_job(table, id);
    assert_non_null(job);
    assert_int_equal(job->number, number);
    assert_int_equal(job->phase, phase);
    assert_int_equal(job->ending, phase);
    assert_int_equal(job->accepted_ms, 10591);
    assert_int_equal(job->ended_ms, ended_ms);
}

static void assert_task(const JobTask *task, const ExpectedTask *expected)
{
    assert_int_equal(task->phase, expected->phase);
    assert_int_equal(task->attempt, expected->attempt);
    assert_int_equal(task->misses, expected->misses);
    assert_int_equal(task->losses, expected->losses);
    assert_string_equal(task->worker, expected->worker);
    assert_int_equal(task->incarnation, expected->incarnation);
    assert_int_equal(task->assured, expected->assured);
    assert_int_equal(task->rest_until_ms, expected->rest_until_ms);
    assert_int_equal(task->changed_ms, expected->changed_ms);
    assert_int_equal(task->started_ms, expected->started_ms);
    assert_string_equal(task->text, expected->text);
    assert_string_equal(task->shunned, expected->shunned);
    assert_string_equal(task->saved, expected->saved);
    assert_int_equal(task->miss_attempt, expected->miss_attempt);
}

static void assert_jobs(const Table *table, const ExpectedTask tasks[TASKS])
{
    assert_null(table_job(table, "forgotten"));
    assert_job(table, "cancelled", 2, 3, 10591);
    assert_job(table, "failed", 3, 2, 10591);
    assert_job(table, "full", 4, 0, 0);
    assert_job(table, "tasks", 5, 0, 0);
    const Job *job = table_job(table, "tasks");
    assert_int_equal(job->tasks_count, TASKS);
    for (size_t i = 0; i < TASKS; i++)
        assert_task(&job->tasks[i], &tasks[i]);
}

static void assert_version(const Version *row, uint64_t base, uint64_t version, const char *text, const char *digest)
{
    assert_int_equal(row->base, base);
    assert_int_equal(row->version, version);
    assert_string_equal(row->text, text);
    assert_string_equal(row->digest, digest);
}

static void assert_config(const Table *table)
{
    const Versions *versions = table_versions(table);
    assert_int_equal(versions->count, 2);
    assert_version(&versions->rows[0], 0, 4, "{\"a\":1}", "digest4");
    assert_version(&versions->rows[1], 4, 7, "{\"b\":2}", "digest7");
    assert_false(versions->rows[0].patch);
    assert_true(versions->rows[1].patch);
    const ConfigLimits *limits = &versions->rows[0].limits;
    assert_int_equal(limits->head_bytes, 4031);
    assert_int_equal(limits->body_bytes, 5032);
    assert_int_equal(limits->head_ms, 6033);
    assert_int_equal(limits->idle_ms, 7034);
    assert_int_equal(versions_limits(versions)->head_bytes, 8031);
    void *mem = talloc_new(NULL);
    assert_string_equal(versions_text(versions, mem, 7), "{\"a\":1,\"b\":2}");
    talloc_free(mem);
}

static void assert_drain(const Table *table, const char *zone, int64_t stamp, const char *order, bool move, bool based,
                         int64_t base)
{
    const ZoneDrain *drain = table_newest_drain(table, zone);
    assert_non_null(drain);
    assert_true(drain->drained);
    assert_int_equal(drain->stamp, stamp);
    assert_string_equal(drain->order, order);
    assert_int_equal(drain->move, move);
    assert_int_equal(drain->based, based);
    assert_int_equal(drain->base, base);
    /* The order is recognised by its name. */
    assert_int_equal(table_drain_status(table, drain), DRAIN_DELIVERED);
}

static void assert_state(const Table *table, const ExpectedTask tasks[TASKS])
{
    assert_workers(table);
    assert_full(table);
    assert_jobs(table, tasks);
    assert_config(table);
    assert_drain(table, "zone8", 41, "order8", false, true, 40);
    assert_drain(table, "zone9", 42, "order9", true, false, 0);
    const ZoneDrain before = {.zone = "zone9", .order = "before9"};
    assert_int_equal(table_drain_status(table, &before), DRAIN_DELIVERED);
    assert_int_equal(table_oldest_droppable_ms(table), 10591);
}

/* A controller that starts alone has only the snapshot, since it can't know yet that later entries are committed. */
static void only_a_snapshot(void **state)
{
    (void)state;
    Fleet *fleet = fleet_of();
    opened(fleet, 1, "snapshot-core2");
    assert_state(controller_table(fleet_node(fleet, FLEET_CONTROLLER, 1)->controller), TASKS_BEFORE_LOSS);
    talloc_free(fleet);
}

/* Starts the controllers with the disks of one moment and runs them until one leads and has delivered up to index.
 * Returns that controller. */
static FleetNode *start_together(Fleet *fleet, const char *moment, uint64_t index)
{
    for (int i = 0; i < CONTROLLERS; i++)
        put(fleet, i, talloc_asprintf(fleet, "%s-core%d", moment, i + 1));
    fleet_start(fleet);
    for (int i = 0; i < 4000; i++) {
        fleet_run(fleet, 5);
        const int leader = fleet_leader(fleet);
        if (leader >= 0 && replication_of(fleet, leader)->delivered_index >= index)
            return fleet_node(fleet, FLEET_CONTROLLER, leader);
    }
    fleet_dump(fleet);
    fail_msg("nobody leads");
    abort(); /* not reached: fail_msg ends the test */
}

/* The end of a task of an unknown job is remembered: once the job is submitted, the task is done. */
static void assert_orphan(Fleet *fleet, const FleetNode *leader)
{
    void *mem = talloc_new(NULL);
    StepSpec step = {.name = "only", .count = 2};
    const JobAdd add = {.spec = {.id = "ghost", .attempt_limit = 9, .steps = &step, .steps_count = 1}};
    Bytes payload = {0};
    shape_pack(&JobAdd_shape, &add, mem, &payload);
    assert_int_equal(replication_submit_async(controller_replication(leader->controller), CHANGE_JOB_ADD, payload),
                     STATUS_OK);
    fleet_run(fleet, 100);
    const Job *job = table_job(controller_table(leader->controller), "ghost");
    assert_non_null(job);
    assert_int_not_equal(job->tasks[0].phase, 4);
    assert_int_equal(job->tasks[1].phase, 4);
    assert_int_equal(job->tasks[1].attempt, 7);
    talloc_free(mem);
}

/* Attempt 3 of a task is counted as failed. Reports attempts 1 to 4 as failed, twice each, and asserts that misses are
 * counted then. */
static void assert_failures_counted(Fleet *fleet, const FleetNode *leader, uint64_t misses)
{
    const Table *table = controller_table(leader->controller);
    const uint64_t number = task_number(&table_job(table, "tasks")->tasks[1]);
    for (int repeated = 0; repeated < 2; repeated++)
        for (uint64_t attempt = 1; attempt <= 4; attempt++) {
            void *mem = talloc_new(NULL);
            AttemptUpdate update = {.job = "tasks",
                                    .task = number,
                                    .attempt = attempt,
                                    .worker = "w1",
                                    .word = ATTEMPT_FAILED,
                                    .text = "",
                                    .saved = ""};
            const AttemptList list = {&update, 1};
            Bytes payload = {0};
            shape_pack(&AttemptList_shape, &list, mem, &payload);
            assert_int_equal(
                replication_submit_async(controller_replication(leader->controller), CHANGE_ATTEMPTS, payload),
                STATUS_OK);
            fleet_run(fleet, 50);
            talloc_free(mem);
        }
    const JobTask *task = &table_job(table, "tasks")->tasks[1];
    assert_int_equal(task->misses, misses);
    assert_int_equal(task->miss_attempt, 4);
}

static void assert_together(const char *moment, uint64_t index, uint64_t misses)
{
    Fleet *fleet = fleet_of();
    const FleetNode *leader = start_together(fleet, moment, index);
    assert_state(controller_table(leader->controller), TASKS_AFTER_LOSS);
    assert_orphan(fleet, leader);
    assert_failures_counted(fleet, leader, misses);
    talloc_free(fleet);
}

static void entries_together(void **state)
{
    (void)state;
    assert_together("entries", 27, 4); /* the log has each failure */
}

static void snapshots_together(void **state)
{
    (void)state;
    assert_together("snapshot", 28, 2); /* a snapshot has only the newest: those below it stay counted */
}

static void trimmed_together(void **state)
{
    (void)state;
    assert_together("trimmed", 32, 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(only_a_snapshot), cmocka_unit_test(entries_together),
                                       cmocka_unit_test(snapshots_together), cmocka_unit_test(trimmed_together)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
