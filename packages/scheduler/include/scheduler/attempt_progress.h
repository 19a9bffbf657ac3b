#ifndef SCHEDULER_ATTEMPT_PROGRESS_H
#define SCHEDULER_ATTEMPT_PROGRESS_H

#include "scheduler/scheduler.h"

/* The progress of running attempts, as agents report it in heartbeats. The controller records the reports; the
 * scheduler uses them to forecast when attempts end and to find attempts that make no progress. Held in the leader's
 * memory only. No function here suspends the coroutine. */
typedef struct ProgressTable ProgressTable;

/* The progress of one attempt. Invariant: percent was reported when the attempt had run for ran_ms, and was first
 * reached when it had run for unchanged_ms. */
typedef struct AttemptProgress {
    const char *job;
    uint64_t task, attempt;
    uint64_t percent;
    int64_t ran_ms, unchanged_ms;
    int64_t reported_ms; /* steady clock of this node; when the last report arrived */
    double per_ms;       /* percent per ms between the last two reports; 0: unknown, or no progress */
} AttemptProgress;

/* An empty table, owned by mem. */
ProgressTable *progress_table_new(void *mem);
/* Drops all entries. */
void progress_table_reset(ProgressTable *progress_table);
/* Records a report of an attempt's progress, and the sample of the worker's slowdown that follows from it
 * (queue/estimate.h). */
void progress_record(Scheduler *scheduler, const char *worker, const AttemptSaved *report);
/* The recorded progress of that attempt of the task; null: none. Valid until the next call of progress_record or
 * progress_table_reset. */
const AttemptProgress *progress_find(const ProgressTable *progress_table, const char *job, uint64_t task,
                                     uint64_t attempt);
/* Whether the absence of progress in reports means that an attempt is stalled. False until PROGRESS_REPORTS_MIN reports
 * have shown progress, since some kinds of workers never report any. */
bool progress_credible(const ProgressTable *progress_table);

#endif
