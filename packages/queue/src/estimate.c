/* Estimates of run times: medians of observed run times, by step and by worker. */
#include "queue/estimate.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/map.h"

#define AS_ESTIMATED 1000    /* a run time that is as estimated, in thousandths */
#define MOVED_FRACTION 20    /* a change of the median by less than one part in this many is ignored */
#define MEDIAN_VALUES_MAX 64 /* maximum number of values that a median is computed from */
_Static_assert(ESTIMATE_RATIOS <= MEDIAN_VALUES_MAX && ESTIMATE_POOL_RATIOS <= MEDIAN_VALUES_MAX &&
                   ESTIMATE_FRESH_RATIOS <= MEDIAN_VALUES_MAX,
               "a median's values fit");

/* The newest ratios, in thousandths, and their median. */
typedef struct Ratios {
    uint64_t newest[ESTIMATE_RATIOS];
    uint64_t count; /* number of ratios ever added; the newest is at (count - 1) % ESTIMATE_RATIOS */
    uint64_t median;
    uint64_t moved_median; /* the median when it last counted as moved */
} Ratios;

/* The slowdown of one worker: run times there, in thousandths of the estimates. */
typedef struct Slowdown {
    Ratios ends;                              /* of attempts that did all of a task's work */
    uint64_t recent[ESTIMATE_FRESH_RATIOS];   /* the newest, also of attempts that are still running */
    int64_t recent_ms[ESTIMATE_FRESH_RATIOS]; /* steady clock; when each of them was recorded */
    uint64_t recent_count;
} Slowdown;

struct Estimates {
    Map *steps;     /* "cell/queue/step" to Ratios: run time to the submitter's estimate */
    Map *run_times; /* "cell/queue/step" to Ratios: run time in ms, for steps without an estimate */
    uint64_t stamp; /* incremented when a median has moved */
    Map *workers;   /* worker name to Slowdown */
    uint64_t pool[ESTIMATE_POOL_RATIOS]; /* the newest ratios of all workers together */
    uint64_t pool_count, pool_median;
};

Estimates *estimates_new(void *mem)
{
    Estimates *estimates = talloc_zero(mem, Estimates);
    estimates->steps = map_new(estimates);
    estimates->run_times = map_new(estimates);
    estimates->workers = map_new(estimates);
    return estimates;
}

static int uint64_order(const void *a, const void *b)
{
    const uint64_t one = *(const uint64_t *)a, other = *(const uint64_t *)b;
    return one < other ? -1 : one > other;
}

uint64_t estimates_stamp(const Estimates *estimates)
{
    return estimates != NULL ? estimates->stamp : 0;
}

/* The upper median. count must be at least 1. */
static uint64_t upper_median(const uint64_t *values, size_t count)
{
    assert(count > 0 && count <= MEDIAN_VALUES_MAX);
    uint64_t sorted[MEDIAN_VALUES_MAX];
    memcpy(sorted, values, count * sizeof(*sorted));
    qsort(sorted, count, sizeof(*sorted), uint64_order);
    return sorted[count / 2];
}

/* Number of used slots of a circular buffer into which count values were put so far. */
static size_t used_slots(uint64_t count, size_t slots)
{
    return count < slots ? (size_t)count : slots;
}

static uint64_t ratio_limited(uint64_t ratio)
{
    return ratio < ESTIMATE_RATIO_MAX ? ratio : ESTIMATE_RATIO_MAX;
}

/* Adds a ratio; returns whether the median has moved enough to count. */
static bool ratio_add(Ratios *ratios, uint64_t ratio)
{
    ratios->newest[ratios->count++ % ESTIMATE_RATIOS] = ratio;
    ratios->median = upper_median(ratios->newest, used_slots(ratios->count, ESTIMATE_RATIOS));
    const uint64_t moved_median = ratios->moved_median, median = ratios->median;
    if ((moved_median > median ? moved_median - median : median - moved_median) * MOVED_FRACTION < moved_median)
        return false;
    ratios->moved_median = median;
    return true;
}

static Ratios *ratios_of(Map *map, const char *key)
{
    Ratios *ratios = map_get(map, key);
    if (ratios == NULL) {
        ratios = talloc_zero(map, Ratios);
        map_set(map, key, ratios);
    }
    return ratios;
}

static Slowdown *slowdown_of(Estimates *estimates, const char *worker)
{
    Slowdown *slowdown = map_get(estimates->workers, worker);
    if (slowdown == NULL) {
        slowdown = talloc_zero(estimates->workers, Slowdown);
        map_set(estimates->workers, worker, slowdown);
    }
    return slowdown;
}

/* A key of the maps by step. */
typedef struct StepKey {
    char text[2 * ID_MAX + 32];
} StepKey;

