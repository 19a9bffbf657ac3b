#ifndef STATE_SRC_GANG_H
#define STATE_SRC_GANG_H

/* Gangs: the tasks of one step and turn that run together under one attempt number and end together. Invariant: the
 * members are consecutive in the tasks of their job. */

#include "phase.h"

typedef struct Gang {
    JobTask *tasks;
    size_t count;
} Gang;

/* Returns the gang of the task; for a task without a gang, the task by itself. */
Gang gang_of(Job *job, const JobTask *task);
/* Orders the other members to stop after the attempt of this member ended; the entire gang is placed again later. */
void gang_stop_others(Table *table, Job *job, const JobTask *task, int64_t at_ms);
/* Stores the checkpoint of the task, or of its gang. An empty one leaves the stored checkpoint unchanged, and so does a
 * step without checkpoints. */
void checkpoint_set(Job *job, JobTask *task, const char *saved);

#endif
