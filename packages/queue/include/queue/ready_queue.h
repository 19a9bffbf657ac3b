#ifndef QUEUE_READY_QUEUE_H
#define QUEUE_READY_QUEUE_H

/* The ready queue: all work that could start now, in the order in which one pass of the scheduler tries to place it. No
 * function here suspends the coroutine or changes the state. */

#include "queue/queue.h"

/* A unit of work to place: one task, or an entire gang. */
typedef struct Candidate {
    const Job *job;
    size_t first;        /* index of its first task in the job */
    size_t count;        /* 1, or the number of members of the gang that have not ended */
    bool restart;        /* lost protected work without a latency target: placed before all other work */
    double rank;         /* by its cell's policy; comparable within the cell only */
    int64_t since_ms;    /* log time; since when it could have started */
    int64_t slack_ms;    /* time left before it must start; INT64_MAX: it has no target */
    int64_t span_ms;     /* its latency target; 0: none */
    int64_t estimate_ms; /* expected run time of one of its tasks; 0: unknown */
} Candidate;

/* The index in the job of the candidate's task at position member, counted from 0 without the members of a gang that
 * have ended. member must be below count. */
size_t candidate_task(const Candidate *candidate, size_t member);

/* The ready queue. Its order: first the restarts of protected work without a latency target, biggest first, like the
 * plan that guarantees them (biggest-fit-decreasing in XenServer's HA design); then by cell, by how much of its share
 * the cell uses; within a cell by its policy's rank, to which the built-in policy adds how close the job's latency
 * target is; then by tenant, by how much it uses for its weight; then in the order of acceptance.
 *
 * It is valid until the table changes. The waiting tasks of a step are one entry, however many they are. */
typedef struct ReadyQueue ReadyQueue;

/* Builds the ready queue, owned by mem. queue and context must outlive it; a Queue may have only one ready queue at a
 * time. */
ReadyQueue *ready_queue_new(void *mem, Queue *queue, const QueueContext *context);
/* The number of entries at the start. */
size_t ready_queue_count(const ReadyQueue *ready);
/* The next candidate to place, never more than its tenant's quota allows; null: none is left. Valid until the next
 * call. */
const Candidate *ready_queue_next(ReadyQueue *ready);
/* To be called when the last candidate was placed: its demand counts against its cell and tenant, and the next task of
 * its step follows. */
void ready_queue_placed(ReadyQueue *ready);
/* To be called when the last candidate was not placed: no task of its step is tried again. */
void ready_queue_skip(ReadyQueue *ready);
/* rank (out): the rank of the step that contains the task; false: the step is not in the ready queue. */
bool ready_queue_rank(const ReadyQueue *ready, const Job *job, size_t task, double *rank);
/* The log time, in ms, when more work can start without an event: a task's retry delay ends, or a due time comes;
 * INT64_MAX: never. */
int64_t ready_queue_next_ms(const ReadyQueue *ready);

#endif
