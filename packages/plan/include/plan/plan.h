#ifndef PLAN_PLAN_H
#define PLAN_PLAN_H

#include "state/job.h"

/* What a task asks of a worker. */
typedef struct PlanNeed {
    Room room;
    const char *kind; /* empty: any */
    const char *const *labels;
    size_t label_count;
} PlanNeed;

/* A worker that may be given work. Invariant: free <= room in every part;
 * what any task on it takes is already out of free. */
typedef struct PlanWorker {
    const char *name;
    const char *zone;
    const char *rack; /* empty: not told; then it is no loss case of its own */
    const char *kind;
    const char *const *labels;
    size_t label_count;
    Room room;
    Room free;
    uint64_t penalty; /* thousandths of room that it counts as having less when chosen */
} PlanWorker;

/* A protected task whose restart every plan must include. */
typedef struct PlanTask {
    PlanNeed need;
    size_t worker; /* where it runs now */
    size_t cell;   /* whose pushable room it may use; PLAN_NO_CELL: nobody's */
} PlanTask;

#define PLAN_NO_CELL SIZE_MAX

/* Invariants: each task's worker is below worker_count, its cell below cell_count or
 * PLAN_NO_CELL; pushable[cell * worker_count + worker] is room in use there that all
 * protected work of the cell may push aside, counted for that cell alone. */
typedef struct PlanInput {
    PlanWorker *workers;
    size_t worker_count;
    PlanTask *tasks;
    size_t task_count;
    uint64_t r;     /* worker losses to survive, in any order */
    bool zone_loss; /* also the loss of any one zone */
    bool rack_loss; /* also the loss of any one rack */
    size_t cell_count;
    Room *pushable;
} PlanInput;

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

/* What breaks a plan. */
typedef struct PlanBreak {
    Loss loss;
    const char *name; /* of the first loss that can't be survived */
} PlanBreak;

bool plan_able(const PlanWorker *worker, const PlanNeed *need); /* kind and labels */
bool plan_fits(const PlanWorker *worker, const PlanNeed *need); /* ... and room */
/* The worker with the most room left among those that fit; -1: none fits. lost
 * (may be null): those that are not to be chosen. */
int plan_choose(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost);
/* The largest worker, part by part, and the scarcer part of what is free on one, in
 * thousandths of that. */
Room plan_largest(const PlanWorker *workers, size_t count);
uint64_t plan_left(const PlanWorker *worker, Room largest);

/* Biggest-fit-decreasing: places the tasks of the lost workers on the others.
 * where[i] is set for each of them; false when one finds no place. Uses up free. */
bool plan_specific(PlanInput *input, const bool *lost, int *where);
/* Whether every sequence of r losses leaves a plan. Walks all sequences up to
 * PLAN_EXHAUSTIVE_MAX of them, else takes the cheap bound. */
bool plan_always_possible(const PlanInput *input, PlanBreak *broken);
bool plan_exhaustive(const PlanInput *input, PlanBreak *broken);
/* May say no where a plan exists; never says yes where none does. */
bool plan_cheap(const PlanInput *input);

#endif
