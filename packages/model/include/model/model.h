#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H

#include "model/rules.h"
#include "model/site.h"
#include "model/codec.h"

/* The model of the users' platform: a day (scenario) of a deployment in virtual time. The product's own processes run
 * behind a protocol adapter, and models stand for all that they meet: workers, callers, the operator, faults. Used by
 * the model's command and tests. The same seed gives the same day. */

#define DAY_FAULTS_MAX 64

/* The fault of all controllers that ends a day. */
typedef enum Closing { CLOSING_DRAWN, CLOSING_NONE, CLOSING_KILL, CLOSING_POWER, CLOSING_WIPE, CLOSING_COUNT } Closing;

typedef struct DaySettings {
    uint64_t seed;
    const Site *site;
    const Codec *codec;
    bool loud;         /* prints what happens */
    const char *job;   /* prints what happens to this job; null: none */
    size_t faults;     /* how many faults are drawn */
    bool wrong_clocks; /* the leader's clock runs too slow, others' too fast, beyond what the product tolerates */
    Closing closing;
    const char *only;             /* only faults of this kind; null: all */
    const char *script;           /* these instead of drawn ones: KIND@AT+FOR=WHOM,..; null: drawn. WHOM: a machine, a
                                     zone, leader; left out: drawn */
    bool skipped[DAY_FAULTS_MAX]; /* leaves these out */
} DaySettings;

typedef struct DayResult {
    Rules rules;
    size_t jobs, accepted, refused, starts, ends[ATTEMPT_STATUS_COUNT];
    size_t timely, late; /* of jobs that could be done: within the latency target, within three times it */
    size_t owed;
    size_t orders;
    char faults[DAY_FAULTS_MAX][64]; /* what was drawn, as rows of a script */
    size_t fault_count;
} DayResult;

/* Runs one day. Blocks; nothing of it is left afterwards but the result. */
void day_run(const DaySettings *settings, DayResult *result);

#endif
