#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "loop/loop.h"
#include "state/worker.h"

/* A stand-in for a real worker, for proof only: it speaks to its agent as any
 * worker does and "runs" tasks by letting time pass. Payload: {"run_ms": n,
 * "failAttempts": n, "save_ms": n} - the first n attempts fail; what is done is saved this
 * often, and the next round goes on from there. */
typedef struct StandWorker StandWorker;

/* Told of what really runs; for the checkers. */
typedef struct StandWorkerWatch {
    void *arg;
    void (*started)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, Room room);
    void (*ended)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptWord word);
    /* It has heard that the end of the attempt is known to the leader. */
    void (*known)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptWord word);
    /* It asks for the first time since its start: a new boot. */
    void (*booted)(void *arg, const char *worker);
    /* It may run what it runs for so much longer: an answer to a question of its own. */
    void (*held)(void *arg, const char *worker, int64_t left_ms);
    /* The attempt that starts next goes on from what was saved. */
    void (*resumed)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, const char *saved);
    /* It has heard that the attempt is to stop. */
    void (*told)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt);
} StandWorkerWatch;

typedef struct StandWorkerSettings {
    Worker worker;
    const char *agent; /* HTTP address */
    StandWorkerWatch watch;
    Room others;        /* room taken by somebody else, told as not free */
    bool fails_all;     /* claims health, fails every task */
    bool repeats;       /* now and then an old report is told again, out of order */
    bool hangs;         /* what it starts stands still */
    int64_t slow_times; /* takes so many times as long; 0 or 1: as asked */
} StandWorkerSettings;

StandWorker *stand_worker_start(void *mem, Loop *loop, const StandWorkerSettings *settings);
/* Says that it leaves; takes nothing new from then on. */
void stand_worker_leave(StandWorker *worker);
void stand_worker_fail(StandWorker *worker, bool fails);
/* ... and stays for so long. */
void stand_worker_leave_in(StandWorker *worker, int64_t for_ms);
/* What starts from now on stands still until it is stopped. */
void stand_worker_hang(StandWorker *worker, bool hangs);
/* What starts from now on takes so many times as long. */
void stand_worker_slow(StandWorker *worker, int64_t times);
/* Tells each report twice, the second time as it was before: a repeated, late one. */
void stand_worker_repeat(StandWorker *worker, bool repeats);
size_t stand_worker_running(const StandWorker *worker);

#endif
