/* The attempts of a worker model: orders, attempts that are due to end, and ends. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "worker_model.h"

static const char *name_to_text(void *mem, const TaskName *name)
{
    return talloc_asprintf(mem, "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, name->job, name->turn, name->step, name->at);
}

/* Compares the contents of the names: the bytes after the end of a text do not count. */
static bool name_equal(const TaskName *name, const TaskName *other)
{
    return strcmp(name->job, other->job) == 0 && name->turn == other->turn && name->step == other->step &&
           name->at == other->at;
}

/* --- ends ------------------------------------------------------------------------------------ */

int64_t worker_model_saved_ms(const WorkerModelRun *run, bool all)
{
    const int64_t save_ms = run->worker_model->worker_models->topology->site->save_ms,
                  done_ms = worker_group_progress_ms(run->worker_group);
    const int64_t checkpoint_ms =
        all ? done_ms : run->worker_group->from_ms + (done_ms - run->worker_group->from_ms) / save_ms * save_ms;
    if (run->task->job->generated_job.saves && checkpoint_ms > run->task->task_outcome->saved_ms)
        run->task->task_outcome->saved_ms = checkpoint_ms;
    return checkpoint_ms;
}

void worker_model_run_drop(WorkerModelRun *run)
{
    WorkerModelRun **at = &run->worker_model->runs;
    while (*at != run)
        at = &(*at)->next;
    *at = run->next;
    at = &run->task->live;
    while (*at != run)
        at = &(*at)->next_live;
    *at = run->next_live;
    if (run->worker_group != NULL)
        worker_group_leave(run);
    talloc_free(run);
}

static void raise_highest(WorkerModel *worker_model, const TaskName *name, uint64_t attempt)
{
    const char *text = name_to_text(worker_model->mem, name);
    if ((uint64_t)(uintptr_t)map_get(worker_model->highest, text) < attempt)
        map_set(worker_model->highest, text, (void *)(uintptr_t)attempt);
}

static void add_end(WorkerModel *worker_model, TaskRecord *task, const TaskName *name, uint64_t attempt,
                    AttemptStatus word, const char *saved)
{
    worker_model->ends =
        talloc_realloc(worker_model->mem, worker_model->ends, WorkerModelEnd, (unsigned)(worker_model->end_count + 1));
    worker_model->ends[worker_model->end_count++] = (WorkerModelEnd){
        .reported = {++worker_model->end_number, *name, attempt, word, saved}, .task = task, .lapsed_after = false};
    raise_highest(worker_model, name, attempt);
    worker_model->worker_models->records->ends_by_word[word]++;
    topology_log_task(worker_model->worker_models->topology, name, "attempt %" PRIu64 " %s on %s, saved '%s'", attempt,
                      attempt_status_name(word), worker_model->boot, saved);
    worker_model->update_open = true;
    signal_raise(worker_model->loop, &worker_model->updates);
}

void worker_model_run_end(WorkerModelRun *run, AttemptStatus word)
{
    WorkerModel *worker_model = run->worker_model;
    TaskRecord *task = run->task;
    TaskOutcome *task_outcome = task->task_outcome;
    const int64_t now_ms = topology_now_ms(worker_model->worker_models->topology);
    worker_group_advance(run->worker_group);
    const bool stopped = word == ATTEMPT_STOPPED || word == ATTEMPT_BROKEN;
    const char *saved = word == ATTEMPT_DONE
                            ? ""
                            : job_records_checkpoint_text(worker_model->mem, task, worker_model_saved_ms(run, stopped));
    if (word == ATTEMPT_DONE && !task_outcome->done) {
        task_outcome->done = true;
        task_outcome->done_ms = now_ms;
    }
    if (word == ATTEMPT_FAILED)
        job_records_add_failure(task_outcome, run->attempt);
    if (word == ATTEMPT_ISOLATED)
        check_isolated_end(run);
    add_end(worker_model, task, &task->name, run->attempt, word, saved);
    worker_model_run_drop(run);
}

