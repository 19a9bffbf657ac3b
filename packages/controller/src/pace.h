#ifndef CONTROLLER_SRC_PACE_H
#define CONTROLLER_SRC_PACE_H

#include "heartbeat/messages.h"
#include "state/table.h"

struct Controller;

/* How fast attempts come along, as their agents tell now and then. */
typedef struct Paces Paces;

/* Of one attempt. Invariant: percent was reached when it had run for ran_ms, and was the
 * same since it had run for still_ms. */
typedef struct Pace {
    const char *job;
    uint64_t task, attempt;
    uint64_t percent;
    int64_t ran_ms, still_ms;
    int64_t told_ms; /* own clock */
    double per_ms;   /* percent a millisecond between the last two words; 0: not known, or it stands still */
} Pace;

Paces *paces_new(void *mem);
void paces_reset(Paces *paces);
/* Takes a word of an attempt's progress, and what it says of the worker. */
void pace_take(struct Controller *controller, const char *worker, const AttemptSaved *told);
/* Null: that attempt has told none. */
const Pace *pace_find(const Paces *paces, const char *job, uint64_t task, uint64_t attempt);
/* Whether a word of no progress is to be believed. */
bool paces_credible(const Paces *paces);

#endif
