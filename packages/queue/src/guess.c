#include "queue/guess.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/map.h"

/* The newest ratios, in thousandths, and their median. */
typedef struct Ratios {
    uint64_t kept[GUESS_KEPT];
    uint64_t count; /* ever; the newest is at (count - 1) % GUESS_KEPT */
    uint64_t median;
    uint64_t told; /* the median when it last counted as moved */
} Ratios;

struct Guesses {
    Map *steps;   /* "cell/queue/step" to Ratios: time taken to time guessed by the caller */
    Map *plain;   /* the same key to Ratios: milliseconds, for steps whose caller guessed nothing */
    uint64_t stamp; /* grows when a median has moved by a twentieth or more */
    Map *workers; /* names to Ratios: time taken there to time guessed by us */
};

Guesses *guessesNew(void *mem)
{
    Guesses *guesses = talloc_zero(mem, Guesses);
    guesses->steps = mapNew(guesses);
    guesses->plain = mapNew(guesses);
    guesses->workers = mapNew(guesses);
    return guesses;
}

static int order(const void *a, const void *b)
{
    const uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

uint64_t guessesStamp(const Guesses *guesses)
{
    return guesses != NULL ? guesses->stamp : 0;
}

/* True when the median has moved enough to count. */
static bool ratioTake(Map *map, const char *key, uint64_t ratio, size_t most)
{
    Ratios *ratios = mapGet(map, key);
    if (ratios == NULL) {
        ratios = talloc_zero(map, Ratios);
        mapSet(map, key, ratios);
    }
    ratios->kept[ratios->count++ % most] = ratio;
    uint64_t sorted[GUESS_KEPT];
    const size_t count = ratios->count < most ? (size_t)ratios->count : most;
    memcpy(sorted, ratios->kept, count * sizeof(*sorted));
    qsort(sorted, count, sizeof(*sorted), order);
    ratios->median = sorted[count / 2];
    const uint64_t told = ratios->told, median = ratios->median;
    if ((told > median ? told - median : median - told) * 20 < told)
        return false;
    ratios->told = median;
    return true;
}

typedef struct Key {
    char text[2 * ID_MAX + 32];
} Key;

static Key stepKey(const Job *job, uint64_t step)
{
    Key key;
    snprintf(key.text, sizeof(key.text), "%s/%s/%" PRIu64, job->spec.cell, job->spec.queue, step);
    return key;
}

static uint64_t medianOf(const Map *map, const char *key, uint64_t least, uint64_t otherwise)
{
    const Ratios *ratios = mapGet(map, key);
    return ratios != NULL && ratios->count >= least ? ratios->median : otherwise;
}

int64_t guessMs(const Guesses *guesses, const Job *job, uint64_t step)
{
    const int64_t saidMs = (int64_t)job->spec.steps[step].estMs;
    if (guesses == NULL)
        return saidMs;
    const Key key = stepKey(job, step);
    if (saidMs == 0)
        return (int64_t)medianOf(guesses->plain, key.text, GUESS_LEAST, 0);
    return saidMs * (int64_t)medianOf(guesses->steps, key.text, GUESS_LEAST, 1000) / 1000;
}

uint64_t guessSpeed(const Guesses *guesses, const char *worker)
{
    return guesses != NULL ? medianOf(guesses->workers, worker, GUESS_WORKER_LEAST, 1000) : 1000;
}

void guessesEnd(Guesses *guesses, const Job *job, uint64_t step, const char *worker, int64_t tookMs, uint64_t farPercent)
{
    if (tookMs <= 0 || farPercent == 0)
        return;
    const uint64_t soundMs = (uint64_t)tookMs * 100 / farPercent;
    const uint64_t saidMs = job->spec.steps[step].estMs;
    const int64_t expectedMs = guessMs(guesses, job, step);
    const Key key = stepKey(job, step);
    if (expectedMs > 0)
        ratioTake(guesses->workers, worker, soundMs * 1000 / (uint64_t)expectedMs, GUESS_WORKER_KEPT);
    const bool moved = saidMs > 0 ? ratioTake(guesses->steps, key.text, soundMs * 1000 / saidMs, GUESS_KEPT)
                                  : ratioTake(guesses->plain, key.text, soundMs, GUESS_KEPT);
    guesses->stamp += moved;
}
