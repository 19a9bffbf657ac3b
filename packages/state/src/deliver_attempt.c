/* Delivering ATTEMPTS: agents' updates on attempts. */
#include "deliver.h"

#include <string.h>

#include "base/constants.h"
#include "attempt.h"
#include "orphan.h"

/* Of an attempt that the task is not in: an older one, or one whose placement the disks
 * lost. */
static void other_attempt(Table *table, Job *job, JobTask *task, const AttemptNews *news, int64_t at_ms)
{
    if (news->attempt > task->attempt) {
        if (task->phase != TASK_WAITING || news->attempt - task->attempt > ATTEMPTS_FORGOTTEN_MAX)
            return;
        task->attempt = news->attempt; /* the next is numbered above it */
        if (news->word == ATTEMPT_RUNNING) {
            /* its placement was lost with the disks; the agent that runs it reports it again */
            task_turn(table, job, task, TASK_RUNNING, news->worker, at_ms, TURN_BY_LEADER);
            if (job->ending != JOB_ACTIVE)
                task_turn(table, job, task, TASK_STOPPING, news->worker, at_ms, TURN_BY_LEADER);
            return;
        }
    }
    if (news->word == ATTEMPT_FAILED && job->ending == JOB_ACTIVE) {
        attempt_miss(job, task, news->attempt);
        if (attempts_spent(job, task))
            job_fail(table, job, task, at_ms);
        job_settle(table, job, at_ms);
    }
    if (news->attempt == task->attempt && task->phase == TASK_WAITING)
        saved_set(job, task, news->saved);
}

/* The log time when its first attempt started, as far as its agent knows. */
static void started_set(JobTask *task, const AttemptNews *news, int64_t at_ms)
{
    if (task->started_ms == 0 && (news->word == ATTEMPT_RUNNING || news->ran_ms > 0))
        task->started_ms = news->ran_ms < at_ms ? at_ms - news->ran_ms : at_ms;
}

static void now_runs(Table *table, Job *job, JobTask *task, const AttemptNews *news, int64_t at_ms)
{
    saved_set(job, task, news->saved);
    if (task->phase != TASK_PLACED)
        return;
    task_turn(table, job, task, TASK_RUNNING, task->worker, at_ms, TURN_BY_LEADER);
    started_set(task, news, at_ms);
}

static void deliver_one_news(Table *table, const Record *change, const AttemptNews *news)
{
    Job *job = map_get(table->by_id, news->job);
    if (job == NULL && news->word == ATTEMPT_DONE)
        orphan_add(table, news->job, news->task, news->attempt, change->at_ms);
    const size_t at = job != NULL ? task_index(job, news->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return;
    JobTask *task = &job->tasks[at];
    if (task_ended(task->phase))
        return;
    if (news->word == ATTEMPT_DONE && !job->spec.lasting) {
        /* done is done, in whichever attempt: a newer one is stopped by its agent, which
         * finds it no longer wanted */
        task_text(job, &task->text, news->text);
        if (news->attempt == task->attempt)
            started_set(task, news, change->at_ms);
        attempt_done(table, job, task, news->attempt, news->worker, change->at_ms);
        job_settle(table, job, change->at_ms);
        return;
    }
    if (news->attempt != task->attempt || !task_on_worker(task->phase) || strcmp(news->worker, task->worker) != 0) {
        other_attempt(table, job, task, news, change->at_ms);
        return;
    }
    if (news->word == ATTEMPT_RUNNING) {
        now_runs(table, job, task, news, change->at_ms);
        return;
    }
    task_text(job, &task->text, news->text);
    /* LOST may also be the leader's decision, which the agent does not know yet */
    const TurnSource source = news->word != ATTEMPT_LOST ? TURN_BY_AGENT : TURN_BY_LEADER;
    const AttemptEnd end = {(AttemptWord)news->word, news->saved, source, change->at_ms};
    attempt_over(table, job, task, &end);
    job_settle(table, job, change->at_ms);
}

void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->news_count; i++)
        if (list->news[i].word < ATTEMPT_WORD_COUNT)
            deliver_one_news(table, change, &list->news[i]);
    result->number = list->news_count;
}
