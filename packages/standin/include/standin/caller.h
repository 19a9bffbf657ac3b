#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

#include "loop/loop.h"

/* A stand-in for the users' callers, for tests only: hands in a deployment's mix of jobs at
 * any of its entry points, sends a job again when no answer came, and reads each job until
 * it has ended. Used by the simulator, its checkers and the command line's trial runs. */

/* The mixes: two deployments, and one that asks for all that a job can. */
#define MIX_LIST(X)           \
    X(TRENTVALE, "trentvale") \
    X(ATLAS, "atlas")         \
    X(VARIED, "varied")
typedef enum Mix {
#define X(name, word) MIX_##name,
    MIX_LIST(X)
#undef X
        MIX_COUNT
} Mix;

/* The classes of jobs. Both deployments have the urgent light one, two-step sweeps and the
 * heavy one. The others are the varied mix's alone. */
#define CLASS_LIST(X)           \
    X(URGENT, "urgent")         \
    X(SWEEP, "sweep")           \
    X(HEAVY, "heavy")           \
    X(GANG, "gang")             \
    X(DUE, "due")               \
    X(DELAYED, "delayed")       \
    X(COPIES, "copies")         \
    X(KIND, "kind")             \
    X(LABEL, "label")           \
    X(BOUNDED, "bounded")       \
    X(IMPOSSIBLE, "impossible") \
    X(PROBE, "probe")           \
    X(TURNS, "turns")           \
    X(LASTING, "lasting")       \
    X(SAVER, "saver")
typedef enum MixClass {
#define X(name, word) CLASS_##name,
    CLASS_LIST(X)
#undef X
        CLASS_COUNT
} MixClass;

const char *mix_word(Mix mix);
/* MIX_COUNT: there is no such mix. */
Mix mix_of_word(const char *word);
const char *class_word(MixClass kind);
/* The configuration that the mix needs, as JSON; static. */
const char *mix_config(Mix mix);
/* A job of the class as JSON, on mem. The same id and wall_ms (the caller's wall clock when it
 * first sent the job) make the same job. */
const char *mix_job(void *mem, Mix mix, MixClass kind, const char *id, int64_t wall_ms);
/* The cell in which operators let tenants in and out. */
const char *mix_cell(Mix mix);
/* A light job of any tenant of that cell, as JSON on mem. */
const char *mix_probe(void *mem, Mix mix, const char *tenant, const char *id);

#define ENTRIES_MAX 16 /* count; entry points that one caller knows */

/* What became of one job, as the caller knows it. */
typedef struct CallerJob {
    const char *id;
    MixClass kind;
    int64_t wall_ms;                                    /* when it was first sent, by the wall clock */
    int64_t sent_ms, accepted_ms, started_ms, ended_ms; /* the loop's clock; 0: not yet */
    uint64_t sends;                                     /* how often it was sent */
    bool refused, cancelled;
    char phase[16]; /* as it was last shown */
} CallerJob;

/* What is reported to the checkers; each may be null. */
typedef struct CallerWatch {
    void *arg;
    void (*sent)(void *arg, const char *id); /* it is about to be sent for the first time */
    void (*accepted)(void *arg, const char *id);
    void (*refused)(void *arg, const char *id, int code);
    void (*ended)(void *arg, const char *id, const char *phase);
    void (*unknown)(void *arg, const char *id); /* an accepted job was answered with 404 */
    void (*cancelled)(void *arg, const char *id);
} CallerWatch;

typedef struct CallerSettings {
    const char *name; /* begins every job's id */
    const char *entries[ENTRIES_MAX];
    size_t entry_count;
    Mix mix;
    bool twins;         /* now and then the same job is sent at two entry points at once */
    int64_t rate_milli; /* jobs in a thousand seconds; above 0 */
    int64_t for_ms;     /* hands in for so long */
    size_t most;        /* count; at most so many jobs; 0: no bound */
    CallerWatch watch;
} CallerSettings;

typedef struct Caller Caller;

/* Lives on mem; starts to hand in at once. settings is copied. */
Caller *caller_start(void *mem, Loop *loop, const CallerSettings *settings);
/* Hands in no more; goes on following what it has handed in. */
void caller_stop(Caller *caller);
/* Cancels all that it has handed in and that has not ended, and all that it yet hands in. */
void caller_give_up(Caller *caller);
/* All that it has handed in, in order; the array is good until the next wait. */
size_t caller_jobs(const Caller *caller, CallerJob *const **jobs);
/* Whether it hands in no more and every job has ended or was refused. */
bool caller_done(const Caller *caller);
/* Waits, some minutes at most. Sets the mix's configuration through an entry point.
 * BAD_FIELD: it was refused; NO_LEADER: nobody took it in time. */
Status caller_configure(void *mem, Loop *loop, const char *entry, Mix mix);

#endif