/* Ends the run with word and, if its group has begun, all other members with the word others. */
static void end_run_and_group(WorkerModelRun *first, AttemptStatus word, AttemptStatus others)
{
    WorkerModelRun *members[sizeof(first->worker_group->members) / sizeof(first->worker_group->members[0])];
    WorkerGroup *worker_group = first->worker_group;
    const size_t count = worker_group->count;
    const bool begun = worker_group->begun;
    for (size_t i = 0; i < count; i++)
        members[i] = worker_group->members[i];
    worker_model_run_end(first, word);
    for (size_t i = 0; i < count && begun; i++)
        if (members[i] != first)
            worker_model_run_end(members[i], others);
}

/* --- attempts that are due to end ------------------------------------------------------------ */

/* Ends one run, and its group, if it is due; returns true if there was one: the list has changed then. */
static bool end_one_due(WorkerModel *worker_model, int64_t now_ms)
{
    const Site *site = worker_model->worker_models->topology->site;
    const bool lease_valid = loop_now_ms(worker_model->loop) < worker_model->lease_until_ms;
    for (WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        worker_group_advance(run->worker_group);
        const WorkerGroup *worker_group = run->worker_group;
        if (!lease_valid) {
            for (size_t i = 0; i < worker_model->end_count; i++)
                worker_model->ends[i].lapsed_after = true;
            end_run_and_group(run, ATTEMPT_LAPSED, ATTEMPT_BROKEN);
            return true;
        }
        if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms) {
            end_run_and_group(run, ATTEMPT_STOPPED, ATTEMPT_BROKEN);
            return true;
        }
        if (!worker_group->begun && now_ms - run->began_ms >= site->gang_ms) {
            worker_model_run_end(run, ATTEMPT_ISOLATED);
            return true;
        }
        if (worker_group->begun && worker_group->done_us >= worker_group->fail_us) {
            end_run_and_group(worker_group->failing, ATTEMPT_FAILED, ATTEMPT_BROKEN);
            return true;
        }
        if (worker_group->begun && worker_group->done_us >= worker_group->work_us) {
            end_run_and_group(run, ATTEMPT_DONE, ATTEMPT_DONE);
            return true;
        }
    }
    return false;
}

/* Returns when the next run is due, by the worker's clock. If that clock is slow, the run ends later, by the clock's
 * drift. */
static int64_t next_due_ms(const WorkerModel *worker_model, int64_t now_ms)
{
    const int64_t own_ms = loop_now_ms(worker_model->loop);
    int64_t wait_ms = worker_model->runs != NULL ? worker_model->lease_until_ms - own_ms : 3600000;
    for (const WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        int64_t due_ms = worker_group_next_ms(run->worker_group);
        if (run->stop_at_ms != 0 && run->stop_at_ms < due_ms)
            due_ms = run->stop_at_ms;
        if (!run->worker_group->begun && run->began_ms + worker_model->worker_models->topology->site->gang_ms < due_ms)
            due_ms = run->began_ms + worker_model->worker_models->topology->site->gang_ms;
        if (due_ms - now_ms < wait_ms)
            wait_ms = due_ms - now_ms;
    }
    return own_ms + (wait_ms > 1 ? wait_ms : 1);
}

void worker_model_work_main(void *arg)
{
    WorkerModel *worker_model = arg;
    for (;;) {
        const int64_t now_ms = topology_now_ms(worker_model->worker_models->topology);
        while (end_one_due(worker_model, now_ms))
            ;
        signal_wait(worker_model->loop, &worker_model->work, next_due_ms(worker_model, now_ms));
    }
}

/* --- orders ------------------------------------------------------------------------------------------ */

static WorkerModelRun *run_find(const WorkerModel *worker_model, const TaskName *name, uint64_t attempt)
{
    for (WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next)
        if (run->attempt == attempt && run->task->name.turn == name->turn && run->task->name.step == name->step &&
            run->task->name.at == name->at && strcmp(run->task->name.job, name->job) == 0)
            return run;
    return NULL;
}

static void apply_stop(WorkerModel *worker_model, const WorkerModelRunning *stop)
{
    WorkerModelRun *run = run_find(worker_model, &stop->name, stop->attempt);
    raise_highest(worker_model, &stop->name, stop->attempt);
    topology_log_task(worker_model->worker_models->topology, &stop->name, "attempt %" PRIu64 " is to stop on %s%s",
                      stop->attempt, worker_model->boot, run == NULL ? ", which does not run it" : "");
    if (run == NULL || run->stop_at_ms != 0)
        return;
    RandomSource random_source = random_source_new(stop->attempt, run->task->name.job, worker_model->sequence);
    run->stop_at_ms = topology_now_ms(worker_model->worker_models->topology) +
                      random_source_between(&random_source, 1, worker_model->worker_models->topology->site->stop_ms);
    signal_raise(worker_model->loop, &worker_model->work);
}

