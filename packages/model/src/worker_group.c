/* Worker groups: the duration of work, and the resources that it uses. */
#include "worker_model.h"

#include <string.h>
#include <talloc.h>

#define ENDLESS_US (INT64_C(1) << 60) /* work of a task that runs until it is cancelled */

Resources worker_model_used(const WorkerModel *worker_model)
{
    Resources used = {0};
    for (const WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        const Resources resources = job_records_step(run->task)->resources;
        used =
            (Resources){used.cpu_milli + resources.cpu_milli, used.mem_mb + resources.mem_mb, used.gpu + resources.gpu};
    }
    return used;
}

void worker_group_advance(WorkerGroup *worker_group)
{
    const int64_t now_ms = topology_now_ms(worker_group->worker_models->topology);
    if (worker_group->begun)
        worker_group->done_us += (now_ms - worker_group->last_ms) * worker_group->rate;
    worker_group->last_ms = now_ms;
}

/* Work is slower away from its data or over several racks; the slowest member determines the pace. */
void worker_group_update_rate(WorkerGroup *worker_group)
{
    const Site *site = worker_group->worker_models->topology->site;
    const GeneratedJobStep *step = job_records_step(worker_group->members[0]->task);
    worker_group_advance(worker_group);
    int64_t rate = INT64_MAX;
    bool far = false;
    for (size_t i = 0; i < worker_group->count; i++) {
        const WorkerModel *worker_model = worker_group->members[i]->worker_model;
        const int64_t own_rate = worker_model->hangs ? 0 : 10 * worker_model->speed / worker_model->slow_factor;
        rate = own_rate < rate ? own_rate : rate;
        far |= step->near != NULL && strcmp(step->near, worker_model->rack) != 0;
        far |= step->same_rack && strcmp(worker_model->rack, worker_group->members[0]->worker_model->rack) != 0;
    }
    worker_group->rate = far ? rate * 100 / site->far_percent : rate;
}

/* Draws whether and at which progress an attempt fails; the result is always the same for the same attempt. */
static void draw_failure(WorkerGroup *worker_group, WorkerModelRun *run)
{
    const JobRecord *job = run->task->job;
    RandomSource random_source =
        random_source_new(bytes_crc(&run->task->name, sizeof(run->task->name)), job->generated_job.id, run->attempt);
    const bool fails = job->poison || (int64_t)(random_source_next(&random_source) % 1000) < job->kind->fail_milli ||
                       (job->generated_job.lasting && random_source_percent(&random_source, 20)) ||
                       random_source_percent(&random_source, run->worker_model->failure_percent);
    const int64_t span = job->generated_job.lasting ? 15000000 : worker_group->work_us;
    const int64_t at = span * random_source_between(&random_source, 10, 90) / 100;
    if (fails && at < worker_group->fail_us) {
        worker_group->fail_us = at;
        worker_group->failing = run;
    }
}

/* Returns the group of the attempt's gang, or null if no other member has started. */
static WorkerGroup *worker_group_find(const WorkerModelRun *run)
{
    const TaskRecord *task = run->task;
    const JobRecord *job = task->job;
    const size_t first = (size_t)task->name.turn * job->tasks_per_turn + job->first_task_of_step[task->name.step];
    for (size_t i = first; job_records_step(task)->gang && i < first + job_records_step(task)->count; i++)
        for (const WorkerModelRun *member = job->tasks[i].live; member != NULL; member = member->next_live)
            if (member->attempt == run->attempt && member->worker_group != NULL)
                return member->worker_group;
    return NULL;
}

void worker_group_join(WorkerModels *worker_models, WorkerModelRun *run, int64_t from_ms)
{
    const GeneratedJobStep *step = job_records_step(run->task);
    const JobRecord *job = run->task->job;
    WorkerGroup *worker_group = worker_group_find(run);
    if (worker_group == NULL) {
        worker_group = talloc_zero(worker_models, WorkerGroup);
        worker_group->worker_models = worker_models;
        worker_group->attempt = run->attempt;
        worker_group->needed = step->gang ? step->count : 1;
        worker_group->work_us = job->generated_job.lasting ? ENDLESS_US : step->work_ms * 1000;
        worker_group->from_ms = from_ms;
        /* restoring a checkpoint takes time, which is added to the work still to be done */
        worker_group->done_us = from_ms * 1000 - (from_ms > 0 ? worker_models->topology->site->restore_ms * 1000 : 0);
        worker_group->fail_us = INT64_MAX;
        worker_group->last_ms = topology_now_ms(worker_models->topology);
    }
    run->worker_group = worker_group;
    if (worker_group->count < sizeof(worker_group->members) / sizeof(worker_group->members[0]))
        worker_group->members[worker_group->count++] = run;
    draw_failure(worker_group, run);
    worker_group_advance(worker_group);
    worker_group->begun |= worker_group->count == worker_group->needed;
    worker_group_update_rate(worker_group);
    for (size_t i = 0; i < worker_group->count; i++)
        signal_raise(worker_group->members[i]->worker_model->loop, &worker_group->members[i]->worker_model->work);
}

void worker_group_leave(WorkerModelRun *run)
{
    WorkerGroup *worker_group = run->worker_group;
    worker_group_advance(worker_group);
    for (size_t i = 0; i < worker_group->count; i++)
        if (worker_group->members[i] == run) {
            worker_group->members[i] = worker_group->members[--worker_group->count];
            break;
        }
    if (worker_group->failing == run)
        worker_group->fail_us = INT64_MAX;
    run->worker_group = NULL;
    if (worker_group->count == 0)
        talloc_free(worker_group);
    else
        worker_group_update_rate(worker_group);
}

int64_t worker_group_next_ms(const WorkerGroup *worker_group)
{
    if (!worker_group->begun || worker_group->rate <= 0 || worker_group->work_us == ENDLESS_US)
        return worker_group->begun && worker_group->rate > 0 && worker_group->fail_us < INT64_MAX
                   ? worker_group->last_ms +
                         (worker_group->fail_us - worker_group->done_us + worker_group->rate - 1) / worker_group->rate
                   : INT64_MAX;
    const int64_t until_us =
        worker_group->fail_us < worker_group->work_us ? worker_group->fail_us : worker_group->work_us;
    return until_us <= worker_group->done_us
               ? worker_group->last_ms
               : worker_group->last_ms +
                     (until_us - worker_group->done_us + worker_group->rate - 1) / worker_group->rate;
}

int64_t worker_group_progress_ms(const WorkerGroup *worker_group)
{
    return worker_group->done_us / 1000 > worker_group->from_ms ? worker_group->done_us / 1000 : worker_group->from_ms;
}
