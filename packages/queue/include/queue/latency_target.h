#ifndef QUEUE_LATENCY_TARGET_H
#define QUEUE_LATENCY_TARGET_H

/* Latency targets of jobs, and the ranks that follow from them. Pure functions: no function here allocates, fails or
 * suspends the coroutine. */

#include "queue/estimate.h"

/* The latency target of a job, or of one occurrence of a timed job: it has its full value if it ends within span_ms
 * after from_ms (its acceptance or due time, in log time), a reduced value within TARGET_LATE_TIMES times that span,
 * and no value later. A job whose terms name no target has a span of 0. All times in ms. Invariants: task_ms[s] is the
 * expected run time of one task of step s; after_ms[s] is the duration of the longest chain of steps from step s to the
 * end, including s itself. */
typedef struct LatencyTarget {
    int64_t from_ms, span_ms;
    int32_t after_ms[JOB_STEPS_MAX], task_ms[JOB_STEPS_MAX];
} LatencyTarget;

/* Computes the target (out), for as many steps as the job has. estimates may be null. wave_capacity: a step that needs
 * more than this runs in several waves; a component of 0 has no limit. */
void target_compute(const Job *job, int64_t from_ms, const Estimates *estimates, Resources wave_capacity,
                    LatencyTarget *target);
/* The time, in ms, that may pass before the step must start for the target to be met; negative: the target will be
 * missed if the estimates are right. */
int64_t target_slack_ms(const LatencyTarget *target, uint64_t step, int64_t now_ms);
/* The step's rank; the highest is placed first. Steps that can still meet their target rank by how soon they must
 * start; steps that can no longer meet it rank below them, until TARGET_LATE_TIMES times the span has passed; after
 * that they rank last, the oldest first. */
double target_rank(const LatencyTarget *target, uint64_t step, int64_t now_ms);

#endif
