#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "loop/loop.h"
#include "state/worker.h"

/* A stand-in for a real worker, for tests only: it speaks to its agent as any worker does and
 * "runs" tasks by letting time pass. Used by the simulator and its checkers.
 *
 * A task's payload: {"run_ms": ms, "failAttempts": count, "save_ms": ms}. The first failAttempts
 * attempts fail; a checkpoint is made each save_ms, and the next attempt goes on from it. */
typedef struct StandWorker StandWorker;

/* What really runs, as it is reported to the checkers; each may be null. */
typedef struct StandWorkerWatch {
    void *arg;
    void (*started)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                    Resources resources);
    void (*ended)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptStatus word);
    /* It has heard that the end of the attempt is known to the leader. */
    void (*known)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptStatus word);
    /* It is about to report for the first time: a new boot. */
    void (*booted)(void *arg, const char *worker);
    /* Its lease lasts for so much longer, as the answer to a report says. */
    void (*held)(void *arg, const char *worker, int64_t left_ms);
    /* The attempt that starts next goes on from a checkpoint. */
    void (*resumed)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, const char *saved);
    /* It has heard that the attempt is to stop. */
    void (*reported)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt);
} StandWorkerWatch;

typedef struct StandWorkerSettings {
    Worker worker;     /* what it reports of itself */
    const char *agent; /* HTTP address */
    StandWorkerWatch watch;
    Resources others;   /* capacity taken by somebody else, reported as not free */
    bool fails_all;     /* reports as a healthy one, and fails every task */
    bool repeats;       /* now and then an old report is sent again, out of order */
    bool hangs;         /* what it starts makes no progress */
    int64_t slow_times; /* takes so many times as long; 0 or 1: as asked */
} StandWorkerSettings;

/* Lives on mem; reports to its agent from now on. settings is copied. */
StandWorker *stand_worker_start(void *mem, Loop *loop, const StandWorkerSettings *settings);
/* Graceful shutdown: reports that it is leaving; nothing new should come from then on. */
void stand_worker_leave(StandWorker *worker);
/* Whether what starts from now on fails. */
void stand_worker_fail(StandWorker *worker, bool fails);
/* Reports that it is leaving and stays for for_ms. */
void stand_worker_leave_in(StandWorker *worker, int64_t for_ms);
/* Whether what starts from now on makes no progress, until it is stopped. */
void stand_worker_hang(StandWorker *worker, bool hangs);
/* What starts from now on takes so many times as long. */
void stand_worker_slow(StandWorker *worker, int64_t times);
/* Whether old reports are sent again now and then, as late duplicates. */
void stand_worker_repeat(StandWorker *worker, bool repeats);
/* Attempts that have not ended. */
size_t stand_worker_running(const StandWorker *worker);

#endif
