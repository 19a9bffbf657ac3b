#ifndef STATE_SRC_ATTEMPT_H
#define STATE_SRC_ATTEMPT_H

/* The effect of the end of an attempt on its task, gang and job. */

#include "gang.h"

/* How an attempt that did not complete its task ended. */
typedef struct AttemptEnd {
    AttemptStatus word;
    const char *saved; /* checkpoint; empty: none reported */
    PhaseSource source;
    int64_t at_ms; /* log time */
} AttemptEnd;

/* Applies the end of the task's newest attempt: the task waits for another attempt, fails or is cancelled. The caller
 * must call job_end_if_complete afterwards. */
void attempt_over(Table *table, Job *job, JobTask *task, const AttemptEnd *end);
/* Counts a failed attempt of the task, or once for its gang, whichever members report it. An attempt that has been
 * counted before has no effect. */
void count_failed_attempt(Job *job, JobTask *task, uint64_t attempt);
/* Replaces the task's counted attempts, which the job owns, by those of a snapshot. One of an earlier release has only
 * the newest of them: all older ones count as counted, as they did then. */
void counted_attempts_load(Job *job, JobTask *task, const JobTask *from);
/* Returns whether the task has no attempts left. */
bool attempts_exhausted(const Job *job, const JobTask *task);
/* Fails the job after one of its tasks failed permanently: its other tasks are stopped. */
void job_fail(Table *table, Job *job, JobTask *task, int64_t at_ms);
/* Marks the task and its gang as done by this attempt. reporter: the worker whose agent reported it; empty: none. The
 * caller must call job_end_if_complete afterwards. */
void attempt_done(Table *table, Job *job, JobTask *task, uint64_t attempt, const char *reporter, int64_t at_ms);

#endif
