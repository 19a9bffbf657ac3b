#ifndef STATE_SRC_PHASE_H
#define STATE_SRC_PHASE_H

/* Every change of a task's or a job's phase, with the sums that depend on it. The transitions are listed in
 * state/job.h. */

#include "table_internal.h"

/* Creates a job, owned by mem, with its tasks in their initial state, sorted by turn and step. spec and terms are
 * copied; the job owns its texts. */
Job *job_new(void *mem, const JobSpec *spec, const JobTerms *terms);
/* Adds a job to the table; the job and its tasks may be in any phase. */
void table_insert_job(Table *table, Job *job);
/* Replaces a text that the job owns by a copy of text. */
void job_set_text(Job *job, const char **at, const char *text);

/* The origin of a change of phase. */
typedef enum PhaseSource {
    PHASE_BY_LEADER, /* decided by the leader: the agent of the worker learns it from changed orders */
    PHASE_BY_AGENT,  /* reported by the agent of the worker that the task leaves: its orders need not change */
} PhaseSource;

/* Sets the phase of a task and the worker that it is on from now on (empty: none). Every change of a task's phase goes
 * through this function. at_ms: log time. */
void task_set_phase(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms,
                    PhaseSource source);
/* Cancels the waiting tasks of the job and orders the placed and running ones to stop. */
void job_stop_tasks(Table *table, Job *job, int64_t at_ms);
/* Ends the job if all its tasks have ended. */
void job_end_if_complete(Table *table, Job *job, int64_t at_ms);

#endif
