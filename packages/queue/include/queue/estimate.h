#ifndef QUEUE_ESTIMATE_H
#define QUEUE_ESTIMATE_H

#include "state/table.h"

/* What attempts that ended well have shown: how far a queue's estimates are off,
 * step by step, and how fast each worker is. In the leader's memory alone: a new
 * leader begins with the callers' words.
 *
 * Invariant: each figure is the median of the newest ratios, so that neither one
 * pause nor one odd job moves it far. */
typedef struct Estimates Estimates;

Estimates *estimates_new(void *mem);
/* An attempt did the whole of a task's work in took_ms. far_percent: what its place
 * made of that; 100: it was near its data. */
void estimates_end(Estimates *estimates, const Job *job, uint64_t step, const char *worker, int64_t took_ms,
                   uint64_t far_percent, int64_t now_ms);
/* What a worker did of late took so many thousandths of what it should have. */
void estimates_pace(Estimates *estimates, const char *worker, uint64_t ratio, int64_t now_ms);
/* How long one task of the step should take on a sound worker near its data;
 * 0: nothing is known. estimates may be null. */
int64_t estimate_ms(const Estimates *estimates, const Job *job, uint64_t step);
/* Another one once a step's time may be guessed differently. */
uint64_t estimates_stamp(const Estimates *estimates);
/* Time on all workers of late in thousandths of what is guessed, never below 1000:
 * when all take longer it is the estimates that are off. */
uint64_t estimate_pace(const Estimates *estimates);
/* Time on this worker in thousandths of that on a sound one: by what it did within
 * the last ESTIMATE_FRESH_MS, else by what it has done for long, within bounds. */
uint64_t estimate_speed(const Estimates *estimates, const char *worker, int64_t now_ms);

#endif
