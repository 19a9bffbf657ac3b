#ifndef SCHEDULER_ATTEMPT_PACE_H
#define SCHEDULER_ATTEMPT_PACE_H

#include "scheduler/scheduler.h"

/* The progress of running attempts, as heartbeats report it now and then. Used by the controller, which takes it
 * from heartbeats, and by the scheduler to foresee ends and to find attempts that make no progress. In the leader's
 * memory alone. Nothing here waits. */
typedef struct ProgressTable ProgressTable;

/* Of one attempt. Invariant: percent was reported when it had run for ran_ms, and had been reached when it had run
 * for unchanged_ms. */
typedef struct AttemptProgress {
    const char *job;
    uint64_t task, attempt;
    uint64_t percent;
    int64_t ran_ms, unchanged_ms;
    int64_t reported_ms; /* own clock; when the last report came */
    double per_ms;       /* percent a ms between the last two reports; 0: unknown, or no progress */
} AttemptProgress;

ProgressTable *progress_table_new(void *mem);
/* Forgets all. */
void progress_table_reset(ProgressTable *progress_table);
/* Takes a report of an attempt's progress, and what it says of the worker's slowdown (queue/estimate.h). */
void progress_take(Scheduler *scheduler, const char *worker, const AttemptSaved *report);
/* Null: that attempt has reported none. */
const AttemptProgress *progress_find(const ProgressTable *progress_table, const char *job, uint64_t task,
                                     uint64_t attempt);
/* Whether reports of no progress are believed: some kinds of workers never report any. */
bool progress_credible(const ProgressTable *progress_table);

#endif
