/* What a worker model runs: orders, attempts that are due to end, ends. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "worker_model.h"

static const char *name_text(void *mem, const TaskName *name)
{
    return talloc_asprintf(mem, "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, name->job, name->turn, name->step, name->at);
}

/* By what they say: what follows the end of a text is left out. */
static bool name_equal(const TaskName *one, const TaskName *other)
{
    return strcmp(one->job, other->job) == 0 && one->turn == other->turn && one->step == other->step &&
           one->at == other->at;
}

/* --- ends ------------------------------------------------------------------------------------ */

/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t worker_model_saved_ms(const WorkerModelRun *run, bool all)
{
    const int64_t save_ms = run->worker_model->worker_models->topology->site->save_ms,
                  done_ms = worker_group_progress_ms(run->worker_group);
    const int64_t checkpoint_ms =
        all ? done_ms : run->worker_group->from_ms + (done_ms - run->worker_group->from_ms) / save_ms * save_ms;
    if (run->task->job->generated_job.saves && checkpoint_ms > run->task->fate->saved_ms)
        run->task->fate->saved_ms = checkpoint_ms;
    return checkpoint_ms;
}

/* The run is no more: out of all lists. */
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

static void highest_set(WorkerModel *worker_model, const TaskName *name, uint64_t attempt)
{
    const char *text = name_text(worker_model->mem, name);
    if ((uint64_t)(uintptr_t)map_get(worker_model->highest, text) < attempt)
        map_set(worker_model->highest, text, (void *)(uintptr_t)attempt);
}

static void end_add(WorkerModel *worker_model, TaskRecord *task, const TaskName *name, uint64_t attempt,
                    AttemptStatus word, const char *saved)
{
    worker_model->ends =
        talloc_realloc(worker_model->mem, worker_model->ends, WorkerModelEnd, (unsigned)(worker_model->end_count + 1));
    worker_model->ends[worker_model->end_count++] = (WorkerModelEnd){
        .reported = {++worker_model->end_number, *name, attempt, word, saved}, .task = task, .lapsed_since = false};
    highest_set(worker_model, name, attempt);
    worker_model->worker_models->records->kinds[word]++;
    topology_log(worker_model->worker_models->topology, name, "round %" PRIu64 " %s on %s, saved '%s'", attempt,
                 attempt_status_name(word), worker_model->boot, saved);
    worker_model->update_open = true;
    signal_raise(worker_model->loop, &worker_model->updates);
}

void worker_model_run_end(WorkerModelRun *run, AttemptStatus word)
{
    WorkerModel *worker_model = run->worker_model;
    TaskRecord *task = run->task;
    Fate *fate = task->fate;
    const int64_t now_ms = topology_now_ms(worker_model->worker_models->topology);
    worker_group_advance(run->worker_group);
    const bool stopped = word == ATTEMPT_STOPPED || word == ATTEMPT_BROKEN;
    const char *saved =
        word == ATTEMPT_DONE ? "" : job_records_saved(worker_model->mem, task, worker_model_saved_ms(run, stopped));
    if (word == ATTEMPT_DONE && !fate->done) {
        fate->done = true;
        fate->done_ms = now_ms;
    }
    if (word == ATTEMPT_FAILED)
        job_records_fail(fate, run->attempt);
    if (word == ATTEMPT_ISOLATED)
        isolated_check(run);
    end_add(worker_model, task, &task->name, run->attempt, word, saved);
    worker_model_run_drop(run);
}

/* One member has ended so: the others end as told. */
static void worker_group_end(WorkerModelRun *first, AttemptStatus word, AttemptStatus others)
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

/* --- what comes due ------------------------------------------------------------------------------ */

/* True when something ended: the list has changed. */
static bool due_one(WorkerModel *worker_model, int64_t now_ms)
{
    const Site *site = worker_model->worker_models->topology->site;
    const bool held = loop_now_ms(worker_model->loop) < worker_model->lease_until_ms;
    for (WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        worker_group_advance(run->worker_group);
        const WorkerGroup *worker_group = run->worker_group;
        if (!held) {
            for (size_t i = 0; i < worker_model->end_count; i++)
                worker_model->ends[i].lapsed_since = true;
            worker_group_end(run, ATTEMPT_LAPSED, ATTEMPT_BROKEN);
            return true;
        }
        if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms) {
            worker_group_end(run, ATTEMPT_STOPPED, ATTEMPT_BROKEN);
            return true;
        }
        if (!worker_group->begun && now_ms - run->began_ms >= site->gang_ms) {
            worker_model_run_end(run, ATTEMPT_ISOLATED);
            return true;
        }
        if (worker_group->begun && worker_group->done_us >= worker_group->fail_us) {
            worker_group_end(worker_group->failing, ATTEMPT_FAILED, ATTEMPT_BROKEN);
            return true;
        }
        if (worker_group->begun && worker_group->done_us >= worker_group->work_us) {
            worker_group_end(run, ATTEMPT_DONE, ATTEMPT_DONE);
            return true;
        }
    }
    return false;
}

