#ifndef QUEUE_LATENCY_TARGET_H
#define QUEUE_LATENCY_TARGET_H

/* Latency targets of jobs and the order that follows from them. Pure functions: nothing here
 * allocates, fails or waits. */

#include "queue/estimate.h"

/* The latency target of a job, or of one occurrence of a timed job: its value is full within span_ms from
 * from_ms (its acceptance or due time, in log time), less until TARGET_LATE_TIMES as long, and
 * nothing later. A job whose terms name no target has a span of 0. All in ms.
 * Invariants: task_ms[s] is what one task of step s should take; after_ms[s] is the
 * longest chain of work from step s to the end, with s itself. */
typedef struct LatencyTarget {
    int64_t from_ms, span_ms;
    int32_t after_ms[JOB_STEPS_MAX], task_ms[JOB_STEPS_MAX];
} LatencyTarget;

/* Fills target in, up to the job's steps. estimates may be null; wave_capacity: a step that asks for
 * more than this runs in waves; zeros: none does. */
void target_find(const Job *job, int64_t from_ms, const Estimates *estimates, Resources wave_capacity,
                 LatencyTarget *target);
/* Time, in ms, that may pass before the step must be under way for the target to be met;
 * negative: it is missed, if the estimates are right. */
int64_t target_slack_ms(const LatencyTarget *target, uint64_t step, int64_t now_ms);
/* Higher goes first. What can still meet its target goes by how soon it must be under way;
 * what can't, behind what has as little time, until TARGET_LATE_TIMES the target; after that
 * last, the oldest first. */
double target_rank(const LatencyTarget *target, uint64_t step, int64_t now_ms);

#endif
