#ifndef QUEUE_LINE_H
#define QUEUE_LINE_H

#include "queue/queue.h"

/* Something to place: one task, or a whole gang. */
typedef struct Candidate {
    const Job *job;
    size_t first;        /* index of its first task */
    size_t count;        /* 1, or the members of a gang that have not finished */
    bool restart;        /* protected work without a target that was lost: goes before all else */
    double rank;         /* by its cell's policy: counts within the cell only */
    int64_t since_ms;    /* log time since when it could have started */
    int64_t slack_ms;    /* time left before it must be under way; INT64_MAX: it has no target */
    int64_t span_ms;     /* of its target; 0: none */
    int64_t estimate_ms; /* what a task of it should take; 0: not known */
} Candidate;

/* The index of its nth task: a gang's members that have finished are left out. */
size_t candidate_task(const Candidate *candidate, size_t member);

/* All that could start now, in the order in which it is to be placed: restarts of
 * what has no target, biggest first, as the plan that promised them did; then cells by
 * what they use of their share; within a cell by its policy's rank, to which the
 * built-in one adds how near the job's target is; then tenants by what they use, then
 * the order of acceptance.
 *
 * A line stands for one moment: it is over once the table changes. A step whose
 * tasks wait has one place in it, however many they are. */
typedef struct Line Line;

Line *line_new(void *mem, Queue *queue, const QueueSight *sight);
/* Steps in it. */
size_t line_count(const Line *line);
/* Whom to try next; null: nobody is left. Valid until the next call. */
const Candidate *line_next(Line *line);
/* It was placed: what it uses counts against its cell and tenant. */
void line_placed(Line *line);
/* It was not: none of its step is tried again. */
void line_stuck(Line *line);
/* The rank of the step that the task is in; false: it is not in the line. */
bool line_rank(const Line *line, const Job *job, size_t task, double *rank);
/* What the tenant will use with all that was placed. */
Room line_tenant_uses(Line *line, const Job *job);
/* Log time when more can start by itself, a rest being over or a turn being due;
 * INT64_MAX: never. */
int64_t line_next_ms(const Line *line);

#endif
