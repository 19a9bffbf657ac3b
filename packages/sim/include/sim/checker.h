#ifndef SIM_CHECKER_H
#define SIM_CHECKER_H

#include "loop/loop.h"
#include "state/table.h"

/* The safety properties of the cluster, checked from outside. A checker receives the events that really happen (what
 * workers run, which answers callers get, which leader plans) and counts violations of each property. It is used by the
 * simulator, the model and the replay of real fleets (sim/tool/replay.c). Each event must be reported when it happens,
 * by the clock of CheckerSettings.now_ms. */
#define INVARIANT_LIST(X)                                                                    \
    X(TWO_LEADERS, "two leaders planning at once")                                           \
    X(TWICE, "one task running twice at once")                                               \
    X(AFTER_FINISH, "a task starting after it finished well")                                \
    X(FORGOTTEN, "an accepted job forgotten or unknown")                                     \
    X(REFUSED_RAN, "a refused job running")                                                  \
    X(TOO_EARLY, "a task starting before its steps or its due time")                         \
    X(OVERPACKED, "a worker given more than its capacity or work that it can't run")         \
    X(CANCELLED_RAN, "a task starting long after its job was cancelled")                     \
    X(STOPPED_RAN, "a task running after its worker's lease has expired")                    \
    X(LEAVING_GIVEN, "a leaving worker or drained zone given new work")                      \
    X(GANG_SPLIT, "members of a gang left waiting alone")                                    \
    X(CONFIG_LOST, "an acknowledged configuration ignored, lost or rolled back")             \
    X(EARLY_RESTART, "a restart before the lost worker's claim lapsed, or a claim too long") \
    X(REFUSED_CONFIG, "a refused configuration taking effect")                               \
    X(OVER_QUOTA, "more of a tenant running than its quota")                                 \
    X(STRANGE_SAVED, "an attempt resuming from the checkpoint of another task")              \
    X(NOT_SERVING, "not serving again within 12 s")

typedef enum Invariant {
#define X(name, words) INVARIANT_##name,
    INVARIANT_LIST(X)
#undef X
        INVARIANT_COUNT
} Invariant;

/* The text of the property: what must never happen. "" for an invalid value. */
const char *invariant_text(Invariant invariant);

/* Services that must be available again within 12 s after the last fault. */
#define SERVE_LIST(X)          \
    X(ACCEPT, "an acceptance") \
    X(STATUS, "a status read") \
    X(START, "a start")
typedef enum ServiceKind {
#define X(name, word) SERVE_##name,
    SERVE_LIST(X)
#undef X
        SERVE_COUNT
} ServiceKind;

/* The text of the service in messages. */
const char *serve_text(ServiceKind serve);

/* The state of an operator's change that concerns a tenant: sent without an outcome yet, acknowledged with the tenant
 * present or absent, definitely refused. */
typedef enum TenantChangeState {
    TENANT_CHANGE_SENT,
    TENANT_PRESENT,
    TENANT_ABSENT,
    TENANT_CHANGE_REFUSED
} TenantChangeState;

typedef struct Checker Checker;

/* Functions by which a checker queries its owner; each gets arg. */
typedef struct CheckerSettings {
    void *arg;
    int64_t (*now_ms)(void *arg); /* one clock for all events */
    /* Whether the worker's machine is frozen now, so that its attempts make no progress. */
    bool (*frozen)(void *arg, const char *worker);
    /* The accepted job, from any node that knows it; null if none does. */
    const Job *(*job)(void *arg, const char *id);
    /* The true wall time. The function is null if that is not known. */
    int64_t (*wall_ms)(void *arg);
} CheckerSettings;

/* A checker owned by mem. settings is copied. */
Checker *checker_new(void *mem, const CheckerSettings *settings);
/* Number of violations of one property. */
size_t checker_violations(const Checker *checker, Invariant invariant);
/* Number of violations of all properties. */
size_t checker_violations_total(const Checker *checker);
/* Time, property and details of the first violation; "": none. The checker owns the text. */
const char *checker_first_violation(const Checker *checker);

