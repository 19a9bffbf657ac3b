/* The state as a whole: turns and steps, sums kept beside it, forgetting, saving and
 * loading, also of what a release before wrote. */
#include "board.h"

static StepSpec STEPS[3];

static JobSpec turning(const char *id)
{
    static const char *after[] = {"a", "b"};
    STEPS[0] = (StepSpec){.name = "a", .count = 2};
    STEPS[1] = (StepSpec){.name = "b", .count = 1};
    STEPS[2] = (StepSpec){.name = "c", .count = 2, .after = after, .afterCount = 2};
    JobSpec spec = specOf(id, STEPS, 3);
    spec.turns = 3;
    spec.firstWallMs = 50000;
    spec.periodMs = 1000;
    return spec;
}

static void finish(Board *b, const char *id, uint64_t number, uint64_t round)
{
    assert_int_equal(place(b, id, &number, 1, round, "w", ""), 1);
    say(b, id, number, round, "w", ROUND_DONE, "");
}

static void turns(void **state)
{
    (void)state;
    Board b = boardNew();
    const JobSpec spec = turning("j");
    const Job *job = jobAdd(&b, &spec, (JobTerms){0});
    assert_int_equal(job->tasksCount, 15);
    for (size_t i = 0; i < job->tasksCount; i++) {
        const JobTask *task = &job->tasks[i];
        assert_int_equal(taskIndex(job, taskNumber(task)), i);
        assert_int_equal(task->turn, i / 5);
        assert_int_equal(taskDueWallMs(job, task), 50000 + 1000 * (int64_t)task->turn);
        assert_int_equal(taskStepsDone(job, task), task->step != 2);
        assert_int_equal(taskFirst(job, task), i - task->at);
    }
    /* the second turn is done while the first stands still */
    const size_t last = 9;
    finish(&b, "j", TASK_NUMBER(1, 0, 0), 1);
    finish(&b, "j", TASK_NUMBER(1, 1, 0), 1);
    assert_false(taskStepsDone(job, &job->tasks[last]));
    finish(&b, "j", TASK_NUMBER(1, 0, 1), 1);
    assert_true(taskStepsDone(job, &job->tasks[last]));
    assert_false(taskStepsDone(job, &job->tasks[4]));
    assert_false(taskStepsDone(job, &job->tasks[14]));
    finish(&b, "j", TASK_NUMBER(1, 2, 0), 1);
    finish(&b, "j", TASK_NUMBER(1, 2, 1), 1);
    again(&b);
    job = tableJob(b.table, "j");
    assert_true(taskStepsDone(job, &job->tasks[last]));
    assert_false(taskStepsDone(job, &job->tasks[4]));
    assert_int_equal(job->phase, JOB_ACTIVE);
    for (uint64_t turn = 0; turn < 3; turn += 2)
        for (uint64_t step = 0; step < 3; step++)
            for (uint64_t at = 0; at < STEPS[step].count; at++)
                finish(&b, "j", TASK_NUMBER(turn, step, at), 1);
    assert_int_equal(job->phase, JOB_DONE);
    talloc_free(b.table);
}

/* Terms stay as they were accepted; the body alone says whether it is the same job. */
static void terms(void **state)
{
    (void)state;
    Board b = boardNew();
    JobSpec spec = turning("j");
    const JobTerms first = {.roundLimit = 4, .stretchMilli = 2200, .targetMs = 1000, .priority = 2, .kind = "std"};
    jobAdd(&b, &spec, first);
    const Job *job = jobAdd(&b, &spec, (JobTerms){.roundLimit = 9});
    assert_int_equal(job->terms.roundLimit, 4);
    spec.periodMs++;
    const JobAdd add = {spec, first};
    assert_int_equal(tell(&b, CHANGE_JOB_ADD, &JobAddShape, &add).status, STATUS_OTHER_BODY);
    again(&b);
    job = tableJob(b.table, "j");
    assert_string_equal(job->terms.kind, "std");
    assert_int_equal(job->terms.stretchMilli, 2200);
    assert_int_equal(job->spec.turns, 3);
    talloc_free(b.table);
}

