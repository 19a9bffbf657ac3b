#ifndef QUEUE_SRC_READY_STEPS_H
#define QUEUE_SRC_READY_STEPS_H

/* The steps of a ready queue, shared by its sources: ready_queue.c finds them, order.c sorts them, next.c returns them
 * one by one. */

#include "cached_job.h"

/* A step with tasks that could start. Invariants: candidate.first is the index of the next task to try; end is the
 * index after the step's last task. */
typedef struct ReadyStep {
    Candidate candidate;
    const CachedJob *cached;
    size_t end;
    bool exhausted; /* skipped, or all of its tasks are placed: not tried again */
} ReadyStep;

/* The steps of one tenant with the same rank: indices in steps, from next to before end. */
typedef struct TenantSteps {
    size_t next, end;
} TenantSteps;

/* The steps of one cell. Invariants: tenants has the steps of the highest rank that is left; next is the index of the
 * first step of a lower rank. */
typedef struct CellSteps {
    size_t next, end;
    uint64_t share; /* the cell's configured share, at least 1 */
    TenantSteps *tenants;
    size_t tenant_count;
} CellSteps;

/* The ready queue. Invariant, once sorted: the restarts are first, then the steps of each cell together. */
struct ReadyQueue {
    Queue *queue;
    const QueueContext *context;
    Resources wave_capacity; /* a step that needs more than this runs in waves */
    ReadyStep *steps;
    size_t count, capacity; /* capacity: slots allocated */
    size_t restarts;        /* number of steps that are restarts */
    size_t next_restart;    /* index of the first restart that is still to be tried */
    CellSteps *cells;
    size_t cell_count;
    ReadyStep *tried; /* the step that ready_queue_next returned last */
    int64_t next_ms;
};

/* The step that the candidate's tasks belong to. */
const StepSpec *candidate_step(const Candidate *candidate);
/* The index of the next task, from at to before end, that could start now and that is a restart, or is none, according
 * to restart; end: there is none. */
size_t task_next(ReadyQueue *ready, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart);

/* The rank of a task by its cell's policy; the built-in policy adds how close the job's latency target is and how much
 * of its occurrence has been started. */
double step_rank(const ReadyQueue *ready, const CachedJob *cached, const Job *job, size_t task,
                 const LatencyTarget *target);

/* Sorts the steps, and finds the restarts and the range of each cell. */
void ready_steps_sort(ReadyQueue *ready);
/* Compares like a comparison function of qsort: by the order of acceptance, then by task. */
int accepted_order(const Candidate *one, const Candidate *other);

#endif
