#ifndef CONTROLLER_SRC_PACE_H
#define CONTROLLER_SRC_PACE_H

#include "beat/messages.h"
#include "table/table.h"

struct Controller;

/* How fast rounds come along, as their agents tell now and then. */
typedef struct Paces Paces;

/* Of one round. Invariant: percent was reached when it had run for ran_ms, and was the
 * same since it had run for still_ms. */
typedef struct Pace {
    const char *job;
    uint64_t task, round;
    uint64_t percent;
    int64_t ran_ms, still_ms;
    int64_t told_ms; /* own clock */
    double per_ms;   /* percent a millisecond between the last two words; 0: not known, or it stands still */
} Pace;

Paces *paces_new(void *mem);
void paces_reset(Paces *paces);
/* Takes a word of a round's progress, and what it says of the worker. */
void pace_take(struct Controller *controller, const char *worker, const RoundSaved *told);
/* Null: that round has told none. */
const Pace *pace_find(const Paces *paces, const char *job, uint64_t task, uint64_t round);
/* Whether a word of no progress is to be believed. */
bool paces_credible(const Paces *paces);

#endif
