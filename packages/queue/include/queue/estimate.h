#ifndef QUEUE_ESTIMATE_H
#define QUEUE_ESTIMATE_H

/* Estimates of run times, corrected by what attempts that ended well have shown: how far a
 * queue's estimates are off, step by step, and how fast each worker is. In the leader's
 * memory alone: a new leader begins with the submitters' estimates. Nothing here waits. */

#include "state/table.h"

/* Invariant: each figure is the median of the newest ratios, so that neither one
 * pause nor one odd job moves it far. */
typedef struct Estimates Estimates;

/* Owned by mem. */
Estimates *estimates_new(void *mem);
/* Learns that an attempt did the whole of a task's work in took_ms. far_percent: how long its
 * distance from its data made that; 100: it was near. */
void estimates_end(Estimates *estimates, const Job *job, uint64_t step, const char *worker, int64_t took_ms,
                   uint64_t far_percent, int64_t now_ms);
/* Learns that what a worker did of late took ratio thousandths of what it should have. */
void estimates_pace(Estimates *estimates, const char *worker, uint64_t ratio, int64_t now_ms);
/* How long, in ms, one task of the step should take on a healthy worker near its data;
 * 0: nothing is known. estimates may be null: the submitter's estimate. */
int64_t estimate_ms(const Estimates *estimates, const Job *job, uint64_t step);
/* Differs once estimate_ms may have changed by a twentieth or more. estimates may be null. */
uint64_t estimates_stamp(const Estimates *estimates);
/* Time on all workers of late in thousandths of what was estimated, never below 1000:
 * when all take longer it is the estimates that are off. estimates may be null. */
uint64_t estimate_pace(const Estimates *estimates);
/* Time on this worker in thousandths of that on a healthy one: by what it did within the
 * last ESTIMATE_FRESH_MS, else by what it has done all along, within ESTIMATE_SPEED_LEAST and
 * ESTIMATE_SPEED_MOST. estimates may be null. */
uint64_t estimate_speed(const Estimates *estimates, const char *worker, int64_t now_ms);

#endif
