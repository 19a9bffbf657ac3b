#ifndef SIM_SWEEP_H
#define SIM_SWEEP_H

#include "sim/fleet.h"

/* Sweeps: runs of entire fleets with faults drawn from a seed. Used by the sweep tool and its tests. */

#define SWEEP_STEPS_MAX 128 /* Steps of one run, at most; each step injects one fault. */

/* The fleet of a run. PLAIN: three controllers in three zones. The others have this number of controllers, are founded
 * by votes, and have disks that keep what they have synced. Each has two spare controllers for each one that may be
 * lost. */
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

/* The site of that name; SWEEP_SITES if there is none. */
SweepSite sweep_site_of(const char *word);

/* The input of a run. The same settings give the same run. */
typedef struct SweepSettings {
    uint64_t seed;
    Mix mix;
    SweepSite site;
    bool verbose;                  /* print each fault, and the reports of nodes after a failed run */
    bool skipped[SWEEP_STEPS_MAX]; /* steps that inject no fault, to reduce a failing run */
} SweepSettings;

/* The result of a run. */
typedef struct SweepResult {
    bool good;                             /* no safety property was violated and every accepted job has ended */
    char why[512];                         /* the reason if good is false */
    size_t starts, faults, service_checks; /* starts of attempts, faults, and checks that an entry point has served */
    size_t steps;                          /* steps of the run, with those skipped */
    int64_t worst_ms[SERVE_COUNT];         /* the longest times from the last fault to the first service */
} SweepResult;

/* Runs a fleet with faults of all kinds of SWEEP_ACT_LIST (sweep_act.h), several at a time, drawn from the seed. With
 * an odd seed, faults follow one another for about 40 virtual seconds. With an even seed, six bursts of faults are each
 * followed by 13 s of quiet. Within 12 s of quiet, every entry point that is up and reaches a majority of the voters
 * must have served, and the fleet must have started attempts. Then all faults end; every entry point must serve within
 * 12 s, and every accepted job must end.
 *
 * In one of four seeds on the plain site, disks may lose everything that they acknowledged. Entry points except the
 * first, and agents, are then neither lost nor cut off: they hold recent changes for two minutes in their repair
 * buffers, from which the cluster repairs the state. */
void sweep_run(const SweepSettings *settings, SweepResult *result);

#endif
