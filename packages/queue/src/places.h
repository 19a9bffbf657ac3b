#ifndef QUEUE_SRC_PLACES_H
#define QUEUE_SRC_PLACES_H

/* The places of a Line, as its sources share them: line.c finds them, order.c sorts them,
 * next.c gives them out one by one. */

#include "inside.h"

/* A step's place in the line. Invariants: candidate.first is the task to be tried next;
 * end is one after the step's last. */
typedef struct Place {
    Candidate candidate;
    const Note *note;
    size_t end;
    bool out; /* stuck, or all of it is placed */
} Place;

/* Places of one tenant with one rank: indices at to end. */
typedef struct Turn {
    size_t at, end;
} Turn;

/* The places of one cell. Invariants: turns are those of the highest rank that is left,
 * each with a place that is not out at at; next is the first place of a lower rank. */
typedef struct Run {
    size_t next, end;
    uint64_t share; /* of the cell, at least 1 */
    Turn *turns;
    size_t turn_count;
} Run;

/* Invariant, once it is sorted: the restarts stand first, then a run for each cell. */
struct Line {
    Queue *queue;
    const QueueContext *context;
    Resources quarter; /* the part of the fleet beyond which a step runs in waves */
    Place *places;
    size_t count, resources; /* room: slots allocated */
    size_t restarts;         /* so many of them are restarts */
    size_t next_restart;     /* the first one not tried yet */
    Run *runs;
    size_t run_count;
    Place *tried; /* the last that was given out */
    int64_t next_ms;
};

/* The step that the candidate's tasks are of. */
const StepSpec *candidate_step(const Candidate *candidate);
/* The next task from index at on, before end, that could start now and is, or is not, a
 * restart; end when there is none. */
size_t task_next(Line *line, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart);

/* The rank of a task by its cell's policy; the built-in policy adds how near the job's
 * latency target is and how much of its turn has begun. */
double rank_of(const Line *line, const Note *note, const Job *job, size_t task, const LatencyTarget *target);

/* Sorts the places and finds the restarts and the cells' runs. */
void places_sort(Line *line);
/* As qsort's: the order of acceptance, then of tasks. */
int accepted_order(const Candidate *one, const Candidate *other);

#endif