/* Sums against a walk over everything, after each of many changes drawn by lot. */
static void sumsHold(const Board *b)
{
    Job *const *jobs;
    const size_t count = tableJobs(b->table, &jobs);
    size_t active = 0, waiting = 0, onW[3] = {0};
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        size_t open = 0, undone = 0, still = 0;
        assert_true(j == 0 || jobs[j - 1]->number < job->number);
        active += job->phase == JOB_ACTIVE;
        for (size_t t = 0; t < job->tasksCount; t++) {
            const JobTask *task = &job->tasks[t];
            open += !taskEnded(task->phase);
            undone += task->phase != TASK_DONE;
            still += task->phase == TASK_WAITING;
            assert_int_equal(taskOnWorker(task->phase), task->worker[0] != '\0');
            if (task->worker[0] == '\0')
                continue;
            const TaskOn *on;
            assert_true(task->onAt < tableOn(b->table, task->worker, &on));
            assert_ptr_equal(on[task->onAt].job, job);
            assert_int_equal(on[task->onAt].task, t);
            onW[task->worker[1] - '0']++;
        }
        waiting += still;
        assert_int_equal(job->sums.waiting, still);
        assert_int_equal(job->sums.open, open);
        assert_int_equal(job->sums.undone, undone);
        assert_int_equal(open > 0, job->phase == JOB_ACTIVE);
        for (size_t t = 0; t < job->tasksCount; t++) {
            bool done = true;
            for (size_t k = 0; k < job->tasksCount; k++)
                if (job->tasks[k].turn == job->tasks[t].turn && job->tasks[k].step != 2 && job->tasks[t].step == 2)
                    done &= job->tasks[k].phase == TASK_DONE;
            assert_int_equal(taskStepsDone(job, &job->tasks[t]), done);
        }
    }
    Job *const *those;
    assert_int_equal(tableActive(b->table, &those), active);
    assert_int_equal(tableWaiting(b->table, "c"), waiting);
    assert_int_equal(tableWaitingIn(b->table, "c", "q"), active);
    assert_int_equal(tableWaitingIn(b->table, "c", "other"), 0);
    size_t busy = 0;
    while (tableBusy(b->table, busy) != NULL)
        busy++;
    assert_int_equal(busy, (onW[0] > 0) + (onW[1] > 0) + (onW[2] > 0));
    for (int w = 0; w < 3; w++) {
        const char name[] = {'w', (char)('0' + w), '\0'};
        const TaskOn *on;
        assert_int_equal(tableOn(b->table, name, &on), onW[w]);
    }
}

static uint64_t draw(uint64_t *seed, uint64_t below)
{
    *seed = *seed * 6364136223846793005u + 1442695040888963407u;
    return (*seed >> 33) % below;
}

static void byLot(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 20; seed++) {
        uint64_t lot = seed;
        Board b = boardNew();
        for (int i = 0; i < 400; i++) {
            b.at_ms += (int64_t)draw(&lot, 50);
            const char id[] = {'j', (char)('0' + draw(&lot, 8)), '\0'};
            const char worker[] = {'w', (char)('0' + draw(&lot, 3)), '\0'};
            const Job *job = tableJob(b.table, id);
            const JobTask *task = job != NULL ? &job->tasks[draw(&lot, job->tasksCount)] : NULL;
            const uint64_t number = task != NULL ? taskNumber(task) : draw(&lot, 20);
            switch (draw(&lot, 12)) {
            case 0:
            case 1: {
                JobSpec spec = turning(id);
                STEPS[0].gang = (id[1] & 1) != 0;
                spec.lasting = id[1] == '7';
                const JobAdd add = {spec, {.roundLimit = 2}};
                tell(&b, CHANGE_JOB_ADD, &JobAddShape, &add);
                break;
            }
            case 2:
                if (draw(&lot, 4) == 0)
                    cancel(&b, id);
                break;
            case 3:
                if (draw(&lot, 4) == 0)
                    lose(&b, worker);
                break;
            case 4: {
                const Forget forget = {b.at_ms - 2000};
                tell(&b, CHANGE_FORGET, &ForgetShape, &forget);
                assert_true(tableOldestMs(b.table) >= forget.beforeMs);
                break;
            }
            case 5:
                if (draw(&lot, 3) == 0)
                    again(&b);
                break;
            case 6:
            case 7:
            case 8: {
                const uint64_t both[] = {number, number + 1};
                place(&b, id, both, 2, (task != NULL ? task->round : 0) + 1, worker, "");
                break;
            }
            default:
                say(&b, id, number, task != NULL ? task->round : 1, task != NULL ? task->worker : worker,
                    (RoundWord)draw(&lot, ROUND_WORD_COUNT), "s");
            }
            sumsHold(&b);
        }
        talloc_free(b.table);
    }
}

