/* Removal of ended jobs after their retention period. */
#ifndef CONTROLLER_SRC_JOB_RETENTION_H
#define CONTROLLER_SRC_JOB_RETENTION_H

#include "state.h"

/* Spawns the task that removes ended jobs from the state table after their retention period. */
void job_retention_start(Controller *controller);

#endif
