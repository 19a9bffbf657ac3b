#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "loop/loop.h"
#include "table/worker.h"

/* A stand-in for a real worker, for proof only: it speaks to its agent as any
 * worker does and "runs" tasks by letting time pass. Payload: {"runMs": n,
 * "failRounds": n} - the first n rounds fail. */
typedef struct StandWorker StandWorker;

/* Told of what really runs; for the checkers. */
typedef struct StandWorkerWatch {
    void *arg;
    void (*started)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, Room room);
    void (*ended)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word);
    /* It has heard that the end of the round is known to the leader. */
    void (*known)(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word);
} StandWorkerWatch;

typedef struct StandWorkerProps {
    Worker worker;
    const char *agent; /* HTTP address */
    StandWorkerWatch watch;
    Room others;       /* room taken by somebody else, told as not free */
    bool failsAll;     /* claims health, fails every task */
    int64_t slowTimes; /* takes so many times as long; 0 or 1: as asked */
} StandWorkerProps;

StandWorker *standWorkerStart(void *mem, Loop *loop, const StandWorkerProps *props);
/* Says that it leaves; takes nothing new from then on. */
void standWorkerLeave(StandWorker *worker);
void standWorkerFail(StandWorker *worker, bool fails);
size_t standWorkerRunning(const StandWorker *worker);

#endif
