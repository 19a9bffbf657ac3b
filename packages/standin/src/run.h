#ifndef STANDIN_SRC_RUN_H
#define STANDIN_SRC_RUN_H

#include <json-c/json.h>

#include "base/map.h"
#include "standin/worker.h"

/* What the stand-in for a worker "runs": attempts at tasks that take time and nothing else,
 * under a lease of its agent. worker.c reports them and takes the agent's answers. */

/* One attempt; it lives as long as the worker. Freed with it, also once it is not reported
 * any more: its coroutine may still have to see that it ended. */
typedef struct Run {
    struct Run *next;
    StandWorker *worker;
    const char *job;
    uint64_t task, attempt;
    Resources resources;
    int64_t began_ms, end_ms;
    int64_t from_ms;         /* progress: from which checkpoint it began, */
    int64_t save_ms;         /* how often one is made; 0: never, */
    int64_t times;           /* and how many times as long all takes */
    char saved[ID_MAX + 48]; /* "TASK@MS of JOB"; empty: nothing */
    bool fails;
    bool ended;
    AttemptStatus word;
    Signal stopped;
} Run;

/* Invariants:
 *  - nothing runs past until_ms, which counts from when the report was sent whose answer
 *    brought the lease;
 *  - an ended attempt is reported until its end is known to the leader;
 *  - fence is the highest seen, and an answer with a lower one does nothing;
 *  - highest holds of each task the highest attempt that was stopped or ended here. */
struct StandWorker {
    Loop *loop;
    StandWorkerSettings settings;
    char boot[24];
    int64_t until_ms;
    uint64_t fence, seq;
    Map *highest;
    bool leaving;
    int64_t leave_at_ms; /* leaving: it stays until then; 0: it did not say */
    Run *runs;
    HttpCall *asking; /* the one report that is out; its answer may carry a lease */
};

/* Starts an attempt as the agent's order says, unless the order or the lease is over or the
 * attempt is here already. One that is not above an earlier attempt at its task is rejected:
 * it ends at once as ATTEMPT_REFUSED. sent_ms: when the report was sent that the order answers. */
void run_start(StandWorker *worker, json_object *start, int64_t sent_ms);
/* Ends an attempt, unless it has ended: makes its last checkpoint, tells the checkers, and
 * has it reported at once. */
void run_end(Run *run, AttemptStatus word);
/* Brings the checkpoint of an attempt that makes any up to date. */
void run_save(Run *run);
/* How far it has come. */
int64_t run_percent(const Run *run);
/* Null: no such attempt is reported. */
Run *run_find(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt);
/* Takes an attempt out of the report. */
void run_forget(Run *run);
/* An attempt that is stopped before it came will be rejected when it comes. */
void run_bar(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt);
/* Ends all attempts as lapsed when the lease is over; true: it is. To be called first whenever
 * time may have passed. */
bool runs_lapse(StandWorker *worker);

/* A key of an object; otherwise, or "", where it is not there. */
int64_t json_int_of(json_object *object, const char *key, int64_t otherwise);
const char *json_text_of(json_object *object, const char *key);

#endif