static void forgotten(void **state)
{
    (void)state;
    Board b = boardNew();
    const char *const ids[] = {"j0", "j1", "j2"};
    for (int i = 0; i < 3; i++) {
        const JobSpec spec = turning(ids[i]);
        jobAdd(&b, &spec, (JobTerms){0});
    }
    b.at_ms = 2000, cancel(&b, "j2");
    b.at_ms = 3000, cancel(&b, "j0");
    assert_int_equal(tableOldestMs(b.table), 2000);
    const Forget forget = {3000};
    assert_int_equal(tell(&b, CHANGE_FORGET, &ForgetShape, &forget).number, 1);
    assert_null(tableJob(b.table, "j2"));
    assert_non_null(tableJob(b.table, "j0"));
    Job *const *jobs;
    assert_int_equal(tableJobs(b.table, &jobs), 2);
    assert_int_equal(cancel(&b, "j2").status, STATUS_UNKNOWN_JOB);
    const JobSpec spec = turning("j2");
    assert_int_equal(jobAdd(&b, &spec, (JobTerms){0})->number, 4); /* no number is used twice */
    talloc_free(b.table);
}

/* --- a state as the release before the turns saved it ------------------------------- */

#define OLD_TASK_FIELDS(X)   \
    X(U64, step, 0)          \
    X(U64, phase, 0)         \
    X(U64, round, 0)         \
    X(U64, misses, 0)        \
    X(U64, losses, 0)        \
    X(TXT, worker, 0)        \
    X(U64, incarnation, 0)   \
    X(FLAG, assured, 0)      \
    X(I64, rest_until_ms, 0) \
    X(I64, changed_ms, 0)    \
    X(I64, startedMs, 0)     \
    X(TXT, text, 0)          \
    X(TXT, shunned, 0)
SHAPE(OldTask, OLD_TASK_FIELDS)
SHAPE_TABLE(OldTask, OLD_TASK_FIELDS)

#define OLD_ROOM_FIELDS(X) \
    X(U64, cpuMilli, 0)    \
    X(U64, memMb, 0)
SHAPE(OldRoom, OLD_ROOM_FIELDS)
SHAPE_TABLE(OldRoom, OLD_ROOM_FIELDS)

#define OLD_STEP_FIELDS(X) \
    X(TXT, name, 0)        \
    X(TXS, after, 0)       \
    X(U64, count, 0)       \
    X(FLAG, gang, 0)       \
    X(ONE, room, OldRoom)  \
    X(TXT, kind, 0)        \
    X(TXS, labels, 0)      \
    X(TXT, payload, 0)
SHAPE(OldStep, OLD_STEP_FIELDS)
SHAPE_TABLE(OldStep, OLD_STEP_FIELDS)

#define OLD_SPEC_FIELDS(X) \
    X(TXT, id, 0)          \
    X(TXT, cell, 0)        \
    X(TXT, tenant, 0)      \
    X(TXT, queue, 0)       \
    X(I64, priority, 0)    \
    X(U64, protection, 0)  \
    X(FLAG, copies, 0)     \
    X(I64, dueWallMs, 0)   \
    X(I64, delayMs, 0)     \
    X(U64, roundLimit, 0)  \
    X(LST, steps, OldStep)
SHAPE(OldSpec, OLD_SPEC_FIELDS)
SHAPE_TABLE(OldSpec, OLD_SPEC_FIELDS)

#define OLD_JOB_FIELDS(X) \
    X(ONE, spec, OldSpec) \
    X(U64, number, 0)     \
    X(U64, phase, 0)      \
    X(U64, ending, 0)     \
    X(I64, acceptedMs, 0) \
    X(I64, endedMs, 0)    \
    X(LST, tasks, OldTask)
