#ifndef MODEL_MODEL_H
#define MODEL_MODEL_H

#include "model/rules.h"
#include "model/site.h"
#include "model/codec.h"

/* A day of a deployment in virtual time: the product's own processes behind an adapter, and
 * stand-ins for all that it meets: workers, callers, the operator, troubles. Built from
 * what the platform's pages say. The same seed gives the same day. */

#define DAY_FAULTS_MAX 64

typedef enum Closing { CLOSING_DRAWN, CLOSING_NONE, CLOSING_KILL, CLOSING_POWER, CLOSING_WIPE, CLOSING_COUNT } Closing;

typedef struct DaySettings {
    uint64_t seed;
    const Site *site;
    const Codec *codec;
    bool loud;         /* tells what happens */
    const char *job;   /* tells what happens to this one; null: to none */
    size_t faults;     /* so many are drawn */
    bool wrong_clocks; /* the leader's clock runs too slow, others' too fast, which none does in truth */
    Closing closing;
    const char *only;             /* only troubles of this kind; null: all */
    const char *script;           /* these instead of drawn ones: KIND@AT+FOR=WHOM,..; null: drawn. WHOM: a machine, a
                                     zone, leader; left out: drawn */
    bool skipped[DAY_FAULTS_MAX]; /* leaves these out */
} DaySettings;

typedef struct DayResult {
    Rules rules;
    size_t jobs, accepted, refused, starts, ends[ATTEMPT_WORD_COUNT];
    size_t timely, late; /* of jobs that could be done: within the target, within thrice */
    size_t owed;
    size_t orders;
    char faults[DAY_FAULTS_MAX][64]; /* what was drawn, with its time, as a script has it */
    size_t fault_count;
} DayResult;

void day_run(const DaySettings *settings, DayResult *result);

#endif
