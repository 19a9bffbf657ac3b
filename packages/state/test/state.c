/* Tests of the entire state: turns and steps, derived sums, dropping of old jobs, and snapshots, including those of an
 * earlier release. */
#include "../../base/test/draw.h"
#include "table_fixture.h"

static StepSpec three_steps[3];

static JobSpec spec_with_turns(const char *id)
{
    static const char *after[] = {"a", "b"};
    three_steps[0] = (StepSpec){.name = "a", .count = 2};
    three_steps[1] = (StepSpec){.name = "b", .count = 1};
    three_steps[2] = (StepSpec){.name = "c", .count = 2, .after = after, .after_count = 2};
    JobSpec spec = spec_of(id, three_steps, 3);
    spec.turns = 3;
    spec.first_wall_ms = 50000;
    spec.period_ms = 1000;
    return spec;
}

static void complete_task(TableFixture *fixture, const char *id, uint64_t number, uint64_t attempt)
{
    assert_int_equal(place(fixture, id, &number, 1, attempt, "w", ""), 1);
    say(fixture, id, number, attempt, "w", ATTEMPT_DONE, "");
}

static void turns_wait_for_their_own_steps_only(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const JobSpec spec = spec_with_turns("j");
    const Job *job = job_add(&fixture, &spec, (JobTerms){0});
    assert_int_equal(job->tasks_count, 15);
    for (size_t i = 0; i < job->tasks_count; i++) {
        const JobTask *task = &job->tasks[i];
        assert_int_equal(task_index(job, task_number(task)), i);
        assert_int_equal(task->turn, i / 5);
        assert_int_equal(task_due_wall_ms(job, task), 50000 + 1000 * (int64_t)task->turn);
        assert_int_equal(task_steps_done(job, task), task->step != 2);
        assert_int_equal(task_first_of_step(job, task), i - task->at);
    }
    /* Complete the second turn while the first makes no progress. */
    const size_t last = 9;
    complete_task(&fixture, "j", TASK_NUMBER(1, 0, 0), 1);
    complete_task(&fixture, "j", TASK_NUMBER(1, 1, 0), 1);
    assert_false(task_steps_done(job, &job->tasks[last]));
    complete_task(&fixture, "j", TASK_NUMBER(1, 0, 1), 1);
    assert_true(task_steps_done(job, &job->tasks[last]));
    assert_false(task_steps_done(job, &job->tasks[4]));
    assert_false(task_steps_done(job, &job->tasks[14]));
    complete_task(&fixture, "j", TASK_NUMBER(1, 2, 0), 1);
    complete_task(&fixture, "j", TASK_NUMBER(1, 2, 1), 1);
    again(&fixture);
    job = table_job(fixture.table, "j");
    assert_true(task_steps_done(job, &job->tasks[last]));
    assert_false(task_steps_done(job, &job->tasks[4]));
    assert_int_equal(job->phase, JOB_ACTIVE);
    for (uint64_t turn = 0; turn < 3; turn += 2)
        for (uint64_t step = 0; step < 3; step++)
            for (uint64_t at = 0; at < three_steps[step].count; at++)
                complete_task(&fixture, "j", TASK_NUMBER(turn, step, at), 1);
    assert_int_equal(job->phase, JOB_DONE);
    talloc_free(fixture.table);
}

/* A job retains the terms with which it was accepted, and only the body decides whether a submission is the same
 * job. */
static void terms_stay_as_accepted(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    JobSpec spec = spec_with_turns("j");
    const JobTerms first = {.attempt_limit = 4, .stretch_milli = 2200, .target_ms = 1000, .priority = 2, .kind = "std"};
    job_add(&fixture, &spec, first);
    const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = 9});
    assert_int_equal(job->terms.attempt_limit, 4);
    spec.period_ms++;
    const JobAdd add = {spec, first};
    assert_int_equal(deliver_change(&fixture, CHANGE_JOB_ADD, &JobAdd_shape, &add).status, STATUS_OTHER_BODY);
    again(&fixture);
    job = table_job(fixture.table, "j");
    assert_string_equal(job->terms.kind, "std");
    assert_int_equal(job->terms.stretch_milli, 2200);
    assert_int_equal(job->spec.turns, 3);
    talloc_free(fixture.table);
}

