#ifndef SIM_SWEEP_H
#define SIM_SWEEP_H

#include "sim/fleet.h"

/* Sweeps: whole fleets under failures that are drawn from a seed. Used by the sweep tool and its tests. */

#define SWEEP_STEPS_MAX 128 /* count; failures of one run */

/* The fleet of a run. PLAIN: three controllers in three zones. The others are founded by votes on disks that keep what
 * they have synced, with two spare controllers for each controller that may be lost. */
#define SWEEP_SITE_LIST(X) \
    X(PLAIN, "plain")      \
    X(THREE, "three")      \
    X(SIX, "six")          \
    X(EIGHT, "eight")
typedef enum SweepSite {
#define X(name, word) SWEEP_##name,
    SWEEP_SITE_LIST(X)
#undef X
        SWEEP_SITES
} SweepSite;

/* SWEEP_SITES when the word is none of them. */
SweepSite sweep_site_of(const char *word);

/* What decides a run. */
typedef struct SweepSettings {
    uint64_t seed;
    Mix mix;
    SweepSite site;
    bool loud;                     /* prints failures as they are drawn, and what nodes report of a broken run */
    bool skipped[SWEEP_STEPS_MAX]; /* drawn but not brought about: to shrink a run that breaks */
} SweepSettings;

typedef struct SweepResult {
    bool good;
    char why[512];
    size_t starts, faults, asserted; /* asserted: how often an entry point had to serve */
    size_t steps;                    /* drawn, with those skipped */
    int64_t worst_ms[SERVE_COUNT];   /* from a burst's last failure to the first service, over all entries */
} SweepResult;

/* Runs failures drawn from the seed, of all kinds of SWEEP_ACT_LIST (sweep_act.h), several at a time. Odd seeds: one
 * after another for some 40 virtual seconds. Even ones: six bursts with 13 s of quiet after each, within which every
 * entry point that is up and reaches a majority of the voters must have served in 12 s, and the fleet must have started
 * work. Then all is healed; every entry point must serve within 12 s and every accepted job must end.
 *
 * In one seed of four, disks may lose all that they acknowledged. Diskless nodes are not lost or cut off as well then:
 * one entry point and the agents keep what is new for two minutes, and the design repairs the state from them. */
void sweep_run(const SweepSettings *settings, SweepResult *result);

#endif
