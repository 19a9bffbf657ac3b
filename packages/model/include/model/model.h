#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H

#include "model/rules.h"
#include "model/site.h"
#include "model/codec.h"

/* The model of the users' platform: runs a day (scenario) of a deployment in virtual time. The product's own
 * processes run behind a protocol adapter, and models stand in for their environment: workers, callers, the
 * operator, faults. Used by the command spancart-model and by tests. The same seed gives the same day. */

#define DAY_FAULTS_MAX 64

/* The fault of all the product's machines near the end of a day: none, process kills, power loss, or power loss with
 * the leader's disk lost. CLOSING_DRAWN: one of these, chosen at random. */
typedef enum Closing { CLOSING_DRAWN, CLOSING_NONE, CLOSING_KILL, CLOSING_POWER, CLOSING_WIPE, CLOSING_COUNT } Closing;

/* The parameters of a day. */
typedef struct DaySettings {
    uint64_t seed;
    const Site *site;
    const Codec *codec;
    bool loud;       /* prints the events of the day */
    const char *job; /* id of a job whose events are printed; null: none */
    size_t faults;   /* number of faults to generate */
    /* Tests the checkers: the leader's clock runs too slow and the others' too fast, beyond the drift that the product
     * tolerates. */
    bool wrong_clocks;
    Closing closing;
    const char *fault_kind; /* generates only faults of this kind; null: all kinds */
    /* Faults to inject instead of generated ones, as KIND@AT+FOR=WHOM,... with times in ms; null: none. WHOM: a
     * machine, a zone or "leader"; if omitted, chosen at random. */
    const char *fault_script;
    bool skipped[DAY_FAULTS_MAX]; /* faults to leave out, by number */
} DaySettings;

/* The bounds of the protocols, and how often a day reached each: heartbeats that could not list all ends; heartbeats
 * that arrived late, of them those that were sent to an earlier process of the agent or by an earlier one of the
 * worker; workers that announced their end first; answers of over a quarter of the largest one; submissions that
 * arrived late, of them those whose job had been cancelled meanwhile; failures of an attempt that were acknowledged
 * after that of a newer one; failures of workers that fail much of what they run. */
#define BOUND_LIST(X)      \
    X(ENDS_CUT)            \
    X(LATE_HEARTBEATS)     \
    X(LATE_TO_NEXT)        \
    X(LATE_OF_FORMER)      \
    X(DEPARTED_FIRST)      \
    X(LARGE_ANSWERS)       \
    X(LATE_SUBMISSIONS)    \
    X(LATE_OF_CANCELLED)   \
    X(FAILED_OUT_OF_ORDER) \
    X(FAILED_ON_GREY)
typedef enum Bound {
#define X(name) BOUND_##name,
    BOUND_LIST(X)
#undef X
        BOUND_COUNT
} Bound;
/* Returns the name of a bound. */
const char *bound_name(Bound bound);

/* The outcome of a day. ends: by how the attempts ended. */
typedef struct DayResult {
    Rules rules;
    size_t jobs, accepted, refused, starts, ends[ATTEMPT_STATUS_COUNT];
    size_t on_time_jobs, late_jobs;      /* jobs done within their latency target, and within three times it */
    size_t measured_jobs;                /* jobs that are measured against their latency target */
    size_t bounds[BOUND_COUNT];          /* how often each was reached */
    size_t orders;                       /* requests of the operator */
    char fault_rows[DAY_FAULTS_MAX][64]; /* the injected faults, in the format of a script */
    size_t fault_count;
} DayResult;

/* Runs one day and fills in the result. Returns when the day has ended; everything except the result is freed. */
void day_run(const DaySettings *settings, DayResult *result);

#endif
