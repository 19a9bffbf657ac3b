/* Delivering ATTEMPTS: agents' updates on attempts. */
#include "deliver.h"

#include <string.h>

#include "attempt.h"
#include "base/constants.h"
#include "orphan.h"

/* An update on another attempt than the task's present one: an older one, or one whose placement the disks lost. */
static void other_attempt(Table *table, Job *job, JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    if (update->attempt > task->attempt) {
        if (task->phase != TASK_WAITING || update->attempt - task->attempt > ATTEMPTS_FORGOTTEN_MAX)
            return;
        task->attempt = update->attempt; /* the next is numbered above it */
        if (update->word == ATTEMPT_RUNNING) {
            /* its placement was lost with the disks; the agent that runs it reports it again */
            task_set_phase(table, job, task, TASK_RUNNING, update->worker, at_ms, PHASE_BY_LEADER);
            if (job->ending != JOB_ACTIVE)
                task_set_phase(table, job, task, TASK_STOPPING, update->worker, at_ms, PHASE_BY_LEADER);
            return;
        }
    }
    if (update->word == ATTEMPT_FAILED && job->ending == JOB_ACTIVE) {
        attempt_miss(job, task, update->attempt);
        if (attempts_spent(job, task))
            job_fail(table, job, task, at_ms);
        job_end_if_complete(table, job, at_ms);
    }
    if (update->attempt == task->attempt && task->phase == TASK_WAITING)
        saved_set(job, task, update->saved);
}

/* The log time when its first attempt started, as far as its agent knows. */
static void started_set(JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    if (task->started_ms == 0 && (update->word == ATTEMPT_RUNNING || update->ran_ms > 0))
        task->started_ms = update->ran_ms < at_ms ? at_ms - update->ran_ms : at_ms;
}

static void now_runs(Table *table, Job *job, JobTask *task, const AttemptUpdate *update, int64_t at_ms)
{
    saved_set(job, task, update->saved);
    if (task->phase != TASK_PLACED)
        return;
    task_set_phase(table, job, task, TASK_RUNNING, task->worker, at_ms, PHASE_BY_LEADER);
    started_set(task, update, at_ms);
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
        /* the task is done, whichever attempt completed it: a newer attempt is no longer among the orders of its agent,
         * which stops it */
        task_text(job, &task->text, update->text);
        if (update->attempt == task->attempt)
            started_set(task, update, change->at_ms);
        attempt_done(table, job, task, update->attempt, update->worker, change->at_ms);
        job_end_if_complete(table, job, change->at_ms);
        return;
    }
    if (update->attempt != task->attempt || !task_on_worker(task->phase) || strcmp(update->worker, task->worker) != 0) {
        other_attempt(table, job, task, update, change->at_ms);
        return;
    }
    if (update->word == ATTEMPT_RUNNING) {
        now_runs(table, job, task, update, change->at_ms);
        return;
    }
    task_text(job, &task->text, update->text);
    /* LOST may also be the leader's decision, which the agent does not know yet */
    const PhaseSource source = update->word != ATTEMPT_LOST ? PHASE_BY_AGENT : PHASE_BY_LEADER;
    const AttemptEnd end = {(AttemptWord)update->word, update->saved, source, change->at_ms};
    attempt_over(table, job, task, &end);
    job_end_if_complete(table, job, change->at_ms);
}

void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->updates_count; i++)
        if (list->updates[i].word < ATTEMPT_WORD_COUNT)
            deliver_one_update(table, change, &list->updates[i]);
    result->number = list->updates_count;
}
