/* Preemption by a cell's policy: which running attempts make room for a candidate. */
#include "preemption.h"

#include <string.h>
#include <talloc.h>

#include "preemption_target.h"
#include "pushable_capacity.h"

/* The freed capacity is used only once the preempted attempts are known to be over. Capacity that is being given
 * up already counts: nothing more is preempted while that is enough. */
void preempt_for(Pass *pass, const Candidate *candidate)
{
    Scheduler *scheduler = pass->scheduler;
    const ConfigCell *cell = config_cell(pass->config, candidate->job->spec.cell);
    const Policy *policy = scheduler_policy(scheduler, cell);
    if (pass->pushes.attempts_count > 0)
        return;
    if (policy == policy_plain()) {
        preempt_target(pass, candidate);
        return;
    }
    if (candidate->count != 1 || pass->preempt_looks >= PREEMPT_LOOKS_MAX)
        return;
    const PlanNeed need = pass_need(candidate->job, candidate->job->tasks[candidate->first].step);
    const PolicySight mine = queue_see(scheduler->queue, &pass->sight, candidate->job, candidate->first);
    Job *const *jobs;
    const size_t count = table_active(scheduler->table, &jobs);
    for (size_t w = 0; w < pass->input.worker_count; w++) {
        const PlanWorker *worker = &pass->input.workers[w];
        if (!plan_able(worker, &need) || !room_fits(need.room, worker->room))
            continue;
        Room free = worker->free;
        AttemptId victims[PREEMPT_TASKS_MAX];
        size_t victim_count = 0, looked = 0;
        const TaskOn *on;
        const size_t on_count = table_on(scheduler->table, worker->name, &on);
        for (size_t i = 0; i < on_count; i++) {
            const JobTask *task = &on[i].job->tasks[on[i].task];
            if (task->phase == TASK_STOPPING)
                free = room_more(free, on[i].job->spec.steps[task->step].room);
        }
        if (room_fits(need.room, free))
            return; /* enough is being given up already */
        for (size_t j = count; j > 0 && !room_fits(need.room, free) && looked < PREEMPT_TASKS_MAX; j--) {
            const Job *job = jobs[j - 1];
            if (strcmp(job->spec.cell, candidate->job->spec.cell) != 0 || job == candidate->job)
                continue;
            for (size_t t = 0; t < job->tasks_count && !room_fits(need.room, free) && looked < PREEMPT_TASKS_MAX; t++) {
                const JobTask *task = &job->tasks[t];
                if (task->phase != TASK_RUNNING || strcmp(task->worker, worker->name) != 0)
                    continue;
                const PolicySight other = queue_see(scheduler->queue, &pass->sight, job, t);
                looked++;
                pass->preempt_looks++;
                if (!policy->may_preempt(policy->arg, &mine, &other))
                    continue;
                victims[victim_count++] =
                    (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(task), task->attempt};
                free = room_more(free, job->spec.steps[task->step].room);
            }
        }
        if (!room_fits(need.room, free))
            continue;
        pass->pushes.attempts = talloc_memdup(pass->mem, victims, victim_count * sizeof(*victims));
        pass->pushes.attempts_count = victim_count;
        pass->pushes.why = "pushed aside";
        return;
    }
}
