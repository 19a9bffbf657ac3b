#ifndef QUEUE_LINE_H
#define QUEUE_LINE_H

/* The order in which waiting work is placed, for one pass of the planner. Nothing here waits
 * or changes the state. */

#include "queue/queue.h"

/* Something to place: one task, or a whole gang. */
typedef struct Candidate {
    const Job *job;
    size_t first;        /* index of its first task */
    size_t count;        /* 1, or the members of a gang that have not finished */
    bool restart;        /* lost protected work without a latency target: goes before all else */
    double rank;         /* by its cell's policy: counts within the cell only */
    int64_t since_ms;    /* ms; log time since when it could have started */
    int64_t slack_ms;    /* ms; time left before it must be under way; INT64_MAX: it has no target */
    int64_t span_ms;     /* ms; its latency target; 0: none */
    int64_t estimate_ms; /* ms; what a task of it should take; 0: not known */
} Candidate;

/* The index of its task number member, from 0: members of a gang that have ended are left
 * out. member must be below count. */
size_t candidate_task(const Candidate *candidate, size_t member);

/* All that could start now, in the order in which it is to be placed: restarts of
 * protected work without a latency target, biggest first, as the plan that promised them
 * did (the paper's biggest-fit-decreasing); then cells by what they use of their share;
 * within a cell by its policy's rank, to which the built-in one adds how near the job's
 * target is; then tenants by what they use, then the order of acceptance.
 *
 * A line stands for one moment: it must not be used once the table has changed. The waiting
 * tasks of a step have one place in it, however many they are. */
typedef struct Line Line;

/* Owned by mem. queue and sight must outlive it; a queue has one line at a time. */
Line *line_new(void *mem, Queue *queue, const QueueContext *context);
/* Places in it at first. */
size_t line_count(const Line *line);
/* What to try next; null: nothing is left. Valid until the next call. */
const Candidate *line_next(Line *line);
/* The last one from line_next was placed: what it uses counts against its cell and tenant,
 * and its step's next task follows. */
void line_placed(Line *line);
/* The last one from line_next was not: none of its step is tried again. */
void line_stuck(Line *line);
/* The rank of the step that the task is in, to *rank; false: it is not in the line. */
bool line_rank(const Line *line, const Job *job, size_t task, double *rank);
/* What the job's tenant uses, with all that was placed by this line. */
Resources line_tenant_uses(Line *line, const Job *job);
/* The log time, in ms, when more can start by the passing of time alone: a rest is over or a
 * turn is due; INT64_MAX: never. */
int64_t line_next_ms(const Line *line);

#endif
