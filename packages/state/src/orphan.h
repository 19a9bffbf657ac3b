#ifndef STATE_SRC_ORPHAN_H
#define STATE_SRC_ORPHAN_H

/* Orphaned attempts: reports that a task of an unknown job is done. */

#include "table_internal.h"

/* Records an orphaned attempt; only the first report for a task counts. */
void orphan_add(Table *table, const char *job, uint64_t task, uint64_t attempt, int64_t at_ms);
/* Applies the recorded reports to a job that has been submitted again: its tasks that were done before the disks lost
 * the job stay done. */
void orphans_apply(Table *table, Job *job, int64_t at_ms);
/* Drops the reports from before this log time (ms). */
void orphans_forget(Table *table, int64_t before_ms);

#endif
