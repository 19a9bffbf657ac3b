#ifndef SCHEDULER_SRC_PASS_H
#define SCHEDULER_SRC_PASS_H

#include "state.h"

#define FULL_MOST 8 /* count; needs that a pass remembers as having found no worker */

/* Where the other tasks of one step are, for the preferences of worker_choice.c. Invariant: of one step at a time;
 * starts that this pass has decided count, and so do attempts that are being stopped. */
typedef struct StepSpread {
    const Job *job;
    size_t first;   /* index of the step's first task */
    int *on_worker; /* tasks of the step, for each worker */
    int *on_rack;   /* ... on the worker's rack */
    int *near;      /* ... in its zone, those in its rack counted twice */
} StepSpread;

/* One start that this pass has decided. */
typedef struct Placed {
    const Job *job;
    size_t task;
    size_t worker;
} Placed;

/* What one pass knows: the state at its begin, with what it has decided taken out of the free capacity.
 * It is over once the table changes. Workers are in the order of their names; a worker's index is that in
 * input.workers. */
typedef struct Pass {
    Scheduler *scheduler;
    void *mem; /* the pass itself */
    const Config *config;
    QueueClock clock;
    PlanInput input; /* its tasks only after pass_tasks_add */
    size_t task_capacity;
    uint64_t *slowdowns; /* of each worker: time there in thousandths of that on a healthy one */
    Resources fleet;     /* capacity of all workers that may be given work */
    Resources largest;   /* the largest worker, part by part */
    QueueContext context;
    ReadyQueue *ready_queue;
    PlaceList places;
    Placed *placed; /* the starts in places, once more */
    size_t place_capacity, placed_count;
    StepSpread spread;
    PlanNeed full[FULL_MOST]; /* needs that found no worker */
    size_t full_count;
    bool plan_required;        /* the configuration names losses that each start must leave a plan for */
    size_t checks, checks_max; /* of the r-loss plan: made, and allowed in this pass */
    StopList to_preempt;       /* attempts to be preempted */
    Map *cells;                /* names of cells with a policy of their own to their number + 1 in input.preemptible */
    size_t preempt_calls;      /* calls of may_preempt */
    Resources reserved;        /* reserved in this pass for what found no worker */
    int64_t next_ms;           /* log time when more can be decided without a new event */
} Pass;

/* Begins a pass, with the workers and their free capacity. On mem, with all that lives as long as it. */
Pass *pass_new(Scheduler *scheduler, void *mem);
/* The worker's index; SIZE_MAX: it is not among the workers. */
size_t pass_worker_index(const Pass *pass, const char *worker);
/* What a task of the step asks of a worker. The job owns its texts. */
PlanNeed pass_need(const Job *job, uint64_t step);

#endif
