/* Delivering ATTEMPTS: agents' updates on attempts. */
#include "deliver.h"

#include <string.h>

#include "base/constants.h"
#include "attempt.h"
#include "orphan.h"

/* Of an attempt that the task is not in: an older one, or one whose placement the disks
 * lost. */
static void other_attempt(Table *table, Job *job, JobTask *task, const AttemptUpdate *updates, int64_t at_ms)
{
    if (updates->attempt > task->attempt) {
        if (task->phase != TASK_WAITING || updates->attempt - task->attempt > ATTEMPTS_FORGOTTEN_MAX)
            return;
        task->attempt = updates->attempt; /* the next is numbered above it */
        if (updates->word == ATTEMPT_RUNNING) {
            /* its placement was lost with the disks; the agent that runs it reports it again */
            task_turn(table, job, task, TASK_RUNNING, updates->worker, at_ms, TURN_BY_LEADER);
            if (job->ending != JOB_ACTIVE)
                task_turn(table, job, task, TASK_STOPPING, updates->worker, at_ms, TURN_BY_LEADER);
            return;
        }
    }
    if (updates->word == ATTEMPT_FAILED && job->ending == JOB_ACTIVE) {
        attempt_miss(job, task, updates->attempt);
        if (attempts_spent(job, task))
            job_fail(table, job, task, at_ms);
        job_settle(table, job, at_ms);
    }
    if (updates->attempt == task->attempt && task->phase == TASK_WAITING)
        saved_set(job, task, updates->saved);
}

/* The log time when its first attempt started, as far as its agent knows. */
static void started_set(JobTask *task, const AttemptUpdate *updates, int64_t at_ms)
{
    if (task->started_ms == 0 && (updates->word == ATTEMPT_RUNNING || updates->ran_ms > 0))
        task->started_ms = updates->ran_ms < at_ms ? at_ms - updates->ran_ms : at_ms;
}

static void now_runs(Table *table, Job *job, JobTask *task, const AttemptUpdate *updates, int64_t at_ms)
{
    saved_set(job, task, updates->saved);
    if (task->phase != TASK_PLACED)
        return;
    task_turn(table, job, task, TASK_RUNNING, task->worker, at_ms, TURN_BY_LEADER);
    started_set(task, updates, at_ms);
}

static void deliver_one_update(Table *table, const Record *change, const AttemptUpdate *updates)
{
    Job *job = map_get(table->by_id, updates->job);
    if (job == NULL && updates->word == ATTEMPT_DONE)
        orphan_add(table, updates->job, updates->task, updates->attempt, change->at_ms);
    const size_t at = job != NULL ? task_index(job, updates->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return;
    JobTask *task = &job->tasks[at];
    if (task_ended(task->phase))
        return;
    if (updates->word == ATTEMPT_DONE && !job->spec.lasting) {
        /* done is done, in whichever attempt: a newer one is stopped by its agent, which
         * finds it no longer wanted */
        task_text(job, &task->text, updates->text);
        if (updates->attempt == task->attempt)
            started_set(task, updates, change->at_ms);
        attempt_done(table, job, task, updates->attempt, updates->worker, change->at_ms);
        job_settle(table, job, change->at_ms);
        return;
    }
    if (updates->attempt != task->attempt || !task_on_worker(task->phase) ||
        strcmp(updates->worker, task->worker) != 0) {
        other_attempt(table, job, task, updates, change->at_ms);
        return;
    }
    if (updates->word == ATTEMPT_RUNNING) {
        now_runs(table, job, task, updates, change->at_ms);
        return;
    }
    task_text(job, &task->text, updates->text);
    /* LOST may also be the leader's decision, which the agent does not know yet */
    const TurnSource source = updates->word != ATTEMPT_LOST ? TURN_BY_AGENT : TURN_BY_LEADER;
    const AttemptEnd end = {(AttemptWord)updates->word, updates->saved, source, change->at_ms};
    attempt_over(table, job, task, &end);
    job_settle(table, job, change->at_ms);
}

void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->updates_count; i++)
        if (list->updates[i].word < ATTEMPT_WORD_COUNT)
            deliver_one_update(table, change, &list->updates[i]);
    result->number = list->updates_count;
}
