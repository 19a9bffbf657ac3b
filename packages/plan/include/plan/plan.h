#ifndef PLAN_PLAN_H
#define PLAN_PLAN_H

/* Plans for the loss of workers (the paper's plan_always_possible): whether the protected
 * work of lost workers can always be restarted on those left. The leader's scheduler
 * (packages/scheduler) asks before each start of a protected task, with that start in the input.
 * Pure functions of their input; memory is freed before they return. Nothing here waits. */

#include "state/job.h"

/* What a task asks of a worker. */
typedef struct PlanNeed {
    Resources resources;
    const char *kind; /* empty: any */
    const char *const *labels;
    size_t label_count;
} PlanNeed;

/* A worker that may be given work. Texts are borrowed. Invariant: free <= resources in every
 * component; what any task on it takes is already out of free. */
typedef struct PlanWorker {
    const char *name;
    const char *zone;
    const char *rack; /* empty: not known; then it is no loss case of its own */
    const char *kind;
    const char *const *labels;
    size_t label_count;
    Resources resources; /* its whole capacity */
    Resources free;
    uint64_t penalty; /* thousandths of capacity that it counts as having less when chosen */
} PlanWorker;

/* A protected task whose restart every plan must include. */
typedef struct PlanTask {
    PlanNeed need;
    size_t worker; /* index; where it runs now */
    size_t cell;   /* index; whose preemptible capacity it may use; PLAN_NO_CELL: none's */
} PlanTask;

#define PLAN_NO_CELL SIZE_MAX

/* The fleet and its protected work. Invariants: each task's worker is below worker_count, its
 * cell below cell_count or PLAN_NO_CELL; preemptible[cell * worker_count + worker] is the capacity in
 * use there that all protected work of the cell may preempt, counted for that cell alone. */
typedef struct PlanInput {
    PlanWorker *workers;
    size_t worker_count;
    PlanTask *tasks;
    size_t task_count;
    uint64_t r;     /* worker losses to survive, in any order */
    bool zone_loss; /* also the loss of any one zone */
    bool rack_loss; /* also the loss of any one rack */
    size_t cell_count;
    Resources *preemptible; /* may be null: nothing */
} PlanInput;

/* The kinds of losses, with the API's words. */
#define LOSS_LIST(X)    \
    X(WORKER, "worker") \
    X(ZONE, "zone")     \
    X(RACK, "rack")
typedef enum Loss {
#define X(name, word) LOSS_##name,
    LOSS_LIST(X)
#undef X
        LOSS_COUNT
} Loss;

const char *loss_word(Loss loss);

/* The first loss that can't be survived. */
typedef struct PlanBreak {
    Loss loss;
    const char *name; /* borrowed from the input; empty: not known, the cheap bound says no */
} PlanBreak;

/* Whether the worker has the kind and labels asked for. */
bool plan_able(const PlanWorker *worker, const PlanNeed *need);
/* ... and the capacity free. */
bool plan_fits(const PlanWorker *worker, const PlanNeed *need);
/* The index of the worker with the most capacity left (plan_left less its penalty) among those
 * that fit, the first of equals; -1: none fits. lost (may be null): those not to choose. */
int plan_choose(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost);
/* The largest whole capacity, component by component. */
Resources plan_largest(const PlanWorker *workers, size_t count);
/* The scarcer of the worker's free CPU and memory, in thousandths of largest. */
uint64_t plan_left(const PlanWorker *worker, Resources largest);

/* One plan, by biggest-fit-decreasing as in the paper: places the tasks of the lost workers on
 * the others. lost: by worker. where[i] is set to the worker of each of these tasks, up to the
 * first that finds no place (-1); then false. Uses up free and preemptible. */
bool plan_specific(PlanInput *input, const bool *lost, int *where);
/* Whether every sequence of r losses leaves a plan, and the loss of any one zone or rack where
 * the input asks for that. Walks all sequences up to PLAN_EXHAUSTIVE_MAX of them, else takes
 * the cheap bound. broken (may be null) is set when not. */
bool plan_always_possible(const PlanInput *input, PlanBreak *broken);
/* By walking all sequences of r losses. broken as above. */
bool plan_exhaustive(const PlanInput *input, PlanBreak *broken);
/* By a bound: may say no where a plan exists; never says yes where none does. */
bool plan_cheap(const PlanInput *input);

#endif
