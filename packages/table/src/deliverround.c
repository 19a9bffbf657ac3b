/* What agents tell of rounds. */
#include <string.h>

#include "base/constants.h"
#include "inside.h"

/* Of a round that is not the one that the task is in: older, or of a placement that
 * the disks forgot. */
static void otherRound(Table *table, Job *job, JobTask *task, const RoundNews *news, int64_t at_ms)
{
    if (news->round > task->round) {
        if (task->phase != TASK_WAITING || news->round - task->round > ROUNDS_FORGOTTEN_MAX)
            return;
        task->round = news->round; /* the next is numbered above it */
        if (news->word == ROUND_RUNNING) {
            /* its placement was lost with the disks; the agent that runs it tells it again */
            taskTurn(table, job, task, TASK_RUNNING, news->worker, at_ms, false);
            if (job->ending != JOB_ACTIVE)
                taskTurn(table, job, task, TASK_STOPPING, news->worker, at_ms, false);
            return;
        }
    }
    if (news->word == ROUND_FAILED && job->ending == JOB_ACTIVE) {
        roundMiss(job, task, news->round);
        if (roundsSpent(job, task))
            jobFail(table, job, task, at_ms);
        jobSettle(table, job, at_ms);
    }
    if (news->round == task->round && task->phase == TASK_WAITING)
        savedSet(job, task, news->saved);
}

/* When its first round started, by the log, as far as its agent can tell. */
static void startedSet(JobTask *task, const RoundNews *news, int64_t at_ms)
{
    if (task->startedMs == 0 && (news->word == ROUND_RUNNING || news->ranMs > 0))
        task->startedMs = news->ranMs < at_ms ? at_ms - news->ranMs : at_ms;
}

static void nowRuns(Table *table, Job *job, JobTask *task, const RoundNews *news, int64_t at_ms)
{
    savedSet(job, task, news->saved);
    if (task->phase != TASK_PLACED)
        return;
    taskTurn(table, job, task, TASK_RUNNING, task->worker, at_ms, false);
    startedSet(task, news, at_ms);
}

static void deliverOneNews(Table *table, const Record *change, const RoundNews *news)
{
    Job *job = map_get(table->byId, news->job);
    if (job == NULL && news->word == ROUND_DONE)
        orphanAdd(table, news->job, news->task, news->round, change->at_ms);
    const size_t at = job != NULL ? taskIndex(job, news->task) : 0;
    if (job == NULL || at == job->tasksCount)
        return;
    JobTask *task = &job->tasks[at];
    if (taskEnded(task->phase))
        return;
    if (news->word == ROUND_DONE && !job->spec.lasting) {
        /* finished well is finished, in whichever round: a newer one is stopped
         * by its agent, which finds it no longer wanted */
        taskText(job, &task->text, news->text);
        if (news->round == task->round)
            startedSet(task, news, change->at_ms);
        roundDone(table, job, task, news->round, news->worker, change->at_ms);
        jobSettle(table, job, change->at_ms);
        return;
    }
    if (news->round != task->round || !taskOnWorker(task->phase) || strcmp(news->worker, task->worker) != 0) {
        otherRound(table, job, task, news, change->at_ms);
        return;
    }
    if (news->word == ROUND_RUNNING) {
        nowRuns(table, job, task, news, change->at_ms);
        return;
    }
    taskText(job, &task->text, news->text);
    /* that one is lost may also be the leader's word, not yet known to the agent */
    const RoundEnd end = {(RoundWord)news->word, news->saved, news->word != ROUND_LOST, change->at_ms};
    roundOver(table, job, task, &end);
    jobSettle(table, job, change->at_ms);
}

void deliverRounds(Table *table, const Record *change, const RoundList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->newsCount; i++)
        if (list->news[i].word < ROUND_WORD_COUNT)
            deliverOneNews(table, change, &list->news[i]);
    result->number = list->newsCount;
}
