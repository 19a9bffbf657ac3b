#ifndef CORE_SRC_PASS_H
#define CORE_SRC_PASS_H

#include "inside.h"

#define PUSH_SPEAKERS_MAX 8 /* count; queues of a cell that are asked what they may push */
#define PUSH_LOOKS_MAX 400  /* count; asks of may_push in one pass, each some 0.01 ms */

/* What one pass knows. */
typedef struct Pass {
    Core *core;
    void *mem;
    const Config *config;
    PlanInput input;
    size_t taskRoom;
    Map *tenants; /* "cell/tenant" to the Room in use */
    Map *index;   /* worker name to its place + 1 */
    PlaceList places;
    size_t placeRoom;
    size_t checks, checksMax;
    const void *stuck; /* the step that last found no room */
    Room fleet;
    QueueUse *use;
    QueueClock clock;
    StopList pushes;   /* rounds to be pushed aside */
    const Job *nearJob; /* whose tasks near counts, for each worker */
    int *near;
    Map *cells;        /* names of cells with a policy to their place + 1 in input.pushable */
    size_t pushLooks;
} Pass;

PlanNeed passNeed(const StepSpec *step);
/* Room that protected work may push aside, into pass->input. */
void pushableCount(Pass *pass);
/* The place of the task's cell in it; PLAN_NO_CELL: none. */
size_t pushableCell(const Pass *pass, const JobSpec *spec);
/* Who wants room looks for running work that its cell's policy lets it push
 * aside, all on one worker. */
void pushFor(Pass *pass, const Candidate *candidate, const StepSpec *step);

/* Which workers are kept for big work that small work overtakes. */
void keptBegin(Pass *pass, const Candidate *candidates, size_t count);
/* Marks in not what is kept for others than this candidate; true when any is. */
bool keptFrom(const Pass *pass, const Candidate *candidate, bool *not);
/* The candidate found no room: it may be time to keep some for it. */
void keptWant(Pass *pass, const Candidate *candidate, const StepSpec *step, int64_t logMs);

#endif
