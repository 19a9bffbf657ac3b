#ifndef SIM_SRC_CHECKER_H
#define SIM_SRC_CHECKER_H

/* State of a checker and the functions that its source files share. checker.c and check_records.c hold the basic
 * functions; check_claim.c and check_config.c are built on them. On top are check_start.c (starts), check_run.c (other
 * events at workers), check_job.c (events at callers), check_service.c (service after faults) and check_time_limits.c
 * (properties that break only after a time limit). */

#include "base/map.h"
#include "plan/plan.h"
#include "sim/checker.h"

/* Time limits, in ms. Quotations are from the requirements; where these say "about", the limit is the value here. */
#define CANCEL_LATE_MS 3000  /* "more than about 3 seconds after its job was cancelled" */
#define LEAVING_LATE_MS 2000 /* "more than about 2 seconds after it said so" */
#define ZONE_LATE_MS 5000    /* "more than about 5 seconds after we asked" */
#define CONFIG_LATE_MS 2000  /* "ignored after about 2 seconds" */
#define UNKNOWN_LATE_MS 3000 /* "unknown when asked about 3 seconds after acceptance" */
#define SERVE_LATE_MS 12000  /* "serving again within about 12 seconds" */
/* A worker's claim lasts "a few seconds at most": the agent's lease and the transmission delay. */
#define CLAIM_MOST_MS 4000
/* A worker that was ordered to stop an attempt has stopped it after this time. Each answer repeats the order. */
#define STOP_ORDER_LATE_MS 500
/* After a cancellation, each worker is ordered to stop immediately, or its lease of 3 s expires. */
#define CANCELLED_RUN_LATE_MS 4000
/* A gang member's order (2 s) or its worker's lease (3 s) expires; then the other members are stopped. */
#define GANG_LATE_MS 6000
#define WALL_SLACK_MS 250 /* The correct wall clocks of voters differ by up to 100 ms in each direction. */

/* An attempt that runs on a worker. Invariant: the run is in its task's list from its start until it ends, is stopped
 * by its worker, or its worker's process ends. */
typedef struct SeenRun {
    struct SeenRun *next;
    const char *worker;
    uint64_t attempt;
    Resources resources;
    int64_t notified_ms;         /* when the worker was ordered to stop the attempt; 0: it was not */
    bool restarted_while_frozen; /* another attempt of the task started while this one's machine was frozen */
} SeenRun;

/* A worker's claim on an attempt: until it expires, the worker may be running the attempt. Unlike a run it outlives the
 * worker's process. */
typedef struct SeenClaim {
    struct SeenClaim *next;
    const char *worker;
    uint64_t attempt;
    int64_t until_ms; /* when the claim expires, set at the end of the worker's process; 0: SeenWorker.claim_until_ms */
} SeenClaim;

/* A task of a job. */
typedef struct SeenTask {
    SeenRun *runs; /* attempts that run now */
    SeenClaim *claims;
    bool done;          /* a worker has completed the task */
    bool done_known;    /* the worker was notified that the controllers know of the completion */
    int64_t started_ms; /* the latest start */
} SeenTask;

/* A job, from the first event that names it. */
typedef struct SeenJob {
    const char *id;
    bool accepted, refused, ended;
    bool copies, lasting; /* from the job's spec when it was last available */
    bool settled;         /* the job was shown as ended and none of its attempts runs: nothing is left to check */
    int64_t sent_ms;      /* when the job was first sent; 0: not reported */
    int64_t cancelled_ms; /* 0: not cancelled */
    Map *tasks;           /* task number to SeenTask */
} SeenJob;

/* A worker, over all its processes. */
typedef struct SeenWorker {
    Worker worker;      /* the worker's description as last reported */
    Resources used;     /* resources of the worker's runs */
    int64_t leaving_ms; /* when the worker announced that it leaves; 0: it has not */
    int64_t started_ms; /* the latest start of an attempt here; 0: none yet */
    size_t starts;
    int64_t claim_until_ms; /* when the latest lease of the worker expires */
} SeenWorker;

/* A zone. */
typedef struct SeenZone {
    int64_t drained_ms; /* when the drain was acknowledged; 0: the zone is not drained */
} SeenZone;