SHAPE(OldJob, OLD_JOB_FIELDS)
SHAPE_TABLE(OldJob, OLD_JOB_FIELDS)

#define OLD_SAVED_FIELDS(X) \
    X(U64, lastNumber, 0)   \
    X(LST, jobs, OldJob)
SHAPE(OldSaved, OLD_SAVED_FIELDS)
SHAPE_TABLE(OldSaved, OLD_SAVED_FIELDS)

static void olderState(void **state)
{
    (void)state;
    const char *after[] = {"a"};
    OldStep steps[] = {{.name = "a", .count = 2}, {.name = "b", .count = 2, .after = after, .afterCount = 1}};
    OldTask tasks[] = {
        {.phase = TASK_DONE, .round = 1}, {.phase = TASK_RUNNING, .round = 1, .worker = "w"}, {.step = 1}, {.step = 1}};
    OldJob job = {
        .spec = {.id = "j", .cell = "c", .tenant = "t", .queue = "q", .roundLimit = 3, .steps = steps, .stepsCount = 2},
        .number = 5,
        .tasks = tasks,
        .tasksCount = 4};
    const OldSaved saved = {5, &job, 1};
    Board b = boardNew();
    void *mem = talloc_new(NULL);
    Bytes bytes = {0};
    shape_pack(&OldSavedShape, &saved, mem, &bytes);
    const ViewState view = tableState(b.table);
    assert_int_equal(view.load(view.arg, bytes), STATUS_OK);
    talloc_free(mem);
    const Job *known = tableJob(b.table, "j");
    assert_int_equal(known->tasks[3].at, 1);
    assert_int_equal(taskNumber(&known->tasks[3]), TASK_NUMBER(0, 1, 1));
    assert_int_equal(taskIndex(known, TASK_NUMBER(0, 1, 1)), 3);
    /* changes of that release name a task by its index */
    assert_int_equal(taskIndex(known, 3), 3);
    assert_int_equal(taskIndex(known, 4), 4);
    assert_false(taskStepsDone(known, &known->tasks[3]));
    say(&b, "j", 1, 1, "w", ROUND_DONE, "");
    assert_true(taskStepsDone(known, &known->tasks[3]));
    const uint64_t third = 2;
    assert_int_equal(place(&b, "j", &third, 1, 1, "w", ""), 1);
    assert_int_equal(known->tasks[2].phase, TASK_PLACED);
    assert_int_equal(tableLastNumber(b.table), 5);
    talloc_free(b.table);
}

/* --- workers ------------------------------------------------------------------------ */

static void workers(void **state)
{
    (void)state;
    Board b = boardNew();
    static const char *const NAMES[] = {"m", "z", "a", "q", "m", "b"};
    for (size_t i = 0; i < 6; i++) {
        const Worker worker = {.name = NAMES[i], .zone = i == 4 ? "new" : "old"};
        tell(&b, CHANGE_WORKER_SET, &WorkerShape, &worker);
    }
    again(&b);
    const Worker **list;
    void *mem = talloc_new(NULL);
    assert_int_equal(tableWorkers(b.table, mem, &list), 5);
    for (size_t i = 0; i < 5; i++)
        assert_true(i == 0 || strcmp(list[i - 1]->name, list[i]->name) < 0);
    assert_string_equal(tableWorker(b.table, "m")->zone, "new");
    assert_ptr_equal(tableWorker(b.table, "m"), list[2]);
    assert_null(tableBusy(b.table, 0));
    const JobSpec spec = turning("j");
    jobAdd(&b, &spec, (JobTerms){0});
    const uint64_t first = 0;
    place(&b, "j", &first, 1, 1, "unheard-of", "");
    assert_string_equal(tableBusy(b.table, 0), "unheard-of");
    assert_null(tableBusy(b.table, 1));
    lose(&b, "unheard-of");
    assert_null(tableBusy(b.table, 0));
    talloc_free(mem);
    talloc_free(b.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(turns),     cmocka_unit_test(terms),      cmocka_unit_test(byLot),
        cmocka_unit_test(forgotten), cmocka_unit_test(olderState), cmocka_unit_test(workers),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
