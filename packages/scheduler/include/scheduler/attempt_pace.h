#ifndef SCHEDULER_ATTEMPT_PACE_H
#define SCHEDULER_ATTEMPT_PACE_H

#include "scheduler/scheduler.h"

/* How fast running attempts come along, by the progress that heartbeats tell now and then. Used by the
 * controller, which takes it from heartbeats, and by the scheduler to foresee ends and to find attempts
 * that stand still. In the leader's memory alone. Nothing here waits. */
typedef struct Paces Paces;

/* Of one attempt. Invariant: percent was reached when it had run for ran_ms, and has been the same since it
 * had run for still_ms. */
typedef struct Pace {
    const char *job;
    uint64_t task, attempt;
    uint64_t percent;
    int64_t ran_ms, still_ms;
    int64_t told_ms; /* own clock */
    double per_ms;   /* percent a ms between the last two reports; 0: unknown, or no progress */
} Pace;

Paces *paces_new(void *mem);
/* Forgets all. */
void paces_reset(Paces *paces);
/* Takes a report of an attempt's progress, and what it says of the worker's speed. */
void pace_take(Scheduler *scheduler, const char *worker, const AttemptSaved *reported);
/* Null: that attempt has reported none. */
const Pace *pace_find(const Paces *paces, const char *job, uint64_t task, uint64_t attempt);
/* Whether reports of no progress are believed: some kinds of workers never report any. */
bool paces_credible(const Paces *paces);

#endif