/* A tenant according to the answers that operators received. Invariant: change_pending is set from the sending of a
 * change until its outcome is known, and so is quota_pending for a change of the quota. */
typedef struct SeenTenant {
    bool member, change_pending;    /* acknowledged membership; a change of membership has no outcome yet */
    bool ever_member;               /* some configuration that was not refused contained the tenant */
    int64_t member_since_ms;        /* when the latest change of membership was acknowledged; 0: never */
    Resources quota, loosest_quota; /* the acknowledged quota; the loosest quota that may still be in force */
    int64_t quota_ms;               /* when the quota was acknowledged; 0: never */
    bool quota_pending;             /* a change of the quota has no outcome yet */
} SeenTenant;

/* An entry point. */
typedef struct SeenEntryPoint {
    int64_t served_ms[SERVE_COUNT]; /* the first service of each kind since the last fault; 0: none yet */
} SeenEntryPoint;

struct Checker {
    CheckerSettings settings;
    Map *jobs;                                     /* id to SeenJob */
    Map *unsettled;                                /* the jobs that are not settled, which each inspection visits */
    Map *workers, *zones, *tenants, *entry_points; /* name to SeenWorker, SeenZone, SeenTenant, SeenEntryPoint */
    uint64_t plan_term;                            /* the term of the leader that planned last */
    const char *plan_leader;
    bool plan_leader_ended;             /* the process that planned under plan_term has ended */
    Map *terms;                         /* each term in which a leader planned, to the leader's name */
    uint64_t version;                   /* the latest configuration version that an operator saw acknowledged */
    int64_t fault_ms;                   /* when the last injected fault began or ended; 0: none yet */
    int64_t first_start_ms;             /* the first start of an attempt since then; 0: none yet */
    int64_t worst_ms[SERVE_COUNT];      /* the longest times from the last fault to a service */
    size_t starts, resumes;             /* starts of attempts, and those from a checkpoint */
    size_t violations[INVARIANT_COUNT]; /* violations of each property */
    size_t violations_total;
    char *first_violation; /* text of the first violation; "": none */
};

/* --- checker.c --- */
int64_t checker_now(const Checker *checker);
/* Counts a violation of the property, and saves the text of the first violation of all. */
void checker_violated(Checker *checker, Invariant invariant, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* How long a request has been overdue, in ms: the time since asked_ms, or since SERVE_LATE_MS after the last fault,
 * whichever is later. Negative while the fleet is still allowed to be unavailable. */
int64_t checker_overdue_ms(const Checker *checker, int64_t asked_ms);

/* --- check_records.c: lookup of records, which are created at their first use --- */
SeenJob *seen_job(Checker *checker, const char *id);
SeenTask *seen_task(SeenJob *job, uint64_t task);
SeenWorker *seen_worker(Checker *checker, const char *name);
/* Whether the task at that index was completed. For a gang, one completed member is enough. */
bool seen_done(const Job *known, SeenJob *job, size_t at);
/* Whether the task at that index was completed and its worker was notified that this is known. */
bool seen_done_known(const Job *known, SeenJob *job, size_t at);
/* Removes the run of an attempt that no longer runs on the worker. Returns false if there was no such run. */
bool seen_run_remove(SeenWorker *host, SeenTask *seen, uint64_t attempt);

/* --- check_claim.c --- */
/* Checks a start against the claims that other workers have on the task, and records the new claim. */
void claim_check_start(Checker *checker, const SeenJob *job, SeenTask *task, uint64_t number, const char *worker,
                       uint64_t attempt, bool copies);
/* Records that the worker's process has ended: its claims keep their end, and a later process of the same name has
 * claims of its own. */
void claims_worker_ended(Checker *checker, SeenWorker *worker);
/* Removes the worker's claim on an attempt that has ended. */
void claim_remove(SeenTask *task, const char *worker, uint64_t attempt);

/* --- check_config.c --- */
SeenTenant *seen_tenant(Checker *checker, const char *name);
/* Checks a start with these resources against the quota of the job's tenant. */
void quota_check_start(Checker *checker, const Job *job, Resources resources);

#endif
