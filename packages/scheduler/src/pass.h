#ifndef SCHEDULER_SRC_PASS_H
#define SCHEDULER_SRC_PASS_H

#include "state.h"

#define UNMET_NEEDS_MAX 8 /* maximum number of unmet needs that a pass remembers */

/* Where the other tasks of one step run, for the preferences in worker_choice.c. Invariant: describes one step at a
 * time, and counts the starts that this pass has decided and attempts that are being stopped. */
typedef struct StepSpread {
    const Job *job;
    size_t first_task; /* index of the step's first task in its job */
    int *on_worker;    /* by worker: tasks of the step on it */
    int *on_rack;      /* by worker: tasks of the step on its rack */
    int *proximity;    /* by worker: tasks of the step in its zone, those on its rack counted twice */
} StepSpread;

/* One start that this pass has decided. */
typedef struct PlannedStart {
    const Job *job;
    size_t task;
    size_t worker;
} PlannedStart;

/* The data of one pass: the state at its start, with the free capacity reduced by what the pass has decided. A pass is
 * invalid once the table changes. Workers are sorted by name; a worker's index is its index in input.workers. */
typedef struct Pass {
    Scheduler *scheduler;
    void *mem; /* the pass itself */
    const Config *config;
    QueueClock clock;
    PlanInput input; /* its tasks are set by pass_assured_tasks_add */
    size_t task_capacity;
    Resources *ejected;    /* by worker: its capacity if it is ejected; none: it is not (withheld.h) */
    Resources *withheld;   /* by worker: free capacity that the pass withholds */
    size_t ejected_count;  /* ejected workers with capacity */
    int admitted;          /* what gives way to the present candidate, a Withheld */
    const char *free_kind; /* the kind of workers that free_fleet was computed for; null: not yet */
    bool free_fleet;       /* these workers have much free capacity (withheld.c) */
    uint64_t *slowdowns;   /* by worker: run time there, in thousandths of the run time on a healthy worker */
    Resources fleet;       /* total capacity of the workers that may be given work */
    Resources largest;     /* the largest capacity of any worker, component by component */
    QueueContext context;
    ReadyQueue *ready_queue;
    PlaceList places;
    PlannedStart *starts; /* the same starts as in places, by index */
    size_t place_capacity, start_count;
    StepSpread spread;
    PlanNeed unmet[UNMET_NEEDS_MAX]; /* needs that fit no worker in this pass */
    size_t unmet_count;
    bool plan_required; /* each start of protected work must leave a plan for the losses that the configuration names */
    size_t checks, checks_max; /* checks of the r-loss plan: made, and allowed in this pass */
    StopList to_preempt;       /* attempts to be preempted */
    Map *cells;                /* name of each cell that has its own policy to its index in input.preemptible, plus 1 */
    size_t preempt_calls;      /* calls of may_preempt */
    Resources reserved; /* capacity left free in this pass for candidates that found no worker (pass_reservation.c) */
    int64_t next_ms;    /* log time; when more can be decided without a new event */
} Pass;

/* Starts a pass, with the workers and their free capacity. Owned by mem, and owns all data of the pass. */
Pass *pass_new(Scheduler *scheduler, void *mem);
/* The worker's index; SIZE_MAX: it is not among the workers. */
size_t pass_worker_index(const Pass *pass, const char *worker);
/* The requirements of a task of the step on a worker. Its strings belong to the job. */
PlanNeed pass_need(const Job *job, uint64_t step);

#endif
