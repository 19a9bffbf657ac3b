#ifndef QUEUE_ESTIMATE_H
#define QUEUE_ESTIMATE_H

/* Estimates of run times, corrected by the run times of attempts that succeeded: how far a queue's estimates are off,
 * step by step, and how much slower than estimated each worker is (its slowdown, in thousandths: 1000 is as estimated,
 * 2000 takes twice as long). Held in the leader's memory only: a new leader starts with the submitters' estimates. No
 * function here suspends the coroutine. */

#include "state/table.h"

/* The corrected estimates. Invariant: each figure is the median of the newest ratios, so that a single pause or a
 * single unusual job has little effect. */
typedef struct Estimates Estimates;

/* Estimates without any correction, owned by mem. */
Estimates *estimates_new(void *mem);
/* Records the end of an attempt that did all of a task's work in took_ms. far_percent: run time at that distance
 * from its data, in percent of the run time near it; 100: the attempt ran near its data. now_ms: steady clock of
 * this node. */
void estimates_record_run(Estimates *estimates, const Job *job, uint64_t step, const char *worker, int64_t took_ms,
                          uint64_t far_percent, int64_t now_ms);
/* Records a sample of the worker's slowdown: recent work on it took ratio thousandths of the estimated time. */
void estimates_record_slowdown(Estimates *estimates, const char *worker, uint64_t ratio, int64_t now_ms);
/* The expected run time, in ms, of one task of the step on a healthy worker near its data; 0: unknown. estimates may be
 * null: the result is then the submitter's estimate. */
int64_t estimate_ms(const Estimates *estimates, const Job *job, uint64_t step);
/* A number that changes whenever estimate_ms may have changed by a twentieth or more. estimates may be null. */
uint64_t estimates_stamp(const Estimates *estimates);
/* The recent slowdown of all workers together, at least 1000: when all workers take longer, it is the estimates that
 * are off. estimates may be null. */
uint64_t estimate_fleet_slowdown(const Estimates *estimates);
/* The slowdown of the worker relative to a healthy one: from its work within the last ESTIMATE_FRESH_MS if that
 * slowdown is above ESTIMATE_SLOWDOWN_MAX, otherwise from all of its work, limited to the range from
 * ESTIMATE_SLOWDOWN_MIN to ESTIMATE_SLOWDOWN_MAX. estimates may be null. */
uint64_t estimate_worker_slowdown(const Estimates *estimates, const char *worker, int64_t now_ms);

#endif