/* Compares all sums with an iteration over all jobs and tasks. */
static void check_sums(const TableFixture *fixture)
{
    Job *const *jobs;
    const size_t count = table_jobs(fixture->table, &jobs);
    size_t active = 0, waiting = 0, on_worker_count[3] = {0};
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        size_t open = 0, undone = 0, waiting_tasks = 0;
        assert_true(j == 0 || jobs[j - 1]->number < job->number);
        active += job->phase == JOB_ACTIVE;
        for (size_t t = 0; t < job->tasks_count; t++) {
            const JobTask *task = &job->tasks[t];
            open += !task_ended(task->phase);
            undone += task->phase != TASK_DONE;
            waiting_tasks += task->phase == TASK_WAITING;
            assert_int_equal(task_on_worker(task->phase), task->worker[0] != '\0');
            if (task->worker[0] == '\0')
                continue;
            const TaskOnWorker *on;
            assert_true(task->on_at < table_tasks_on(fixture->table, task->worker, &on));
            assert_ptr_equal(on[task->on_at].job, job);
            assert_int_equal(on[task->on_at].task, t);
            on_worker_count[task->worker[1] - '0']++;
        }
        waiting += waiting_tasks;
        assert_int_equal(job->sums.waiting, waiting_tasks);
        assert_int_equal(job->sums.open, open);
        assert_int_equal(job->sums.undone, undone);
        assert_int_equal(open > 0, job->phase == JOB_ACTIVE);
        for (size_t t = 0; t < job->tasks_count; t++) {
            bool done = true;
            for (size_t k = 0; k < job->tasks_count; k++)
                if (job->tasks[k].turn == job->tasks[t].turn && job->tasks[k].step != 2 && job->tasks[t].step == 2)
                    done &= job->tasks[k].phase == TASK_DONE;
            assert_int_equal(task_steps_done(job, &job->tasks[t]), done);
        }
    }
    Job *const *active_jobs;
    assert_int_equal(table_active_jobs(fixture->table, &active_jobs), active);
    assert_int_equal(table_waiting_tasks(fixture->table, "c"), waiting);
    assert_int_equal(table_queue_active_jobs(fixture->table, "c", "q"), active);
    assert_int_equal(table_queue_active_jobs(fixture->table, "c", "other"), 0);
    size_t busy = 0;
    while (table_busy_worker(fixture->table, busy) != NULL)
        busy++;
    assert_int_equal(busy, (on_worker_count[0] > 0) + (on_worker_count[1] > 0) + (on_worker_count[2] > 0));
    for (int w = 0; w < 3; w++) {
        const char name[] = {'w', (char)('0' + w), '\0'};
        const TaskOnWorker *on;
        assert_int_equal(table_tasks_on(fixture->table, name, &on), on_worker_count[w]);
    }
}

static void sums_equal_a_walk_after_drawn_changes(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint64_t random = seed;
        TableFixture fixture = table_fixture_new();
        for (int i = 0; i < 400; i++) {
            fixture.at_ms += (int64_t)draw(&random, 50);
            const char id[] = {'j', (char)('0' + draw(&random, 8)), '\0'};
            const char worker[] = {'w', (char)('0' + draw(&random, 3)), '\0'};
            const Job *job = table_job(fixture.table, id);
            const JobTask *task = job != NULL ? &job->tasks[draw(&random, job->tasks_count)] : NULL;
            const uint64_t number = task != NULL ? task_number(task) : draw(&random, 20);
            switch (draw(&random, 12)) {
            case 0:
            case 1: {
                JobSpec spec = spec_with_turns(id);
                three_steps[0].gang = (id[1] & 1) != 0;
                spec.lasting = id[1] == '7';
                const JobAdd add = {spec, {.attempt_limit = 2}};
                deliver_change(&fixture, CHANGE_JOB_ADD, &JobAdd_shape, &add);
                break;
            }
            case 2:
                if (draw(&random, 4) == 0)
                    cancel(&fixture, id);
                break;
            case 3:
                if (draw(&random, 4) == 0)
                    lose(&fixture, worker);
                break;
            case 4: {
                const Forget forget = {fixture.at_ms - 2000};
                deliver_change(&fixture, CHANGE_FORGET, &Forget_shape, &forget);
                assert_true(table_oldest_droppable_ms(fixture.table) >= forget.before_ms);
                break;
            }
            case 5:
                if (draw(&random, 3) == 0)
                    again(&fixture);
                break;
            case 6:
            case 7:
            case 8: {
                const uint64_t both[] = {number, number + 1};
                place(&fixture, id, both, 2, (task != NULL ? task->attempt : 0) + 1, worker, "");
                break;
            }
            default:
                say(&fixture, id, number, task != NULL ? task->attempt : 1, task != NULL ? task->worker : worker,
                    (AttemptStatus)draw(&random, ATTEMPT_STATUS_COUNT), "s");
            }
            check_sums(&fixture);
        }
        talloc_free(fixture.table);
    }
}

