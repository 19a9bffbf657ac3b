#ifndef QUEUE_SRC_PLACES_H
#define QUEUE_SRC_PLACES_H

/* The steps of a ReadyQueue, as its sources share them: ready_queue.c finds them, order.c sorts them, next.c returns
 * them one by one. */

#include "inside.h"

/* A step with tasks that could start. Invariants: candidate.first is the task to be tried next; end is the index
 * after the step's last task. */
typedef struct ReadyStep {
    Candidate candidate;
    const JobNote *note;
    size_t end;
    bool out; /* skipped, or all of its tasks are placed: it is not tried again */
} ReadyStep;

/* The steps of one tenant with one rank: indices from at to before end. */
typedef struct TenantSteps {
    size_t at, end;
} TenantSteps;

/* The steps of one cell. Invariants: tenants has those of the highest rank that is left; next is the index of the
 * first step of a lower rank. */
typedef struct CellSteps {
    size_t next, end;
    uint64_t share; /* of the cell, at least 1 */
    TenantSteps *tenants;
    size_t tenant_count;
} CellSteps;

/* Invariant, once it is sorted: the restarts stand first, then the steps of each cell together. */
struct ReadyQueue {
    Queue *queue;
    const QueueContext *context;
    Resources wave_capacity; /* the part of the fleet beyond which a step runs in waves */
    ReadyStep *steps;
    size_t count, capacity; /* capacity: slots allocated */
    size_t restarts;        /* so many of them are restarts */
    size_t next_restart;    /* index of the first one not tried yet */
    CellSteps *cells;
    size_t cell_count;
    ReadyStep *tried; /* the last that ready_queue_next returned */
    int64_t next_ms;
};

/* The step that the candidate's tasks are of. */
const StepSpec *candidate_step(const Candidate *candidate);
/* The index of the next task, from at to before end, that could start now and that is a restart, or is none, as
 * restart says; end: there is none. */
size_t task_next(ReadyQueue *ready, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart);

/* The rank of a task by its cell's policy; the built-in policy adds how near the job's
 * latency target is and how much of its occurrence has begun. */
double rank_of(const ReadyQueue *ready, const JobNote *note, const Job *job, size_t task, const LatencyTarget *target);

/* Sorts the steps and finds the restarts and the steps of each cell. */
void ready_steps_sort(ReadyQueue *ready);
/* As qsort's: the order of acceptance, then of tasks. */
int accepted_order(const Candidate *one, const Candidate *other);

#endif
