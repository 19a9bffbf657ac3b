/* Why a task waits, and when an occurrence of a timed job is due. */
#include "queue/queue.h"

const char *wait_word(WaitReason reason)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        WAIT_LIST(X)
#undef X
    };
    return WORDS[reason];
}

const char *queue_kind(const Job *job, uint64_t step)
{
    const char *kind = job->spec.steps[step].kind;
    return kind[0] != '\0' || job->terms.kind == NULL ? kind : job->terms.kind;
}

/* The wall time, in ms, before which the occurrence must not start; 0: none. Deliberately does not use
 * task_due_wall_ms: the simulator uses that function to check what is decided here. */
static int64_t occurrence_wall_ms(const Job *job, uint64_t occurrence)
{
    const JobSpec *spec = &job->spec;
    const int64_t occurrence_ms =
        spec->first_wall_ms != 0 ? spec->first_wall_ms + (int64_t)occurrence * spec->period_ms : 0;
    return occurrence_ms > spec->due_wall_ms ? occurrence_ms : spec->due_wall_ms;
}

bool queue_due(const Job *job, uint64_t occurrence, QueueClock clock)
{
    return clock.wall_ms >= occurrence_wall_ms(job, occurrence) &&
           clock.log_ms >= job->accepted_ms + job->spec.delay_ms;
}

int64_t queue_due_ms(const Job *job, uint64_t occurrence, QueueClock clock)
{
    const int64_t wall_ms = occurrence_wall_ms(job, occurrence), accepted_ms = job->accepted_ms + job->spec.delay_ms;
    const int64_t due_ms = clock.log_ms - (clock.wall_ms - wall_ms);
    return wall_ms != 0 && due_ms > accepted_ms ? due_ms : accepted_ms;
}

static uint64_t quota_remaining(uint64_t quota, uint64_t used)
{
    if (quota == 0)
        return UINT64_MAX;
    return quota > used ? quota - used : 0;
}

Resources quota_left(const Table *table, const Config *config, const Job *job)
{
    const ConfigCell *cell = config_cell(config, job->spec.cell);
    const ConfigTenant *tenant = cell != NULL ? config_tenant(cell, job->spec.tenant) : NULL;
    const Resources quota = tenant != NULL ? tenant->quota : job->terms.quota;
    const Resources used = table_used_by_tenant(table, job->spec.cell, job->spec.tenant);
    return (Resources){quota_remaining(quota.cpu_milli, used.cpu_milli), quota_remaining(quota.mem_mb, used.mem_mb),
                       quota_remaining(quota.gpu, used.gpu)};
}

WaitReason queue_wait(const Job *job, size_t task, QueueClock clock, Resources left)
{
    const JobTask *job_task = &job->tasks[task];
    const StepSpec *step = &job->spec.steps[job_task->step];
    if (!queue_due(job, job_task->turn, clock))
        return WAIT_DUE;
    if (!task_steps_done(job, job_task))
        return WAIT_STEPS;
    if (clock.log_ms < job_task->rest_until_ms)
        return WAIT_REST;
    const size_t first = task_first_of_step(job, job_task);
    uint64_t waiting_members = step->gang ? 0 : 1;
    for (size_t i = first; i < first + step->count && step->gang; i++) {
        if (job->tasks[i].phase != TASK_WAITING && !task_ended(job->tasks[i].phase))
            return WAIT_GANG;
        waiting_members += job->tasks[i].phase == TASK_WAITING;
    }
    return resources_fits(resources_multiply(step->resources, waiting_members), left) ? WAIT_READY : WAIT_QUOTA;
}