static void ended_jobs_are_forgotten_by_age(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const char *const ids[] = {"j0", "j1", "j2"};
    for (int i = 0; i < 3; i++) {
        const JobSpec spec = spec_with_turns(ids[i]);
        job_add(&fixture, &spec, (JobTerms){0});
    }
    fixture.at_ms = 2000, cancel(&fixture, "j2");
    fixture.at_ms = 3000, cancel(&fixture, "j0");
    assert_int_equal(table_oldest_droppable_ms(fixture.table), 2000);
    const Forget forget = {3000};
    assert_int_equal(deliver_change(&fixture, CHANGE_FORGET, &Forget_shape, &forget).number, 1);
    assert_null(table_job(fixture.table, "j2"));
    assert_non_null(table_job(fixture.table, "j0"));
    Job *const *jobs;
    assert_int_equal(table_jobs(fixture.table, &jobs), 2);
    assert_int_equal(cancel(&fixture, "j2").status, STATUS_UNKNOWN_JOB);
    const JobSpec spec = spec_with_turns("j2");
    assert_int_equal(job_add(&fixture, &spec, (JobTerms){0})->number, 4); /* numbers are never reused */
    talloc_free(fixture.table);
}

/* --- a snapshot in the format of the last release without turns ---------------------- */

#define OLD_TASK_FIELDS(X)   \
    X(U64, step, 0)          \
    X(U64, phase, 0)         \
    X(U64, attempt, 0)       \
    X(U64, misses, 0)        \
    X(U64, losses, 0)        \
    X(TXT, worker, 0)        \
    X(U64, incarnation, 0)   \
    X(FLAG, assured, 0)      \
    X(I64, rest_until_ms, 0) \
    X(I64, changed_ms, 0)    \
    X(I64, started_ms, 0)    \
    X(TXT, text, 0)          \
    X(TXT, shunned, 0)
SHAPE(OldTask, OLD_TASK_FIELDS)
SHAPE_TABLE(OldTask, OLD_TASK_FIELDS)

#define OLD_RESOURCES_FIELDS(X) \
    X(U64, cpu_milli, 0)        \
    X(U64, mem_mb, 0)
SHAPE(OldResources, OLD_RESOURCES_FIELDS)
SHAPE_TABLE(OldResources, OLD_RESOURCES_FIELDS)

#define OLD_STEP_FIELDS(X)          \
    X(TXT, name, 0)                 \
    X(TXS, after, 0)                \
    X(U64, count, 0)                \
    X(FLAG, gang, 0)                \
    X(ONE, resources, OldResources) \
    X(TXT, kind, 0)                 \
    X(TXS, labels, 0)               \
    X(TXT, payload, 0)
SHAPE(OldStep, OLD_STEP_FIELDS)
SHAPE_TABLE(OldStep, OLD_STEP_FIELDS)

#define OLD_SPEC_FIELDS(X)   \
    X(TXT, id, 0)            \
    X(TXT, cell, 0)          \
    X(TXT, tenant, 0)        \
    X(TXT, queue, 0)         \
    X(I64, priority, 0)      \
    X(U64, protection, 0)    \
    X(FLAG, copies, 0)       \
    X(I64, due_wall_ms, 0)   \
    X(I64, delay_ms, 0)      \
    X(U64, attempt_limit, 0) \
    X(LST, steps, OldStep)
SHAPE(OldSpec, OLD_SPEC_FIELDS)
SHAPE_TABLE(OldSpec, OLD_SPEC_FIELDS)

#define OLD_JOB_FIELDS(X)  \
    X(ONE, spec, OldSpec)  \
    X(U64, number, 0)      \
    X(U64, phase, 0)       \
    X(U64, ending, 0)      \
    X(I64, accepted_ms, 0) \
    X(I64, ended_ms, 0)    \
    X(LST, tasks, OldTask)
SHAPE(OldJob, OLD_JOB_FIELDS)
SHAPE_TABLE(OldJob, OLD_JOB_FIELDS)

