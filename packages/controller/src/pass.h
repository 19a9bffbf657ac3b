#ifndef CONTROLLER_SRC_PASS_H
#define CONTROLLER_SRC_PASS_H

#include "inside.h"

#define PREEMPT_SPEAKERS_MAX 8 /* count; queues of a cell that are asked what they may push */
#define FULL_MOST 8            /* count; needs that a pass remembers as having found no room */
#define PREEMPT_LOOKS_MAX 400  /* count; asks of may_preempt in one pass, each some 0.01 ms */

/* Where the others of one step are. Invariant: kept for one step at a time; what
 * this pass has decided counts, and what is being stopped. */
typedef struct StepSight {
    const Job *job;
    size_t first;   /* index of the step's first task */
    int *on_worker; /* tasks of the step, for each worker */
    int *on_rack;   /* ... on the worker's rack */
    int *near;      /* ... in its zone, and again in its rack */
} StepSight;

/* One start that this pass has decided. */
typedef struct Placed {
    const Job *job;
    size_t task;
    size_t worker;
} Placed;

/* What one pass knows. Workers are in the order of their names. */
typedef struct Pass {
    Controller *controller;
    void *mem;
    const Config *config;
    QueueClock clock;
    PlanInput input; /* its tasks only after pass_tasks */
    size_t task_room;
    uint64_t *speeds; /* of each worker: time there in thousandths of that on a sound one */
    Room fleet;
    Room largest; /* the largest worker, part by part */
    QueueSight sight;
    Line *line;
    PlaceList places;
    Placed *placed; /* as many as places */
    size_t place_room, placed_count;
    StepSight step;
    PlanNeed full[FULL_MOST]; /* needs that found no room */
    size_t full_count;
    bool asks; /* the configuration names losses that each start must leave a plan for */
    size_t checks, checks_max;
    StopList pushes; /* attempts to be pushed aside */
    Map *cells;      /* names of cells with a policy to their place + 1 in input.pushable */
    size_t preempt_looks;
    Room reserved;   /* kept in this pass for what found none */
    int64_t next_ms; /* log time when more can be decided by itself */
} Pass;

/* On mem, with all that lives as long as it. */
Pass *pass_new(Controller *controller, void *mem);
/* Takes in what the plan must hold for. */
void pass_tasks(Pass *pass);
/* The worker's place; SIZE_MAX: it has none. */
size_t pass_place(const Pass *pass, const char *worker);

/* Decides what starts where, at most PLACE_BATCH. */
void pass_places(Pass *pass);
void lost_find(Controller *controller, void *mem);
void copies_find(Controller *controller, void *mem);
/* Stops what runs of gangs that are not whole, so that they go again as one. */
void gangs_mend(Controller *controller, void *mem);
void assure_more(Pass *pass);
/* True: something was stopped, and the pass is over. */
bool move_one(Pass *pass);
/* Stops what is better begun anew elsewhere. True: something was, and the pass is over. */
bool stop_look(Pass *pass);
/* The attempt is to be stopped, and finds room on the worker at that place, if at is one;
 * false: there are as many as may be. */
bool stop_add(Pass *pass, StopList *list, const Job *job, size_t task, int at, size_t most);
/* Adds what stands still, or is far too slow, where it is; and takes the room that it
 * will need elsewhere. */
void slow_find(Pass *pass, StopList *list);
/* Adds what could not end before its worker has left. */
void leave_find(Pass *pass, StopList *list);
/* How long the task, on the worker at that place, should still take; INT64_MAX: nobody knows. */
int64_t pass_left_ms(const Pass *pass, const Job *job, const JobTask *task, size_t worker);
/* When the worker should have so much room; 0: now, INT64_MAX: nobody knows. */
int64_t soonest_ms(const Pass *pass, size_t worker, Room need);
PlanNeed pass_need(const Job *job, uint64_t step);
/* One more protected task that plans must include. */
void pass_count(Pass *pass, const JobSpec *spec, const PlanNeed *need, size_t worker);
bool pass_holds(Pass *pass);
/* Places all members of the candidate or none. */
bool place_one(Pass *pass, const Candidate *candidate);

void sight_find(Pass *pass, const Job *job, size_t task);
void sight_add(Pass *pass, size_t at, int by);
/* The best worker for the task, not one of those in not, on the rack when it is
 * not null; -1: none has room. Not where its last round failed, unless there is
 * no other. */
int choose_for(Pass *pass, const Job *job, size_t task, const PlanNeed *need, bool *excluded, const char *rack);
/* What the place makes of the step's time; 100: it is near its data and the others. */
uint64_t choose_far_percent(const Pass *pass, const StepSpec *step, size_t at);
/* Whether to wait a moment for room that is near, rather than take the longer way. */
bool choose_waits(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need, uint64_t percent);
/* Room that protected work may push aside, into pass->input. */
void pushable_count(Pass *pass);
/* The place of the task's cell in it; PLAN_NO_CELL: none. */
size_t pushable_cell(const Pass *pass, const JobSpec *spec);
/* Who wants room looks for running work that its cell's policy lets it push
 * aside, all on one worker. */
void preempt_for(Pass *pass, const Candidate *candidate);
/* The same by the built-in policy, for what would miss its target. */
void preempt_target(Pass *pass, const Candidate *candidate);

/* The candidate found no room: what is nearest to having it is left to it, for as
 * long as this pass goes on. */
void reserve_for(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded);

/* Which workers are kept for big work that small work overtakes. */
void reservation_begin(Pass *pass);
/* Marks in not what is kept for others than this candidate; true when any is. */
bool reservation_from(const Pass *pass, const Candidate *candidate, bool *excluded);
/* The candidate found no room: it may be time to keep some for it. */
void reservation_want(Pass *pass, const Candidate *candidate, const StepSpec *step);

#endif