static StepKey step_key(const Job *job, uint64_t step)
{
    StepKey key;
    snprintf(key.text, sizeof(key.text), "%s/%s/%" PRIu64, job->spec.cell, job->spec.queue, step);
    return key;
}

/* The median of the key's ratios if there are at least count_min of them, otherwise fallback. */
static uint64_t median_of(const Map *map, const char *key, uint64_t count_min, uint64_t fallback)
{
    const Ratios *ratios = map_get(map, key);
    return ratios != NULL && ratios->count >= count_min ? ratios->median : fallback;
}

int64_t estimate_ms(const Estimates *estimates, const Job *job, uint64_t step)
{
    const int64_t submitter_ms = (int64_t)job->spec.steps[step].est_ms;
    if (estimates == NULL)
        return submitter_ms;
    const StepKey key = step_key(job, step);
    if (submitter_ms == 0)
        return (int64_t)median_of(estimates->run_times, key.text, ESTIMATE_ENDS_MIN, 0);
    return submitter_ms * (int64_t)median_of(estimates->steps, key.text, ESTIMATE_ENDS_MIN, AS_ESTIMATED) /
           AS_ESTIMATED;
}

uint64_t estimate_fleet_slowdown(const Estimates *estimates)
{
    return estimates != NULL && estimates->pool_median > AS_ESTIMATED ? estimates->pool_median : AS_ESTIMATED;
}

/* The worker's slowdown over all of its work, within bounds. */
static uint64_t long_term_slowdown(const Slowdown *slowdown)
{
    const uint64_t ends = slowdown->ends.count >= ESTIMATE_ENDS_MIN ? slowdown->ends.median : AS_ESTIMATED;
    if (ends < ESTIMATE_SLOWDOWN_MIN)
        return ESTIMATE_SLOWDOWN_MIN;
    return ends > ESTIMATE_SLOWDOWN_MAX ? ESTIMATE_SLOWDOWN_MAX : ends;
}

uint64_t estimate_worker_slowdown(const Estimates *estimates, const char *worker, int64_t now_ms)
{
    const Slowdown *slowdown = estimates != NULL ? map_get(estimates->workers, worker) : NULL;
    if (slowdown == NULL)
        return AS_ESTIMATED;
    uint64_t recent[ESTIMATE_FRESH_RATIOS];
    size_t count = 0;
    for (size_t i = 0; i < ESTIMATE_FRESH_RATIOS && i < slowdown->recent_count; i++)
        if (now_ms - slowdown->recent_ms[i] <= ESTIMATE_FRESH_MS)
            recent[count++] = slowdown->recent[i];
    const uint64_t long_term = long_term_slowdown(slowdown);
    if (count < ESTIMATE_FRESH_MIN)
        return long_term;
    /* a few recent ratios are unreliable: they count only when they are far off */
    const uint64_t relative_slowdown = upper_median(recent, count) * AS_ESTIMATED / estimate_fleet_slowdown(estimates);
    return relative_slowdown > ESTIMATE_SLOWDOWN_MAX ? relative_slowdown : long_term;
}

void estimates_record_slowdown(Estimates *estimates, const char *worker, uint64_t ratio, int64_t now_ms)
{
    Slowdown *slowdown = slowdown_of(estimates, worker);
    const size_t slot = (size_t)(slowdown->recent_count++ % ESTIMATE_FRESH_RATIOS);
    slowdown->recent[slot] = ratio_limited(ratio);
    slowdown->recent_ms[slot] = now_ms;
    estimates->pool[estimates->pool_count++ % ESTIMATE_POOL_RATIOS] = slowdown->recent[slot];
    estimates->pool_median = upper_median(estimates->pool, used_slots(estimates->pool_count, ESTIMATE_POOL_RATIOS));
}

void estimates_record_run(Estimates *estimates, const Job *job, uint64_t step, const char *worker, int64_t took_ms,
                          uint64_t far_percent, int64_t now_ms)
{
    if (took_ms <= 0 || far_percent == 0)
        return;
    const uint64_t near_ms = (uint64_t)took_ms * 100 / far_percent;
    const uint64_t submitter_ms = job->spec.steps[step].est_ms;
    const int64_t expected_ms = estimate_ms(estimates, job, step);
    const StepKey key = step_key(job, step);
    if (expected_ms > 0) {
        const uint64_t ratio = near_ms * AS_ESTIMATED / (uint64_t)expected_ms;
        ratio_add(&slowdown_of(estimates, worker)->ends, ratio_limited(ratio));
        estimates_record_slowdown(estimates, worker, ratio, now_ms);
    }
    const bool moved = submitter_ms > 0
                           ? ratio_add(ratios_of(estimates->steps, key.text), near_ms * AS_ESTIMATED / submitter_ms)
                           : ratio_add(ratios_of(estimates->run_times, key.text), near_ms);
    estimates->stamp += moved;
}
