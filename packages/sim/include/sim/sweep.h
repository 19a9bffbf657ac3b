#ifndef SIM_SWEEP_H
#define SIM_SWEEP_H

#include "sim/fleet.h"

#define SWEEP_STEPS_MAX 128 /* count; failures of one run */

/* Where the fleet of a run stands. PLAIN: the product's three controllers in three zones.
 * Others: founded by votes on disks that keep what they synced; two spares more for
 * each controller that may be lost. */
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

/* What is drawn besides the mix. */
typedef struct SweepSettings {
    uint64_t seed;
    Mix mix;
    SweepSite site;
    bool loud;                     /* failures are printed as they are drawn */
    bool skipped[SWEEP_STEPS_MAX]; /* drawn but not brought about: to shorten a failing run */
} SweepSettings;

typedef struct SweepResult {
    bool good;
    char why[512];
    size_t starts, faults, asserted; /* asserted: times that an entry point had to serve */
    size_t steps;                    /* drawn, with those skipped */
    int64_t worst_ms[SERVE_COUNT];   /* from a burst's last failure to the first service, over all entries */
} SweepResult;

/* One run of failures drawn from the seed, of all the kinds that the brief names
 * (SWEEP_ACT_LIST in sweepact.h), several at a time. Odd seeds: one after another
 * for some 40 virtual seconds. Even ones: six bursts, each left alone for 13 s,
 * after which every entry point that is up and reaches a voter majority must have
 * served within 12 s, and the fleet must have started work. Then all is healed;
 * every entry must serve within 12 s and every accepted job must end.
 *
 * In one seed of four, disks may lose all that they acknowledged. Then diskless nodes
 * are not lost or cut off as well: what was told first is kept for two minutes by
 * one entry point and by agents, and the design promises repair from them, not from nobody. */
void sweep_run(const SweepSettings *settings, SweepResult *result);

#endif