/* The leader makes a plan under the term. No two leaders may do so at the same time. */
void checker_leader_plans(Checker *checker, const char *leader, uint64_t term);
/* The process of a leader or former leader has ended. */
void checker_leader_ended(Checker *checker, const char *leader);
/* The worker's description is new or has changed. worker is copied. */
void checker_worker_described(Checker *checker, const Worker *worker);
/* An attempt starts on a worker. task: the task's number, not its index. */
void checker_started(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     Resources resources);
/* The attempt that is about to start continues from a checkpoint. saved: its text, "TASK@MS of JOB" from stand-ins. */
void checker_resumed(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     const char *saved);
/* An attempt has ended on the worker. */
void checker_ended(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                   AttemptStatus word);
/* The worker was notified that the end of the attempt is known. */
void checker_end_acknowledged(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                              AttemptStatus word);
/* The worker's process has ended: nothing runs there from now on. */
void checker_worker_ended(Checker *checker, const char *worker);
/* The worker's machine runs again after a freeze. */
void checker_worker_thawed(Checker *checker, const char *worker);
/* The worker announced that it leaves, or a new process of it stays. */
void checker_worker_leaving(Checker *checker, const char *worker, bool leaving);
/* The drain of the zone was acknowledged, or taken back. */
void checker_zone_drained(Checker *checker, const char *zone, bool drained);
/* A new process of the worker has reported to its agent: nothing of the former process runs. */
void checker_worker_booted(Checker *checker, const char *worker);
/* The worker was granted a lease: it may run its attempts until until_ms. */
void checker_lease_granted(Checker *checker, const char *worker, int64_t until_ms);
/* The worker was ordered to stop the attempt. */
void checker_stop_ordered(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt);
/* A fault begins or ends now. */
void checker_fault(Checker *checker);
/* An entry point has provided a service. */
void checker_served(Checker *checker, const char *entry, ServiceKind serve);
/* Checks that the entry point has accepted a job and answered a status read within 12 s after the last fault. */
void checker_check_served(Checker *checker, const char *entry);
/* Checks that the fleet has started an attempt within 12 s after the last fault. */
void checker_check_started(Checker *checker);
/* The longest time from a fault to the first service after it, in ms, of the cases that were checked. */
int64_t checker_worst_ms(const Checker *checker, ServiceKind serve);
/* A caller sends the job. Only the first time counts. */
void checker_sent(Checker *checker, const char *job);
/* A caller got the answer that the job is accepted. */
void checker_accepted(Checker *checker, const char *job);
/* A caller got the answer that the job is refused. */
void checker_refused(Checker *checker, const char *job);
/* A caller got the answer that the job is cancelled. */
void checker_cancelled(Checker *checker, const char *job);
/* A caller was shown the job in this final phase. */
void checker_job_ended(Checker *checker, const char *job, const char *phase);
/* A caller got the answer that the job, which had been accepted, is unknown. */
void checker_job_unknown(Checker *checker, const char *job);
/* An operator got the answer that this configuration version is in force. */
void checker_config_acknowledged(Checker *checker, uint64_t version);
/* Two operators got the answer that their changes, both based on this version, were accepted. */
void checker_config_conflict(Checker *checker, uint64_t base);
/* An operator has read this version as the one in force. */
void checker_config_read(Checker *checker, uint64_t version);
/* An operator's change of a tenant's membership has reached this state. */
void checker_tenant_changed(Checker *checker, const char *tenant, TenantChangeState word);
/* A job of the tenant, sent at sent_ms, was accepted now (taken is true), or refused because of the tenant. */
void checker_tenant_probed(Checker *checker, const char *tenant, int64_t sent_ms, bool taken);
/* An operator's change of the tenant's quota, which applies in every cell, has reached this state. */
void checker_quota_changed(Checker *checker, const char *tenant, Resources quota, TenantChangeState word);
/* Number of accepted jobs not shown as ended yet. */
size_t checker_open_jobs(const Checker *checker);
/* Number of starts of attempts. */
size_t checker_starts(const Checker *checker);
/* Number of starts that continued from a checkpoint. */
size_t checker_resumes(const Checker *checker);
/* Number of starts on the worker. */
size_t checker_starts_on(Checker *checker, const char *worker);
/* Time since the latest start on the worker, in ms. */
int64_t checker_last_start_age_ms(Checker *checker, const char *worker);
/* Checks properties that depend on a time limit. To be called regularly, about every 500 ms. */
void checker_inspect(Checker *checker);
/* Checks at the end of a run that every accepted job has ended. */
void checker_check_all_ended(Checker *checker);

#endif