#define OLD_SAVED_FIELDS(X) \
    X(U64, last_number, 0)  \
    X(LST, jobs, OldJob)
SHAPE(OldSaved, OLD_SAVED_FIELDS)
SHAPE_TABLE(OldSaved, OLD_SAVED_FIELDS)

static void snapshot_of_an_earlier_release_loads(void **state)
{
    (void)state;
    const char *after[] = {"a"};
    OldStep steps[] = {{.name = "a", .count = 2}, {.name = "b", .count = 2, .after = after, .after_count = 1}};
    OldTask tasks[] = {{.phase = TASK_DONE, .attempt = 1},
                       {.phase = TASK_RUNNING, .attempt = 1, .worker = "w"},
                       {.step = 1},
                       {.step = 1}};
    OldJob job = {
        .spec =
            {.id = "j", .cell = "c", .tenant = "t", .queue = "q", .attempt_limit = 3, .steps = steps, .steps_count = 2},
        .number = 5,
        .tasks = tasks,
        .tasks_count = 4};
    const OldSaved saved = {5, &job, 1};
    TableFixture fixture = table_fixture_new();
    void *mem = talloc_new(NULL);
    Bytes bytes = {0};
    shape_pack(&OldSaved_shape, &saved, mem, &bytes);
    const ReplicationState replication = table_state(fixture.table);
    assert_int_equal(replication.load(replication.arg, bytes), STATUS_OK);
    talloc_free(mem);
    const Job *known = table_job(fixture.table, "j");
    assert_int_equal(known->tasks[3].at, 1);
    assert_int_equal(task_number(&known->tasks[3]), TASK_NUMBER(0, 1, 1));
    assert_int_equal(task_index(known, TASK_NUMBER(0, 1, 1)), 3);
    /* Changes written by that release identify a task by its index. */
    assert_int_equal(task_index(known, 3), 3);
    assert_int_equal(task_index(known, 4), 4);
    assert_false(task_steps_done(known, &known->tasks[3]));
    say(&fixture, "j", 1, 1, "w", ATTEMPT_DONE, "");
    assert_true(task_steps_done(known, &known->tasks[3]));
    const uint64_t third = 2;
    assert_int_equal(place(&fixture, "j", &third, 1, 1, "w", ""), 1);
    assert_int_equal(known->tasks[2].phase, TASK_PLACED);
    assert_int_equal(table_last_number(fixture.table), 5);
    talloc_free(fixture.table);
}

/* --- workers ------------------------------------------------------------------------ */

static void workers_are_sorted_and_busy_ones_listed(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    static const char *const NAMES[] = {"m", "z", "a", "q", "m", "b"};
    for (size_t i = 0; i < 6; i++) {
        const Worker worker = {.name = NAMES[i], .zone = i == 4 ? "new" : "old"};
        deliver_change(&fixture, CHANGE_WORKER_SET, &Worker_shape, &worker);
    }
    again(&fixture);
    const Worker **list;
    void *mem = talloc_new(NULL);
    assert_int_equal(table_workers(fixture.table, mem, &list), 5);
    for (size_t i = 0; i < 5; i++)
        assert_true(i == 0 || strcmp(list[i - 1]->name, list[i]->name) < 0);
    assert_string_equal(table_worker(fixture.table, "m")->zone, "new");
    assert_ptr_equal(table_worker(fixture.table, "m"), list[2]);
    assert_null(table_busy_worker(fixture.table, 0));
    const JobSpec spec = spec_with_turns("j");
    job_add(&fixture, &spec, (JobTerms){0});
    const uint64_t first = 0;
    place(&fixture, "j", &first, 1, 1, "unheard-of", "");
    assert_string_equal(table_busy_worker(fixture.table, 0), "unheard-of");
    assert_null(table_busy_worker(fixture.table, 1));
    lose(&fixture, "unheard-of");
    assert_null(table_busy_worker(fixture.table, 0));
    talloc_free(mem);
    talloc_free(fixture.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(turns_wait_for_their_own_steps_only),
        cmocka_unit_test(terms_stay_as_accepted),
        cmocka_unit_test(sums_equal_a_walk_after_drawn_changes),
        cmocka_unit_test(ended_jobs_are_forgotten_by_age),
        cmocka_unit_test(snapshot_of_an_earlier_release_loads),
        cmocka_unit_test(workers_are_sorted_and_busy_ones_listed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
