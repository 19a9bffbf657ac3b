#ifndef STATE_SRC_ORPHAN_H
#define STATE_SRC_ORPHAN_H

/* Orphaned attempts: tasks reported done of jobs that are not known. */

#include "inside.h"

/* Remembers one; the first report of a task counts. */
void orphan_add(Table *table, const char *job, uint64_t task, uint64_t attempt, int64_t at_ms);
/* The job is known now: its tasks that were done before the disks lost the job stay done. */
void orphans_take(Table *table, Job *job, int64_t at_ms);
/* Drops those that came before that log time. */
void orphans_forget(Table *table, int64_t before_ms);

#endif
