/* The effect of the end of an attempt on its task: counts of failures and losses, retry delay, and another attempt or
 * failure. Restarts after a loss follow XenServer's HA design: protected work is always restarted, best-effort work
 * once, other work never. */
#include "attempt.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"

static uint64_t attempt_limit_of(const Job *job)
{
    return job->terms.attempt_limit > 0 ? job->terms.attempt_limit : job->spec.attempt_limit;
}

/* Returns the retry delay after this number of failures, in ms. It doubles with each failure. */
static int64_t retry_delay_ms(uint64_t misses, int64_t most_ms)
{
    int64_t rest_ms = RETRY_BACKOFF_MIN_MS;
    for (uint64_t i = 1; i < misses && rest_ms < most_ms; i++)
        rest_ms *= 2;
    return rest_ms < most_ms ? rest_ms : most_ms;
}

/* Sets the retry delay of a lasting task, which gets another attempt however the last one ended. The delay grows as
 * long as the attempts end early, and starts again from its minimum after an attempt that ran for LASTING_STABLE_MS. */
static void set_lasting_retry_delay(JobTask *task, const AttemptEnd *end)
{
    if (end->word != ATTEMPT_FAILED && end->word != ATTEMPT_DONE && end->word != ATTEMPT_REFUSED &&
        end->word != ATTEMPT_ISOLATED)
        return;
    const bool steady = task->phase == TASK_RUNNING && end->at_ms - task->changed_ms >= LASTING_STABLE_MS;
    task->misses = steady ? 1 : task->misses + 1;
    task->rest_until_ms = end->at_ms + retry_delay_ms(task->misses, LASTING_BACKOFF_MAX_MS);
}

/* Sets the retry delay of a task that is not lasting. */
static void set_retry_delay(JobTask *task, const AttemptEnd *end)
{
    if (end->word == ATTEMPT_FAILED)
        task->rest_until_ms = end->at_ms + retry_delay_ms(task->misses, RETRY_BACKOFF_MAX_MS);
    else if (end->word == ATTEMPT_REFUSED || end->word == ATTEMPT_ISOLATED)
        task->rest_until_ms = end->at_ms + REFUSED_BACKOFF_MS;
}

/* Counts the loss of one task for its entire gang, which restarts together. */
static void count_loss(Job *job, JobTask *task)
{
    const Gang gang = gang_of(job, task);
    for (size_t i = 0; i < gang.count; i++)
        if (!task_ended(gang.tasks[i].phase))
            gang.tasks[i].losses++;
}

/* Whether the attempt is among those that are counted for the task, the first member of its gang. */
static bool attempt_counted(const JobTask *first, uint64_t attempt)
{
    for (size_t i = 0; i < first->counted_count; i++)
        if (attempt >= first->counted[i].first && attempt <= first->counted[i].last)
            return true;
    return false;
}

static void counted_attempts_add(Job *job, JobTask *first, CountedAttempts attempts)
{
    first->counted = talloc_realloc(job, first->counted, CountedAttempts, (unsigned)(first->counted_count + 1));
    first->counted[first->counted_count++] = attempts;
}

void counted_attempts_load(Job *job, JobTask *task, const JobTask *from)
{
    task->counted = NULL;
    task->counted_count = 0;
    for (size_t i = 0; i < from->counted_count; i++)
        counted_attempts_add(job, task, from->counted[i]);
    if (from->counted_count == 0 && from->miss_attempt > 0 && gang_of(job, task).tasks == task)
        counted_attempts_add(job, task, (CountedAttempts){1, from->miss_attempt});
}

void count_failed_attempt(Job *job, JobTask *task, uint64_t attempt)
{
    const Gang gang = gang_of(job, task);
    if (job->spec.lasting || attempt_counted(&gang.tasks[0], attempt))
        return;
    counted_attempts_add(job, &gang.tasks[0], (CountedAttempts){attempt, attempt});
    for (size_t i = 0; i < gang.count; i++) {
        if (attempt > gang.tasks[i].miss_attempt)
            gang.tasks[i].miss_attempt = attempt;
        gang.tasks[i].misses++;
    }
}

bool attempts_exhausted(const Job *job, const JobTask *task)
{
    const bool lost_too_many = (job->spec.protection == PROTECTION_NONE && task->losses > 0) ||
                               (job->spec.protection == PROTECTION_BEST_EFFORT && task->losses > 1);
    return !job->spec.lasting && (lost_too_many || task->misses >= attempt_limit_of(job));
}

void job_fail(Table *table, Job *job, JobTask *task, int64_t at_ms)
{
    if (!task_on_worker(task->phase))
        task_set_phase(table, job, task, TASK_FAILED, "", at_ms, PHASE_BY_LEADER);
    job->ending = JOB_FAILED;
    job_stop_tasks(table, job, at_ms);
}

void attempt_over(Table *table, Job *job, JobTask *task, const AttemptEnd *end)
{
    if (job->ending != JOB_ACTIVE) {
        task_set_phase(table, job, task, TASK_CANCELLED, "", end->at_ms, end->source);
        return;
    }
    const bool stopping = task->phase == TASK_STOPPING;
    checkpoint_set(job, task, end->saved);
    if (end->word == ATTEMPT_FAILED || end->word == ATTEMPT_REFUSED)
        task->shunned = task->worker;
    if (end->word == ATTEMPT_FAILED)
        count_failed_attempt(job, task, task->attempt);
    /* The end of an attempt that was ordered to stop is not a loss. */
    if ((end->word == ATTEMPT_LOST || end->word == ATTEMPT_LAPSED) && !stopping)
        count_loss(job, task);
    if (job->spec.lasting)
        set_lasting_retry_delay(task, end);
    else
        set_retry_delay(task, end);
    if (attempts_exhausted(job, task)) {
        task_set_phase(table, job, task, TASK_FAILED, "", end->at_ms, end->source);
        job_fail(table, job, task, end->at_ms);
        return;
    }
    task_set_phase(table, job, task, TASK_WAITING, "", end->at_ms, end->source);
    gang_stop_others(table, job, task, end->at_ms);
}

void attempt_done(Table *table, Job *job, JobTask *task, uint64_t attempt, const char *reporter, int64_t at_ms)
{
    const Gang gang = gang_of(job, task);
    const TaskPhase phase = job->ending == JOB_CANCELLED ? TASK_CANCELLED : TASK_DONE;
    for (size_t i = 0; i < gang.count; i++) {
        JobTask *each = &gang.tasks[i];
        if (task_ended(each->phase))
            continue;
        const bool reported = each->attempt == attempt && strcmp(each->worker, reporter) == 0;
        if (attempt > each->attempt)
            each->attempt = attempt;
        task_set_phase(table, job, each, phase, "", at_ms, reported ? PHASE_BY_AGENT : PHASE_BY_LEADER);
    }
}
