#include <string.h>
#include <talloc.h>

#include "pass.h"

/* Work in a zone that is being emptied with a move: one task at a time is stopped
 * where another worker has room for it now and the plan would hold with it there.
 * Its stop is confirmed before it starts again; gangs and what nobody else can
 * run stay until they end. */
void moveOne(Pass *pass)
{
    Core *core = pass->core;
    Job *const *jobs;
    const size_t count = tableActive(core->table, &jobs);
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasksCount; t++) {
            const Job *job = jobs[j];
            const JobTask *task = &job->tasks[t];
            const StepSpec *step = &job->spec.steps[task->step];
            const Worker *from = taskOnWorker(task->phase) ? tableWorker(core->table, task->worker) : NULL;
            if (from == NULL || !tableDrainMoves(core->table, from->zone))
                continue;
            if (task->phase == TASK_STOPPING)
                return; /* the last one is on its way */
            const PlanNeed need = passNeed(job, task->step);
            const int at = task->phase == TASK_RUNNING && !step->gang && job->ending == JOB_ACTIVE
                               ? planChoose(pass->input.workers, pass->input.workerCount, &need, NULL)
                               : -1;
            if (at < 0)
                continue;
            if (job->spec.protection == PROTECTION_PROTECTED) {
                PlanWorker *to = &pass->input.workers[at];
                const Room before = to->free;
                to->free = roomLess(to->free, step->room);
                passCount(pass, &job->spec, &need, (size_t)at);
                const bool holds = passHolds(pass);
                pass->input.taskCount--;
                to->free = before;
                if (!holds)
                    continue;
            }
            RoundId round = {job->spec.id, taskNumber(task), task->round};
            const StopList list = {&round, 1, "moved off an emptied zone"};
            Verdict verdict;
            if (coreSubmit(core, pass->mem, CHANGE_STOP, &StopListShape, &list, &verdict, NULL) == STATUS_OK)
                core->counts.moved += verdict.number;
            return;
        }
}
