#ifndef STATE_SRC_ATTEMPT_H
#define STATE_SRC_ATTEMPT_H

/* What becomes of a task, its gang and its job when an attempt is over. */

#include "gang.h"

/* The end of an attempt that did not complete its task. */
typedef struct AttemptEnd {
    AttemptWord word;
    const char *saved; /* its progress; "": none reported */
    PhaseSource source;
    int64_t at_ms; /* log time */
} AttemptEnd;

/* The task's newest attempt is over: it waits for another one, or has failed, or is
 * cancelled. The caller calls job_end_if_complete afterwards. */
void attempt_over(Table *table, Job *job, JobTask *task, const AttemptEnd *end);
/* Counts a failed attempt; for a gang once, whichever of its members failed. An attempt with the same number as the
 * last counted one, or a lower one, is not counted again. */
void attempt_miss(Job *job, JobTask *task, uint64_t attempt);
/* Whether the task has had all the attempts it gets. */
bool attempts_spent(const Job *job, const JobTask *task);
/* The task has failed for good, and with it its job: what else of the job is open is stopped. */
void job_fail(Table *table, Job *job, JobTask *task, int64_t at_ms);
/* The task is done, by that attempt, and its gang with it. reporter: the worker whose agent
 * reported it, "" for none. The caller calls job_end_if_complete afterwards. */
void attempt_done(Table *table, Job *job, JobTask *task, uint64_t attempt, const char *reporter, int64_t at_ms);

#endif
