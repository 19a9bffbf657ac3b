#ifndef SIM_SRC_CHECKER_H
#define SIM_SRC_CHECKER_H

/* What a checker keeps, and the functions that its files share: checker.c and check_seen.c below, check_claim.c and
 * check_config.c on them, above all check_start.c (starts), check_run.c (other events at workers), check_job.c
 * (callers), check_serve.c (service after faults) and check_look.c (what takes time to go wrong). */

#include "base/map.h"
#include "plan/plan.h"
#include "sim/checker.h"

/* Each bound with its reason; "about" in the brief is read as given here. */
#define CANCEL_LATE_MS 3000  /* ms; "more than about 3 seconds after its job was cancelled" */
#define LEAVING_LATE_MS 2000 /* ms; "more than about 2 seconds after it said so" */
#define ZONE_LATE_MS 5000    /* ms; "more than about 5 seconds after we asked" */
#define CONFIG_LATE_MS 2000  /* ms; "ignored after about 2 seconds" */
#define UNKNOWN_LATE_MS 3000 /* ms; "unknown when asked about 3 seconds after acceptance" */
#define SERVE_LATE_MS 12000  /* ms; "serving again within about 12 seconds" */
#define CLAIM_MOST_MS 4000   /* ms; a claim is "a few seconds at most": an agent's lease and the way there */
#define NOTIFIED_LATE_MS 500 /* ms; a worker that was told to stop has stopped: it is told again with each answer */
#define STOP_LATE_MS 4000    /* ms; a cancel reaches every worker at once, or its lease of 3 s lapses */
#define GANG_LATE_MS                                                                                                   \
    6000                  /* ms; a member's order expires (2 s) or its lease lapses (3 s); then the others are stopped \
                           */
#define WALL_SLACK_MS 250 /* ms; voters' honest clocks differ by up to 100 ms each way */

/* Invariant: a run is in the list from its start until its end, its worker's
 * stop, or the end of its worker's process. */
typedef struct SeenRun {
    struct SeenRun *next;
    const char *worker;
    uint64_t attempt;
    Resources resources;
    int64_t notified_ms; /* the worker was told to stop it; 0: not */
    bool beside_frozen;  /* another began while this one's machine stood still */
} SeenRun;

/* What a worker may claim of a task: like a run, but it outlives the worker's
 * process, until the claim has lapsed. */
typedef struct SeenClaim {
    struct SeenClaim *next;
    const char *worker;
    uint64_t attempt;
    int64_t until_ms; /* the worker's process has gone: its claim as it was then; 0: as the worker's */
} SeenClaim;

typedef struct SeenTask {
    SeenRun *runs; /* that run now */
    SeenClaim *claims;
    bool done; /* a worker finished it well */
    bool done_known;
    int64_t started_ms;
} SeenTask;

typedef struct SeenJob {
    const char *id;
    bool accepted, refused, ended;
    bool copies, lasting; /* as its spec said when it was last seen */
    bool settled;         /* shown as ended and nothing of it runs: there is nothing to look for */
    int64_t sent_ms;      /* first; 0: not told */
    int64_t cancelled_ms; /* 0: not */
    Map *tasks;
} SeenJob;

typedef struct SeenWorker {
    Worker worker;
    Resources used;
    int64_t leaving_ms; /* 0: not */
    int64_t started_ms; /* 0: never */
    size_t starts;
    int64_t claim_until_ms; /* by the questions it sent that were answered */
} SeenWorker;

typedef struct SeenZone {
    int64_t drained_ms;
} SeenZone;

/* A tenant as operators were told of it. Invariant: unsure is set from the
 * sending of a change until its outcome is known. */
typedef struct SeenTenant {
    bool in, unsure;
    bool ever_in; /* some configuration that was not refused had it */
    int64_t since_ms;
    Resources quota, looser; /* in force; the loosest that may still be */
    int64_t quota_ms;
    bool quota_unsure;
} SeenTenant;

typedef struct SeenEntry {
    int64_t served_ms[SERVE_COUNT]; /* the first of each kind since the last failure; 0: none yet */
} SeenEntry;

struct Checker {
    CheckerSettings settings;
    Map *jobs;
    Map *unsettled; /* those of jobs that are not settled: what is looked at again and again */
    Map *workers, *zones, *tenants, *entries;
    uint64_t plan_term;
    const char *plan_leader;
    bool plan_gone; /* the process that planned under plan_term has ended */
    Map *terms;     /* every term that planned, to its leader */
    uint64_t version;
    int64_t fault_ms;   /* the last failure brought about; 0: none */
    int64_t started_ms; /* the first start since then; 0: none yet */
    int64_t worst_ms[SERVE_COUNT];
    size_t starts, resumes;
    size_t broken[INVARIANT_COUNT];
    size_t broken_all;
    char *first;
};

/* --- checker.c --- */
int64_t checker_now(const Checker *checker);
/* Counts a break of the property; the text of the first one is kept. */
void checker_broke(Checker *checker, Invariant invariant, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* For how long something has been owed: since it was asked for, or since SERVE_LATE_MS after the last fault, whichever
 * is later. */
int64_t checker_debt_ms(const Checker *checker, int64_t asked_ms);

/* --- check_seen.c: records are made when they are first asked for --- */
SeenJob *seen_job(Checker *checker, const char *id);
SeenTask *seen_task(SeenJob *job, uint64_t task);
SeenWorker *seen_worker(Checker *checker, const char *name);
/* Whether the task of that index finished well; of a gang one member's end stands for all. */
bool seen_done(const Job *known, SeenJob *job, size_t at);
/* ... and its worker was told that this is known. */
bool seen_done_known(const Job *known, SeenJob *job, size_t at);
/* The worker's attempt of the task runs no more; false: it did not. */
bool seen_run_take(SeenWorker *on, SeenTask *seen, uint64_t attempt);

/* --- check_claim.c --- */
/* A start beside claims of other workers; makes the new claim. */
void claim_start(Checker *checker, const SeenJob *job, SeenTask *task, uint64_t number, const char *worker,
                 uint64_t attempt, bool copies);
/* The worker's process is gone: a later one of its name has claims of its own. */
void claim_gone(Checker *checker, SeenWorker *worker);
void claim_end(SeenTask *task, const char *worker, uint64_t attempt);

/* --- check_config.c --- */
SeenTenant *seen_tenant(Checker *checker, const char *name);
/* A start of so much by the job's tenant. */
void quota_start(Checker *checker, const Job *job, Resources resources);

#endif
