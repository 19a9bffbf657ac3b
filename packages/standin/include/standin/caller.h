#ifndef STANDIN_CALLER_H
#define STANDIN_CALLER_H

#include "loop/loop.h"

/* A stand-in for the users' callers, for tests only: submits a deployment's mix of jobs through any of its entry
 * points, resubmits a job when no answer came, and reads each job until it has ended. Used by the simulator, its
 * checkers and the trial runs of the command line. */

/* The mixes of jobs: those of two deployments, and one that uses every feature of a job. */
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

/* The classes of jobs. Both deployments have urgent light jobs, sweeps of two steps, and heavy jobs. The other
 * classes occur only in the varied mix. */
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

/* Returns the word that names the mix or the class. */
const char *mix_word(Mix mix);
/* Returns the mix of this word, or MIX_COUNT if there is none. */
Mix mix_from_word(const char *word);
const char *class_word(MixClass kind);
/* Returns the configuration that the mix needs, as JSON; static. */
const char *mix_config(Mix mix);
/* Returns a job of the class as JSON on mem. The same id and wall_ms (the caller's wall clock when it first sent the
 * job) give the same job. */
const char *mix_job(void *mem, Mix mix, MixClass kind, const char *id, int64_t wall_ms);
/* Returns the cell in which operators add and remove tenants. */
const char *mix_cell(Mix mix);
/* Returns a light job of the given tenant of that cell, as JSON on mem. */
const char *mix_probe(void *mem, Mix mix, const char *tenant, const char *id);

#define CALLER_ENTRY_POINTS_MAX 16 /* maximum number of entry points of one caller */

/* A submitted job and its state, as far as the caller knows it. */
typedef struct CallerJob {
    const char *id;
    MixClass kind;
    int64_t wall_ms;                                    /* wall clock when it was first sent */
    int64_t sent_ms, accepted_ms, started_ms, ended_ms; /* by the loop's clock; 0: not yet */
    uint64_t sends;                                     /* number of submissions */
    bool refused, cancelled;
    char phase[16]; /* phase that was last read */
} CallerJob;

/* Callbacks to the checkers; each may be null. */
typedef struct CallerCallbacks {
    void *arg;
    void (*sent)(void *arg, const char *id); /* the job is about to be sent for the first time */
    void (*accepted)(void *arg, const char *id);
    void (*refused)(void *arg, const char *id, int code); /* code: HTTP status */
    void (*ended)(void *arg, const char *id, const char *phase);
    void (*unknown)(void *arg, const char *id); /* a read of an accepted job was answered with 404 */
    void (*cancelled)(void *arg, const char *id);
} CallerCallbacks;

/* The parameters of a caller. */
typedef struct CallerSettings {
    const char *name; /* prefix of the ids of its jobs */
    const char *entries[CALLER_ENTRY_POINTS_MAX];
    size_t entry_count;
    Mix mix;
    bool submits_duplicates; /* occasionally submits the same job through two entry points at the same time */
    int64_t rate_milli;      /* jobs per 1000 s; must be positive */
    int64_t submission_ms;   /* time for which jobs are submitted */
    size_t jobs_max;         /* maximum number of jobs; 0: no limit */
    CallerCallbacks watch;
} CallerSettings;

typedef struct Caller Caller;

/* Creates a caller on mem, which starts to submit jobs immediately. settings is copied. */
Caller *caller_start(void *mem, Loop *loop, const CallerSettings *settings);
/* Ends submission; the jobs that were submitted are still followed. */
void caller_stop(Caller *caller);
/* Cancels all its jobs that have not ended, including those still to be submitted. */
void caller_cancel_all(Caller *caller);
/* Returns the number of its jobs and, in order of submission, the jobs; the array is valid until another task
 * runs. */
size_t caller_jobs(const Caller *caller, CallerJob *const **jobs);
/* Whether submission has ended and every job has ended or was refused. */
bool caller_done(const Caller *caller);
/* Sets the mix's configuration through an entry point. Suspends the coroutine, for some minutes at most. Returns
 * STATUS_BAD_FIELD if the configuration was refused, and STATUS_NO_LEADER if it was not accepted in time. */
Status caller_configure(void *mem, Loop *loop, const char *entry, Mix mix);

#endif
