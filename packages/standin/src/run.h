#ifndef STANDIN_SRC_RUN_H
#define STANDIN_SRC_RUN_H

#include <json-c/json.h>

#include "base/map.h"
#include "standin/worker.h"

/* The attempts at tasks that the stand-in for a worker "runs": they take time and do nothing else, under a lease of
 * the worker's agent. worker.c reports them and handles the agent's answers. */

/* One attempt. It is freed with the worker and not before, even if it is no longer reported: its coroutine may still
 * have to notice that it ended. */
typedef struct Run {
    struct Run *next;
    StandWorker *worker;
    const char *job;
    uint64_t task, attempt;
    Resources resources;
    int64_t began_ms, end_ms;
    int64_t from_ms;         /* progress at the checkpoint from which it started */
    int64_t save_ms;         /* work between checkpoints; 0: it makes none */
    int64_t slow_factor;     /* factor on its duration */
    char saved[ID_MAX + 48]; /* checkpoint, "TASK@MS of JOB"; empty: none */
    bool fails;
    bool ended;
    AttemptStatus word;
    Signal stopped;
} Run;

/* Invariants:
 *  - no attempt runs past lease_until_ms, which counts from when the report was sent whose answer brought the lease;
 *  - an ended attempt is reported until the leader knows its end;
 *  - fence is the highest seen, and an answer with a lower one has no effect;
 *  - highest holds, for each task, the highest attempt that was stopped or ended here. */
struct StandWorker {
    Loop *loop;
    StandWorkerSettings settings;
    char boot[24];
    int64_t lease_until_ms;
    uint64_t fence, seq;
    uint64_t answered_seq; /* the newest report that was answered; 0: none */
    Map *highest;
    bool leaving;
    int64_t leave_at_ms; /* when leaving: time until which the worker stays; 0: not announced */
    Run *runs;
    HttpCall *report_call; /* the report in progress; its answer may bring a lease */
};

/* Starts an attempt as the agent's order says, unless the order or the lease has expired or the attempt exists already.
 * An attempt that is not above an earlier one at its task is refused: it ends immediately as ATTEMPT_REFUSED. sent_ms:
 * when the report was sent that the order answers. */
void run_start(StandWorker *worker, json_object *start, int64_t sent_ms);
/* Ends an attempt, unless it has ended already: makes its last checkpoint, calls the checkers, and has it reported
 * immediately. */
void run_end(Run *run, AttemptStatus word);
/* Updates the checkpoint of an attempt that makes checkpoints. */
void run_save(Run *run);
/* Returns the attempt's progress in percent. */
int64_t run_percent(const Run *run);
/* Returns the attempt, or null if no such attempt is reported. */
Run *run_find(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt);
/* Removes an attempt from the reports. */
void run_forget(Run *run);
/* Records that an attempt was stopped or ended: if it is ordered later, it is refused. */
void run_record_highest(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt);
/* Ends all attempts as ATTEMPT_LAPSED if the lease has expired; returns whether it has. Must be called first whenever
 * time may have passed. */
bool runs_lapse(StandWorker *worker);

/* Returns the value of a key of an object; if the key is missing, otherwise or "". */
int64_t json_int_field(json_object *object, const char *key, int64_t otherwise);
const char *json_text_field(json_object *object, const char *key);

#endif