/* On the worker's clock, which may be slow: it looks early rather than late. */
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
        while (due_one(worker_model, now_ms))
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

static void stop_take(WorkerModel *worker_model, const WorkerModelRunning *stop)
{
    WorkerModelRun *run = run_find(worker_model, &stop->name, stop->attempt);
    highest_set(worker_model, &stop->name, stop->attempt);
    topology_log(worker_model->worker_models->topology, &stop->name, "round %" PRIu64 " is to stop on %s%s",
                 stop->attempt, worker_model->boot, run == NULL ? ", which does not run it" : "");
    if (run == NULL || run->stop_at_ms != 0)
        return;
    RandomSource random_source = random_source_of(stop->attempt, run->task->name.job, worker_model->sequence);
    run->stop_at_ms = topology_now_ms(worker_model->worker_models->topology) +
                      random_source_span(&random_source, 1, worker_model->worker_models->topology->site->stop_ms);
    signal_raise(worker_model->loop, &worker_model->work);
}

static void start_take(WorkerModel *worker_model, const WorkerModelStart *start)
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
        (uint64_t)(uintptr_t)map_get(worker_model->highest, name_text(worker_model->mem, &start->name));
    const Resources used = worker_model_used(worker_model);
    bool fits = true;
    if (task != NULL && site->guards != 0) {
        const Resources resources = job_records_step(task)->resources;
        fits = used.cpu_milli + resources.cpu_milli <= worker_model->resources.cpu_milli &&
               used.mem_mb + resources.mem_mb <= worker_model->resources.mem_mb &&
               used.gpu + resources.gpu <= worker_model->resources.gpu;
    }
    if (start->attempt <= highest || !fits) {
        end_add(worker_model, task, &start->name, start->attempt, ATTEMPT_REFUSED, "");
        return;
    }
    if (!start_check(worker_model, start))
        return;
    worker_models->records->starts++;
    topology_log(worker_models->topology, &start->name, "round %" PRIu64 " starts on %s (%s), saved '%s'",
                 start->attempt, worker_model->boot, worker_model->side->name, start->saved);
    WorkerModelRun *run = talloc_zero(worker_model->mem, WorkerModelRun);
    *run = (WorkerModelRun){.next = worker_model->runs,
                            .next_live = task->live,
                            .worker_model = worker_model,
                            .task = task,
                            .attempt = start->attempt};
    run->began_ms = topology_now_ms(worker_models->topology);
    worker_model->runs = run;
    task->live = run;
    const int64_t from_ms = job_records_progress(task, start->saved);
    worker_group_join(worker_models, run, from_ms > 0 ? from_ms : 0);
}

static void seen_take(WorkerModel *worker_model, uint64_t seen)
{
    size_t kept = 0;
    for (size_t i = 0; i < worker_model->end_count; i++) {
        if (worker_model->ends[i].reported.number <= seen)
            end_noted(worker_model, &worker_model->ends[i]);
        else
            worker_model->ends[kept++] = worker_model->ends[i];
    }
    worker_model->end_count = kept;
}

void worker_model_orders_take(WorkerModel *worker_model, const WorkerModelOrders *orders, int64_t sent_ms)
{
    const Site *site = worker_model->worker_models->topology->site;
    if (orders->fence < worker_model->fence)
        return;
    worker_model->fence = orders->fence;
    for (size_t i = 0; i < worker_model->end_count && loop_now_ms(worker_model->loop) >= worker_model->lease_until_ms;
         i++)
        worker_model->ends[i].lapsed_since = true;
    seen_take(worker_model, orders->seen);
    for (size_t i = 0; i < orders->stop_count; i++)
        stop_take(worker_model, &orders->stops[i]);
    if (orders->lease_ms <= 0)
        return;
    const int64_t lease_ms = orders->lease_ms < site->lease_max_ms ? orders->lease_ms : site->lease_max_ms;
    /* the lease may have lapsed: that is acted on before a new one counts */
    while (due_one(worker_model, topology_now_ms(worker_model->worker_models->topology)))
        ;
    if (sent_ms + lease_ms > worker_model->lease_until_ms)
        worker_model->lease_until_ms = sent_ms + lease_ms;
    for (size_t i = 0; i < orders->start_count && loop_now_ms(worker_model->loop) < worker_model->lease_until_ms; i++)
        start_take(worker_model, &orders->starts[i]);
    signal_raise(worker_model->loop, &worker_model->work);
}
