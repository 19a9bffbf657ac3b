#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "loop/loop.h"
#include "state/worker.h"

/* A stand-in for a real worker, for tests only: communicates with its agent as any worker does and "runs" tasks by
 * letting time pass. Used by the simulator and its checkers.
 *
 * The payload of a task is {"runMs": ms, "failRounds": count, "saveMs": ms}. The first failRounds attempts fail; a
 * checkpoint is made after each saveMs of work, and the next attempt continues from it. */
typedef struct StandWorker StandWorker;

/* Callbacks to the checkers about what actually runs; each may be null. */
typedef struct StandWorkerCallbacks {
    void *arg;
    /* An attempt has started, or ended with this word. */
    void (*started)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                    Resources resources);
    void (*ended)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptStatus word);
    /* The worker has learnt that the leader knows the end of the attempt. */
    void (*end_known)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                      AttemptStatus word);
    /* The worker is about to send its first report: a new process. */
    void (*booted)(void *arg, const char *worker);
    /* The worker's lease lasts for another left_ms, as the answer to a report says. */
    void (*lease_extended)(void *arg, const char *worker, int64_t left_ms);
    /* The attempt that starts next continues from a checkpoint. */
    void (*resumed)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, const char *saved);
    /* The worker has learnt that the attempt is to be stopped. */
    void (*stop_ordered)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt);
} StandWorkerCallbacks;

/* The parameters of a worker. */
typedef struct StandWorkerSettings {
    Worker worker;     /* properties that it reports */
    const char *agent; /* HTTP address of its agent */
    StandWorkerCallbacks watch;
    Resources other_capacity; /* capacity used by other software, reported as not free */
    bool fails_all_tasks;     /* reports as a healthy worker, but fails every task */
    bool resends_reports;     /* occasionally resends an old report, out of order */
    bool hangs;               /* its tasks make no progress */
    int64_t slowdown_factor;  /* factor on the duration of tasks; 0 or 1: as the payload says */
} StandWorkerSettings;

/* Creates a worker on mem, which reports to its agent from now on. settings is copied. */
StandWorker *stand_worker_start(void *mem, Loop *loop, const StandWorkerSettings *settings);
/* Starts a graceful shutdown: reports that the worker is leaving; it should get no new task from then on. */
void stand_worker_leave(StandWorker *worker);
/* Sets whether tasks that start from now on fail. */
void stand_worker_set_failing(StandWorker *worker, bool fails);
/* Reports that the worker is leaving, and that it stays for another for_ms. */
void stand_worker_leave_after(StandWorker *worker, int64_t for_ms);
/* Sets whether tasks that start from now on make no progress until they are stopped. */
void stand_worker_set_hanging(StandWorker *worker, bool hangs);
/* Sets the factor on the duration of tasks that start from now on. */
void stand_worker_set_slowdown(StandWorker *worker, int64_t slow_factor);
/* Sets whether old reports are occasionally resent, as late duplicates. */
void stand_worker_set_resending(StandWorker *worker, bool repeats);
/* Returns the number of attempts that have not ended. */
size_t stand_worker_running(const StandWorker *worker);

#endif
