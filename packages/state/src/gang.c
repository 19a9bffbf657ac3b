/* Gangs: members, common end and shared checkpoint. */
#include "gang.h"

Gang gang_of(Job *job, const JobTask *task)
{
    const StepSpec *step = &job->spec.steps[task->step];
    if (!step->gang)
        return (Gang){&job->tasks[task - job->tasks], 1};
    return (Gang){&job->tasks[task_first_of_step(job, task)], (size_t)step->count};
}

void gang_stop_others(Table *table, Job *job, const JobTask *task, int64_t at_ms)
{
    const Gang gang = gang_of(job, task);
    for (size_t i = 0; i < gang.count; i++) {
        JobTask *other = &gang.tasks[i];
        if (other != task && (other->phase == TASK_PLACED || other->phase == TASK_RUNNING))
            task_set_phase(table, job, other, TASK_STOPPING, other->worker, at_ms, PHASE_BY_LEADER);
    }
}

void checkpoint_set(Job *job, JobTask *task, const char *saved)
{
    if (saved[0] == '\0' || !job->spec.steps[task->step].saves)
        return;
    const Gang gang = gang_of(job, task);
    for (size_t i = 0; i < gang.count; i++)
        job_set_text(job, &gang.tasks[i].saved, saved);
}
