#ifndef STATE_SRC_PHASE_H
#define STATE_SRC_PHASE_H

/* Every change of a task's or a job's phase, with the sums that depend on it. The transitions are listed in
 * state/job.h. */

#include "inside.h"

/* A job with its tasks as they begin, in the order of turns; spec and terms are copied.
 * It is on mem, and all its texts on it. */
Job *job_new(void *mem, const JobSpec *spec, const JobTerms *terms);
/* Adds the job to the table, in whichever phase it and its tasks are. */
void job_enter(Table *table, Job *job);
/* Replaces a text that the job owns. */
void task_text(Job *job, const char **at, const char *text);

/* Who decided on a change of phase. */
typedef enum PhaseSource {
    PHASE_BY_LEADER, /* the agent of the worker that the task leaves learns it by its orders */
    PHASE_BY_AGENT,  /* that agent reported it: its orders need not change */
} PhaseSource;

/* Sets the task's phase, and the worker that it is on from now on ("" for none). Every change of a task's phase goes
 * through here. */
void task_set_phase(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms,
                    PhaseSource source);
/* Its waiting tasks are cancelled, those placed or running are ordered to stop. */
void job_stop_tasks(Table *table, Job *job, int64_t at_ms);
/* Ends the job if no task of it is open any more. */
void job_end_if_complete(Table *table, Job *job, int64_t at_ms);

#endif
