#ifndef STATE_SRC_GANG_H
#define STATE_SRC_GANG_H

/* Gangs: tasks of one step and turn that run together, under one attempt number, and end
 * as one. Invariant: gang.tasks are neighbours in their job's tasks. */

#include "phase.h"

typedef struct Gang {
    JobTask *tasks;
    size_t count;
} Gang;

/* The gang of the task; for a task that is in none, itself alone. */
Gang gang_of(Job *job, const JobTask *task);
/* An attempt of a member is over: the others are ordered to stop, and all are planned again. */
void gang_break(Table *table, Job *job, const JobTask *task, int64_t at_ms);
/* Keeps the progress of the task, or of its gang. "" leaves what is there. */
void saved_set(Job *job, JobTask *task, const char *saved);

#endif