static void apply_start(WorkerModel *worker_model, const WorkerModelStart *start)
{
    WorkerModels *worker_models = worker_model->worker_models;
    const Site *site = worker_models->topology->site;
    if (run_find(worker_model, &start->name, start->attempt) != NULL)
        return;
    for (size_t i = 0; i < worker_model->end_count; i++)
        if (name_equal(&worker_model->ends[i].reported.name, &start->name) &&
            worker_model->ends[i].reported.attempt == start->attempt)
            return;
    TaskRecord *task = job_records_task(worker_models->records, &start->name);
    const uint64_t highest =
        (uint64_t)(uintptr_t)map_get(worker_model->highest, name_to_text(worker_model->mem, &start->name));
    const Resources used = worker_model_used(worker_model);
    bool fits = true;
    if (task != NULL && site->guards != 0) {
        const Resources resources = job_records_step(task)->resources;
        fits = used.cpu_milli + resources.cpu_milli <= worker_model->resources.cpu_milli &&
               used.mem_mb + resources.mem_mb <= worker_model->resources.mem_mb &&
               used.gpu + resources.gpu <= worker_model->resources.gpu;
    }
    if (start->attempt <= highest || !fits) {
        add_end(worker_model, task, &start->name, start->attempt, ATTEMPT_REFUSED, "");
        return;
    }
    if (!check_start(worker_model, start))
        return;
    worker_models->records->starts++;
    topology_log_task(worker_models->topology, &start->name, "attempt %" PRIu64 " starts on %s (%s), saved '%s'",
                      start->attempt, worker_model->boot, worker_model->agent_node->name, start->saved);
    WorkerModelRun *run = talloc_zero(worker_model->mem, WorkerModelRun);
    *run = (WorkerModelRun){.next = worker_model->runs,
                            .next_live = task->live,
                            .worker_model = worker_model,
                            .task = task,
                            .attempt = start->attempt};
    run->began_ms = topology_now_ms(worker_models->topology);
    worker_model->runs = run;
    task->live = run;
    const int64_t from_ms = job_records_checkpoint_ms(task, start->saved);
    worker_group_join(worker_models, run, from_ms > 0 ? from_ms : 0);
}

static void apply_acknowledged(WorkerModel *worker_model, uint64_t seen)
{
    size_t remaining = 0;
    for (size_t i = 0; i < worker_model->end_count; i++) {
        if (worker_model->ends[i].reported.number <= seen)
            check_acknowledged_end(worker_model, &worker_model->ends[i]);
        else
            worker_model->ends[remaining++] = worker_model->ends[i];
    }
    worker_model->end_count = remaining;
}

void worker_model_apply_orders(WorkerModel *worker_model, const WorkerModelAnswer *orders, int64_t sent_ms)
{
    const Site *site = worker_model->worker_models->topology->site;
    if (orders->fence < worker_model->fence)
        return;
    worker_model->fence = orders->fence;
    for (size_t i = 0; i < worker_model->end_count && loop_now_ms(worker_model->loop) >= worker_model->lease_until_ms;
         i++)
        worker_model->ends[i].lapsed_after = true;
    apply_acknowledged(worker_model, orders->acknowledged_end);
    for (size_t i = 0; i < orders->stop_count; i++)
        apply_stop(worker_model, &orders->stops[i]);
    if (orders->lease_ms <= 0)
        return;
    const int64_t lease_ms = orders->lease_ms < site->lease_max_ms ? orders->lease_ms : site->lease_max_ms;
    /* The lease may have expired: act on that before a new lease counts. */
    while (end_one_due(worker_model, topology_now_ms(worker_model->worker_models->topology)))
        ;
    if (sent_ms + lease_ms > worker_model->lease_until_ms)
        worker_model->lease_until_ms = sent_ms + lease_ms;
    for (size_t i = 0; i < orders->start_count && loop_now_ms(worker_model->loop) < worker_model->lease_until_ms; i++)
        apply_start(worker_model, &orders->starts[i]);
    signal_raise(worker_model->loop, &worker_model->work);
}
