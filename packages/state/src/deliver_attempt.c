/* Delivery of ATTEMPTS, the updates of agents on attempts. */
#include "deliver.h"

#include <string.h>

#include "attempt.h"
#include "base/constants.h"
#include "orphan.h"

/* Delivers an update on an attempt other than the task's current one: an older one, or one whose placement the disks
 * lost. */
static void deliver_other_attempt(Table *table, Job *job, JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    if (update->attempt > task->attempt) {
        if (task->phase != TASK_WAITING || update->attempt - task->attempt > ATTEMPTS_LOST_MAX)
            return;
        task->attempt = update->attempt; /* the next attempt gets a higher number */
        if (update->word == ATTEMPT_RUNNING) {
            /* The disks lost the placement; the agent that runs the attempt reports it again. */
            task_set_phase(table, job, task, TASK_RUNNING, update->worker, at_ms, PHASE_BY_LEADER);
            if (job->ending != JOB_ACTIVE)
                task_set_phase(table, job, task, TASK_STOPPING, update->worker, at_ms, PHASE_BY_LEADER);
            return;
        }
    }
    if (update->word == ATTEMPT_FAILED && job->ending == JOB_ACTIVE) {
        count_failed_attempt(job, task, update->attempt);
        if (attempts_exhausted(job, task))
            job_fail(table, job, task, at_ms);
        job_end_if_complete(table, job, at_ms);
    }
    if (update->attempt == task->attempt && task->phase == TASK_WAITING)
        checkpoint_set(job, task, update->saved);
}

/* Sets the start of the first attempt, in log time, computed from the run time that the agent reports. */
static void set_started(JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    if (task->started_ms == 0 && (update->word == ATTEMPT_RUNNING || update->ran_ms > 0))
        task->started_ms = update->ran_ms < at_ms ? at_ms - update->ran_ms : at_ms;
}

static void deliver_running(Table *table, Job *job, JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    checkpoint_set(job, task, update->saved);
    if (task->phase != TASK_PLACED)
        return;
    task_set_phase(table, job, task, TASK_RUNNING, task->worker, at_ms, PHASE_BY_LEADER);
    set_started(task, update, at_ms);
}

static void deliver_one_update(Table *table, const Record *change, const AttemptUpdate *update)
{
    Job *job = map_get(table->by_id, update->job);
    if (job == NULL && update->word == ATTEMPT_DONE)
        orphan_add(table, update->job, update->task, update->attempt, change->at_ms);
    const size_t at = job != NULL ? task_index(job, update->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return;
    JobTask *task = &job->tasks[at];
    if (task_ended(task->phase))
        return;
    if (update->word == ATTEMPT_DONE && !job->spec.lasting) {
        /* The task is done, whichever attempt completed it. A newer attempt is removed from the orders of its agent,
         * which then stops it. */
        job_set_text(job, &task->text, update->text);
        if (update->attempt == task->attempt)
            set_started(task, update, change->at_ms);
        attempt_done(table, job, task, update->attempt, update->worker, change->at_ms);
        job_end_if_complete(table, job, change->at_ms);
        return;
    }
    if (update->attempt != task->attempt || !task_on_worker(task->phase) || strcmp(update->worker, task->worker) != 0) {
        deliver_other_attempt(table, job, task, update, change->at_ms);
        return;
    }
    if (update->word == ATTEMPT_RUNNING) {
        deliver_running(table, job, task, update, change->at_ms);
        return;
    }
    job_set_text(job, &task->text, update->text);
    /* LOST may also be a decision of the leader that the agent does not know of yet. */
    const PhaseSource source = update->word != ATTEMPT_LOST ? PHASE_BY_AGENT : PHASE_BY_LEADER;
    const AttemptEnd end = {(AttemptStatus)update->word, update->saved, source, change->at_ms};
    attempt_over(table, job, task, &end);
    job_end_if_complete(table, job, change->at_ms);
}

void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->updates_count; i++)
        if (list->updates[i].word < ATTEMPT_STATUS_COUNT)
            deliver_one_update(table, change, &list->updates[i]);
    result->number = list->updates_count;
}
