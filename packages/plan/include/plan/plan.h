#ifndef PLAN_PLAN_H
#define PLAN_PLAN_H

/* Plans for the loss of workers (after plan_always_possible in XenServer's HA design): whether the protected work of
 * lost workers can always be restarted on the remaining ones. The leader's scheduler (packages/scheduler) checks this
 * before each start of a protected task, with that start in the input. Pure functions of their input; memory is freed
 * before they return. No function here suspends the coroutine. */

#include "state/job.h"

/* The requirements of a task on a worker. The strings are borrowed. */
typedef struct PlanNeed {
    Resources resources;
    const char *kind; /* empty: any */
    const char *const *labels;
    size_t label_count;
} PlanNeed;

/* A worker; one that may not be given work has no capacity. The strings are borrowed. Invariant: free <= resources in
 * every component; the demand of every task on it is already subtracted from free. */
typedef struct PlanWorker {
    const char *name;
    const char *zone;
    const char *rack; /* empty: unknown; then the worker belongs to no rack that may be lost */
    const char *kind;
    const char *const *labels;
    size_t label_count;
    Resources resources; /* its total capacity */
    Resources free;
    uint64_t penalty; /* thousandths of capacity that are subtracted from its preference when a worker is chosen */
} PlanWorker;

/* A protected task whose restart every plan must include. */
typedef struct PlanTask {
    PlanNeed need;
    size_t worker; /* index; where it runs now */
    size_t cell;   /* index of the cell whose preemptible capacity it may use; PLAN_NO_CELL: none */
} PlanTask;

/* The cell of a task that may use no preemptible capacity. */
#define PLAN_NO_CELL SIZE_MAX

/* The fleet and its protected work. Invariants: each task's worker is below worker_count, its cell is below cell_count
 * or is PLAN_NO_CELL; preemptible[cell * worker_count + worker] is the capacity in use on the worker that all protected
 * work of the cell may preempt, counted for that cell only. */
typedef struct PlanInput {
    PlanWorker *workers;
    size_t worker_count;
    PlanTask *tasks;
    size_t task_count;
    uint64_t r;     /* number of worker losses to survive, in any order */
    bool zone_loss; /* also survive the loss of any one zone */
    bool rack_loss; /* also survive the loss of any one rack */
    size_t cell_count;
    Resources *preemptible; /* null: none */
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

/* The API's word for the loss. */
const char *loss_word(Loss loss);

/* The first loss that can't be survived. */
typedef struct PlanBreak {
    Loss loss;
    const char *name; /* borrowed from the input; empty: unknown, since the cheap bound names no loss */
} PlanBreak;

/* Whether the worker has the required kind and labels. */
bool plan_meets_constraints(const PlanWorker *worker, const PlanNeed *need);
/* Whether the worker also has the required capacity free. */
bool plan_fits(const PlanWorker *worker, const PlanNeed *need);
/* The index of the worker with the most capacity left (plan_free_share less its penalty) among those that fit, the
 * first of equals; -1: none fits. lost (may be null), by worker: workers that must not be chosen. */
int plan_choose(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost);
/* The largest capacity of the workers, component by component. */
Resources plan_largest(const PlanWorker *workers, size_t count);
/* The scarcer of the worker's free CPU and memory, in thousandths of largest. */
uint64_t plan_free_share(const PlanWorker *worker, Resources largest);

/* Computes one plan by biggest-fit-decreasing, as in XenServer's HA design: places the tasks of the lost workers on the
 * others. lost: by worker. where (out): where[i] is set to the worker of each of these tasks, up to the first task that
 * fits nowhere (-1); then the result is false. Uses up free and preemptible of the input. */
bool plan_for_loss(PlanInput *input, const bool *lost, int *where);
/* Whether every sequence of r losses leaves a plan, and the loss of any one zone or rack where the input requires that.
 * Checks all sequences one by one up to PLAN_EXHAUSTIVE_MAX of them, otherwise uses the cheap bound. broken (out, may
 * be null): set when the result is false. */
bool plan_always_possible(const PlanInput *input, PlanBreak *broken);
/* Checks all sequences of r losses one by one. broken as above. */
bool plan_exhaustive(const PlanInput *input, PlanBreak *broken);
/* Checks the cheap bound for r losses: may be false where a plan exists, but is never true where none does. */
bool plan_cheap_bound(const PlanInput *input);

#endif
