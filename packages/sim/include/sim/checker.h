#ifndef SIM_CHECKER_H
#define SIM_CHECKER_H

#include "loop/loop.h"
#include "state/table.h"

/* The safety properties (nevers) of the product, checked from outside. A checker is told what really happens (what
 * workers run, what callers were told, who plans) and tells which property broke. Used by the simulator, the model and
 * the replay of real fleets (sim/tool/replay.c). Each event is told when it happens, on the one clock of now_ms. */
#define INVARIANT_LIST(X)                                                                    \
    X(TWO_LEADERS, "two leaders planning at once")                                           \
    X(TWICE, "one task running twice at once")                                               \
    X(AFTER_FINISH, "a task starting after it finished well")                                \
    X(FORGOTTEN, "an accepted job forgotten or unknown")                                     \
    X(REFUSED_RAN, "a refused job running")                                                  \
    X(TOO_EARLY, "a task starting before its steps or its due time")                         \
    X(OVERPACKED, "a worker packed beyond its room or given what it lacks")                  \
    X(CANCELLED_RAN, "a task starting long after its job was cancelled")                     \
    X(STOPPED_RAN, "a task running on after its hold lapsed")                                \
    X(LEAVING_GIVEN, "a leaving worker or emptied zone given new work")                      \
    X(GANG_SPLIT, "members of a gang left waiting alone")                                    \
    X(CONFIG_LOST, "an acknowledged configuration ignored, lost or rolled back")             \
    X(EARLY_RESTART, "a restart before the lost worker's claim lapsed, or a claim too long") \
    X(REFUSED_CONFIG, "a refused configuration taking effect")                               \
    X(OVER_QUOTA, "more of a tenant running than its quota")                                 \
    X(STRANGE_SAVED, "a round going on from what another task has saved")                    \
    X(NOT_SERVING, "not serving again within 12 s")

typedef enum Invariant {
#define X(name, words) INVARIANT_##name,
    INVARIANT_LIST(X)
#undef X
        INVARIANT_COUNT
} Invariant;

/* What the property says must never happen. */
const char *invariant_words(Invariant invariant);

/* Services that must be back within 12 s after the last failure. */
#define SERVE_LIST(X)          \
    X(ACCEPT, "an acceptance") \
    X(STATUS, "a status read") \
    X(START, "a start")
typedef enum Serve {
#define X(name, word) SERVE_##name,
    SERVE_LIST(X)
#undef X
        SERVE_COUNT
} Serve;

const char *serve_word(Serve serve);

/* The outcome of an operator's change that concerns a tenant: sent and still open, acknowledged with the tenant in or
 * out, rejected for good. */
typedef enum TenantWord { TENANT_ASKED, TENANT_IN, TENANT_OUT, TENANT_REFUSED } TenantWord;

typedef struct Checker Checker;

/* What a checker asks its owner. */
typedef struct CheckerSettings {
    void *arg;
    int64_t (*now_ms)(void *arg); /* one clock for all that is told */
    /* Whether the worker's machine stands still now, so that its tasks make no progress. */
    bool (*frozen)(void *arg, const char *worker);
    /* A job as accepted, from any node that knows it; null when none does. */
    const Job *(*job)(void *arg, const char *id);
    /* True wall time; null where it is not known. */
    int64_t (*wall_ms)(void *arg);
} CheckerSettings;

/* On mem; settings is copied. */
Checker *checker_new(void *mem, const CheckerSettings *settings);
/* How often properties broke, and what the first break was ("": none). */
size_t checker_broken(const Checker *checker, Invariant invariant);
size_t checker_broken_all(const Checker *checker);
const char *checker_first(const Checker *checker);

/* The leader acts as one under the term: no two may at once. */
void checker_plans(Checker *checker, const char *leader, uint64_t term);
/* The process of a leader, or of a former one, has ended. */
void checker_leader_gone(Checker *checker, const char *leader);
/* The worker describes itself. */
void checker_worker(Checker *checker, const Worker *worker);
/* An attempt starts on a worker. */
void checker_started(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     Resources resources);
/* The attempt that is about to start continues from a checkpoint, which stand-ins write as "TASK@MS of JOB". */
void checker_resumed(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     const char *saved);
/* An attempt has ended there; later, the worker is told that this is known. */
void checker_ended(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                   AttemptStatus word);
void checker_known(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                   AttemptStatus word);
/* The worker's process is gone: nothing runs there any more. */
void checker_worker_gone(Checker *checker, const char *worker);
/* Its machine runs again after standing still. */
void checker_worker_restarted(Checker *checker, const char *worker);
void checker_leaving(Checker *checker, const char *worker, bool leaving);
void checker_zone(Checker *checker, const char *zone, bool drained);
/* A new process of the worker has reported to its agent: nothing of the old one runs. */
void checker_booted(Checker *checker, const char *worker);
/* The worker may run its attempts until then: its lease. */
void checker_held(Checker *checker, const char *worker, int64_t until_ms);
/* The worker has been told to stop the attempt. */
void checker_notified(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt);
/* A failure begins or ends now. */
void checker_fault(Checker *checker);
/* An entry point has served something; it must have served each kind by now, 12 s after the last failure; the fleet
 * must have started something by now. */
void checker_served(Checker *checker, const char *entry, Serve serve);
void checker_must_serve(Checker *checker, const char *entry);
void checker_must_start(Checker *checker);
/* The longest time from the last failure to the first service after it, of those asserted. */
int64_t checker_worst_ms(const Checker *checker, Serve serve);
/* The job is sent for the first time. */
void checker_sent(Checker *checker, const char *job);
void checker_accepted(Checker *checker, const char *job);
void checker_refused(Checker *checker, const char *job);
void checker_cancelled(Checker *checker, const char *job);
void checker_job_ended(Checker *checker, const char *job, const char *phase);
void checker_unknown(Checker *checker, const char *job);
/* An operator was told that this version is in force; a version was read back. */
void checker_config_set(Checker *checker, uint64_t version);
/* Two operators were told that their changes of the same base were taken. */
void checker_config_both(Checker *checker, uint64_t base);
void checker_config_read(Checker *checker, uint64_t version);
/* The effect of configurations: a tenant's membership; work of a tenant that was sent at sent_ms and answered now; a
 * tenant's quota in every cell. */
void checker_tenant(Checker *checker, const char *tenant, TenantWord word);
void checker_probe(Checker *checker, const char *tenant, int64_t sent_ms, bool taken);
void checker_quota(Checker *checker, const char *tenant, Resources quota, TenantWord word);
/* Accepted jobs not shown as ended. */
size_t checker_open(const Checker *checker);
size_t checker_starts(const Checker *checker);
/* How many of the starts continued from a checkpoint. */
size_t checker_resumes(const Checker *checker);
size_t checker_starts_on(Checker *checker, const char *worker);
/* How long ago the worker last started something. */
int64_t checker_started_since(Checker *checker, const char *worker);
/* To be called from time to time: checks what must not last. */
void checker_inspect(Checker *checker);
/* At the end of a run: every accepted job must have ended. */
void checker_end(Checker *checker);

#endif
