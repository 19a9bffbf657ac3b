#ifndef QUEUE_LATENCY_TARGET_H
#define QUEUE_LATENCY_TARGET_H

#include "queue/estimate.h"

/* When a job, or a turn of it, is worth most: inside span_ms from from_ms (its
 * acceptance or due time, in log time). Until three times that it is worth
 * less, later nothing. A job whose terms name no target has a span of 0.
 * Invariants: task_ms[s] is what one task of step s should take; after_ms[s] is the
 * longest chain of work from step s to the end, with s itself. */
typedef struct LatencyTarget {
    int64_t from_ms, span_ms;
    int32_t after_ms[JOB_STEPS_MAX], task_ms[JOB_STEPS_MAX];
} LatencyTarget;

/* quarter: a step wider than this runs in waves. */
void target_find(const Job *job, int64_t from_ms, const Estimates *estimates, Room quarter, LatencyTarget *target);
/* Time that may pass before the step must be under way for the target to be met;
 * negative: it can't be met any more. */
int64_t target_slack_ms(const LatencyTarget *target, uint64_t step, int64_t now_ms);
/* Higher goes first. What can still make its target goes by how soon it must be
 * under way; what can't, behind what has as little time, until three times the
 * target; then last, the oldest first. */
double target_rank(const LatencyTarget *target, uint64_t step, int64_t now_ms);

#endif
