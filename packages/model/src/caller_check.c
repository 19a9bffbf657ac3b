/* Checks of all callers' jobs: none is idle while there is capacity for it, and at the end of the day each was read
 * with a clear answer. */
#include "caller.h"

#include <string.h>

#define IDLE_MS 3000 /* a job that is idle for this long breaks a rule */

/* Number of tasks of the step that would fit, over all available workers, if each task took twice its resources. */
static uint64_t count_places(const WorkerModels *worker_models, const GeneratedJobStep *step)
{
    uint64_t place_count = 0;
    for (size_t i = 0; i < worker_models->count; i++) {
        const WorkerModel *worker_model = &worker_models->list[i];
        const ZoneOrder *zone = sent_documents_zone(worker_models->sent_documents, worker_model->zone);
        if (!worker_model->up || worker_model->leaving || zone->drained_ms != 0 ||
            (step->needs != NULL && strcmp(step->needs, worker_model->label) != 0))
            continue;
        const Resources used = worker_model_used(worker_model);
        if (used.cpu_milli > worker_model->resources.cpu_milli || used.mem_mb > worker_model->resources.mem_mb)
            continue;
        const uint64_t cpu = (worker_model->resources.cpu_milli - used.cpu_milli) / (step->resources.cpu_milli * 2);
        const uint64_t mem = (worker_model->resources.mem_mb - used.mem_mb) / (step->resources.mem_mb * 2);
        const uint64_t here = cpu < mem ? cpu : mem;
        place_count += step->apart != 0 && here > step->apart ? step->apart : here;
    }
    return place_count;
}

/* Whether no task of the job runs, and one could start now. */
static bool could_start(const WorkerModels *worker_models, const JobRecord *job)
{
    const int64_t wall_ms = sim_wall_ms(worker_models->topology->world);
    for (size_t i = 0; i < job->task_count; i++)
        if (job->tasks[i].live != NULL || job_records_attempts_spent(job, job->tasks[i].task_outcome))
            return false;
    for (size_t i = 0; i < job->task_count; i++) {
        const TaskRecord *task = &job->tasks[i];
        const GeneratedJobStep *step = job_records_step(task);
        if (!task->task_outcome->done && wall_ms >= job_records_due_wall_ms(job, task->name.turn) &&
            job_records_ready(job, task->name.turn, task->name.step))
            return count_places(worker_models, step) >= (step->gang ? step->count : 1);
    }
    return false;
}

void callers_check_idle(Callers *callers, const WorkerModels *worker_models)
{
    Topology *topology = callers->topology;
    Resources used = {0}, all = {0};
    for (size_t i = 0; i < worker_models->count; i++) {
        const WorkerModel *worker_model = &worker_models->list[i];
        if (!worker_model->up)
            continue;
        const Resources worker_used = worker_model_used(worker_model);
        used = (Resources){used.cpu_milli + worker_used.cpu_milli, used.mem_mb + worker_used.mem_mb, 0};
        all = (Resources){all.cpu_milli + worker_model->resources.cpu_milli,
                          all.mem_mb + worker_model->resources.mem_mb, 0};
    }
    const bool has_capacity = used.cpu_milli * 2 < all.cpu_milli && used.mem_mb * 2 < all.mem_mb;
    for (size_t i = 0; i < callers->records->count; i++) {
        JobRecord *job = callers->records->jobs[i];
        const bool idle = has_capacity && job->accepted_ms != 0 && job->cancel_sent_ms == 0 && job->shown_ms == 0 &&
                          could_start(worker_models, job);
        if (!idle)
            job->idle_since_ms = 0;
        else if (job->idle_since_ms == 0)
            job->idle_since_ms = topology_now_ms(topology);
        else if (job->idle_since_ms > 0 && topology_now_ms(topology) - job->idle_since_ms >= IDLE_MS) {
            rules_record_break(topology->rules, RULE_LOST, topology_day_ms(topology),
                               "%s is idle although there is capacity", job->generated_job.id);
            job->idle_since_ms = -1; /* reported only once */
        }
    }
}

void callers_check_end(Callers *callers)
{
    Topology *topology = callers->topology;
    for (size_t i = 0; i < callers->records->count; i++) {
        const JobRecord *job = callers->records->jobs[i];
        if (job->accepted_ms != 0 && job->accepted_ms <= callers->finish_ms && job->confirmed_ms == 0 &&
            job->shown_ms == 0)
            rules_record_break(topology->rules, RULE_LOST, topology_day_ms(topology),
                               "no clear answer for %s, accepted by %s", job->generated_job.id, job->accepted_by->name);
    }
    if (callers->sent_after > 10 && callers->served_before * 4 >= callers->sent_before &&
        callers->served_after * 4 < callers->sent_after)
        rules_record_break(topology->rules, RULE_RECOVER, topology_day_ms(topology),
                           "%zu of %zu are served after the closing fault", callers->served_after, callers->sent_after);
}
