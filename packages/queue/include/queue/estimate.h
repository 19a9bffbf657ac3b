#ifndef QUEUE_ESTIMATE_H
#define QUEUE_ESTIMATE_H

/* Estimates of run times, corrected by what attempts that ended well have shown: how far a
 * queue's estimates are off, step by step, and how much slower than estimated each worker is
 * (its slowdown, in thousandths: 1000 is as estimated, 2000 takes twice as long). In the leader's
 * memory alone: a new leader begins with the submitters' estimates. Nothing here waits. */

#include "state/table.h"

/* Invariant: each figure is the median of the newest ratios, so that neither one
 * pause nor one odd job moves it far. */
typedef struct Estimates Estimates;

/* Owned by mem. */
Estimates *estimates_new(void *mem);
/* Takes the end of an attempt that did the whole of a task's work in took_ms. far_percent: the time that its
 * distance from its data cost, in percent of the time near it; 100: it was near. */
void estimates_end_take(Estimates *estimates, const Job *job, uint64_t step, const char *worker, int64_t took_ms,
                        uint64_t far_percent, int64_t now_ms);
/* Takes a sample: recent work on the worker took ratio thousandths of the estimate. */
void estimates_slowdown_take(Estimates *estimates, const char *worker, uint64_t ratio, int64_t now_ms);
/* How long, in ms, one task of the step should take on a healthy worker near its data;
 * 0: nothing is known. estimates may be null: the submitter's estimate. */
int64_t estimate_ms(const Estimates *estimates, const Job *job, uint64_t step);
/* Differs once estimate_ms may have changed by a twentieth or more. estimates may be null. */
uint64_t estimates_stamp(const Estimates *estimates);
/* The recent slowdown of all workers together, never below 1000: when all take longer it is the estimates that
 * are off. estimates may be null. */
uint64_t estimate_fleet_slowdown(const Estimates *estimates);
/* The slowdown of this worker against a healthy one: by what it did within the last ESTIMATE_FRESH_MS where that is
 * beyond ESTIMATE_SPEED_MOST, else by all that it has done, within ESTIMATE_SPEED_LEAST and ESTIMATE_SPEED_MOST.
 * estimates may be null. */
uint64_t estimate_worker_slowdown(const Estimates *estimates, const char *worker, int64_t now_ms);

#endif
