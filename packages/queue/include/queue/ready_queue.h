#ifndef QUEUE_READY_QUEUE_H
#define QUEUE_READY_QUEUE_H

/* The ready queue: all work that could start now, in the order in which one pass of the scheduler tries to place
 * it. Nothing here waits or changes the state. */

#include "queue/queue.h"

/* Something to place: one task, or a whole gang. */
typedef struct Candidate {
    const Job *job;
    size_t first;        /* index of its first task */
    size_t count;        /* 1, or the members of a gang that have not finished */
    bool restart;        /* protected work that was lost, without a latency target: goes before all else */
    double rank;         /* by its cell's policy: counts within the cell only */
    int64_t since_ms;    /* ms; log time since when it could have started */
    int64_t slack_ms;    /* ms; time left before it must be under way; INT64_MAX: it has no target */
    int64_t span_ms;     /* ms; its latency target; 0: none */
    int64_t estimate_ms; /* ms; what a task of it should take; 0: not known */
} Candidate;

/* The index of its task number member, from 0: members of a gang that have ended are left
 * out. member must be below count. */
size_t candidate_task(const Candidate *candidate, size_t member);

/* Its order: restarts of
 * protected work without a latency target, biggest first, as the plan that promised them
 * did (the paper's biggest-fit-decreasing); then cells by what they use of their share;
 * within a cell by its policy's rank, to which the built-in one adds how near the job's
 * target is; then tenants by what they use of their weight, then the order of acceptance.
 *
 * It is of one moment: it must not be used once the table has changed. The waiting tasks of a step are one entry,
 * however many they are. */
typedef struct ReadyQueue ReadyQueue;

/* Owned by mem. queue and context must outlive it; a Queue has one ready queue at a time. */
ReadyQueue *ready_queue_new(void *mem, Queue *queue, const QueueContext *context);
/* How many entries it had at first. */
size_t ready_queue_count(const ReadyQueue *ready);
/* What to try to place next, never more than the quota of its tenant leaves; null: nothing is left. Valid until the
 * next call. */
const Candidate *ready_queue_next(ReadyQueue *ready);
/* The last one from ready_queue_next was placed: what it uses counts against its cell and tenant,
 * and its step's next task follows. */
void ready_queue_placed(ReadyQueue *ready);
/* The last one from ready_queue_next was not: none of its step is tried again. */
void ready_queue_skip(ReadyQueue *ready);
/* The rank of the step that the task is in, to *rank; false: it is not in the ready queue. */
bool ready_queue_rank(const ReadyQueue *ready, const Job *job, size_t task, double *rank);
/* The log time, in ms, when more can start by the passing of time alone: a failed task's rest is over, or a due
 * time has come; INT64_MAX: never. */
int64_t ready_queue_next_ms(const ReadyQueue *ready);

#endif
