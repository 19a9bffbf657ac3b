/* What agents tell of rounds. */
#include <string.h>

#include "base/constants.h"
#include "inside.h"

/* Of a round that is not the one that the task is in: older, or of a placement that
 * the disks forgot. */
static void other_round(Table *table, Job *job, JobTask *task, const RoundNews *news, int64_t at_ms)
{
    if (news->round > task->round) {
        if (task->phase != TASK_WAITING || news->round - task->round > ROUNDS_FORGOTTEN_MAX)
            return;
        task->round = news->round; /* the next is numbered above it */
        if (news->word == ROUND_RUNNING) {
            /* its placement was lost with the disks; the agent that runs it tells it again */
            task_turn(table, job, task, TASK_RUNNING, news->worker, at_ms, false);
            if (job->ending != JOB_ACTIVE)
                task_turn(table, job, task, TASK_STOPPING, news->worker, at_ms, false);
            return;
        }
    }
    if (news->word == ROUND_FAILED && job->ending == JOB_ACTIVE) {
        round_miss(job, task, news->round);
        if (rounds_spent(job, task))
            job_fail(table, job, task, at_ms);
        job_settle(table, job, at_ms);
    }
    if (news->round == task->round && task->phase == TASK_WAITING)
        saved_set(job, task, news->saved);
}

/* When its first round started, by the log, as far as its agent can tell. */
static void started_set(JobTask *task, const RoundNews *news, int64_t at_ms)
{
    if (task->started_ms == 0 && (news->word == ROUND_RUNNING || news->ran_ms > 0))
        task->started_ms = news->ran_ms < at_ms ? at_ms - news->ran_ms : at_ms;
}

static void now_runs(Table *table, Job *job, JobTask *task, const RoundNews *news, int64_t at_ms)
{
    saved_set(job, task, news->saved);
    if (task->phase != TASK_PLACED)
        return;
    task_turn(table, job, task, TASK_RUNNING, task->worker, at_ms, false);
    started_set(task, news, at_ms);
}

static void deliver_one_news(Table *table, const Record *change, const RoundNews *news)
{
    Job *job = map_get(table->by_id, news->job);
    if (job == NULL && news->word == ROUND_DONE)
        orphan_add(table, news->job, news->task, news->round, change->at_ms);
    const size_t at = job != NULL ? task_index(job, news->task) : 0;
    if (job == NULL || at == job->tasks_count)
        return;
    JobTask *task = &job->tasks[at];
    if (task_ended(task->phase))
        return;
    if (news->word == ROUND_DONE && !job->spec.lasting) {
        /* finished well is finished, in whichever round: a newer one is stopped
         * by its agent, which finds it no longer wanted */
        task_text(job, &task->text, news->text);
        if (news->round == task->round)
            started_set(task, news, change->at_ms);
        round_done(table, job, task, news->round, news->worker, change->at_ms);
        job_settle(table, job, change->at_ms);
        return;
    }
    if (news->round != task->round || !task_on_worker(task->phase) || strcmp(news->worker, task->worker) != 0) {
        other_round(table, job, task, news, change->at_ms);
        return;
    }
    if (news->word == ROUND_RUNNING) {
        now_runs(table, job, task, news, change->at_ms);
        return;
    }
    task_text(job, &task->text, news->text);
    /* that one is lost may also be the leader's word, not yet known to the agent */
    const RoundEnd end = {(RoundWord)news->word, news->saved, news->word != ROUND_LOST, change->at_ms};
    round_over(table, job, task, &end);
    job_settle(table, job, change->at_ms);
}

void deliver_rounds(Table *table, const Record *change, const RoundList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->news_count; i++)
        if (list->news[i].word < ROUND_WORD_COUNT)
            deliver_one_news(table, change, &list->news[i]);
    result->number = list->news_count;
}
