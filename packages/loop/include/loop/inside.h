#ifndef LOOP_INSIDE_H
#define LOOP_INSIDE_H

/* What the two implementations of the loop share: the scheduler of coroutines and timers (task.c, timers.c), the
 * queue of received frames (channel.c). Only they include this; node code uses loop/loop.h. */

#include "loop/loop.h"

/* A task that is to be woken at a time. A timer whose wakes is not its task's is stale: the task has been woken by
 * something else since. */
typedef struct Timer {
    int64_t when_ms;
    uint64_t order;
    Task *task;
    uint64_t wakes; /* those of the task when it began to wait */
} Timer;

/* Common part of both implementations, the first member of theirs.
 * Invariants: the ready list holds each task at most once; timers is a heap by (when_ms, order); tasks holds all tasks
 * that were spawned and have not ended. */
struct Loop {
    const LoopOps *ops;
    bool stopping;
    Task *current; /* the task that runs now; null: the loop itself */
    Task *tasks;
    Task *ready_first, *ready_last;
    Timer *timers;
    size_t timer_count, timer_capacity;
    uint64_t timer_order;
    void *stacks[TASK_STACKS_IDLE_MOST]; /* of ended tasks, for reuse */
    size_t stack_count;
};

typedef struct Frame {
    struct Frame *next;
    Bytes bytes;
} Frame;

/* Invariants: frames are in order of arrival; none is added once closed; queued counts the bytes given to
 * channel_send, handed those of them that may have left the process, written those that have: written <= handed <=
 * queued. */
struct Channel {
    Loop *loop;
    bool closed;
    Signal arrived;
    Frame *first, *last;
    size_t frame_count;
    uint64_t queued, handed, written;
};

struct File {
    Loop *loop;
};

/* loop is zeroed memory of the implementation. */
void loop_init(Loop *loop, const LoopOps *ops);
/* Drops every task without running it; what a task owned is on talloc memory. */
void loop_end(Loop *loop);
/* Runs all tasks that are ready or whose timer is due, until none is left. */
void loop_run(Loop *loop);
/* When loop_run has to be called next; INT64_MAX: not before something else happens. */
int64_t loop_next_ms(Loop *loop);

/* Adds a timer that wakes task at when_ms, unless it has been woken since wakes was read. */
void timer_add(Loop *loop, int64_t when_ms, Task *task, uint64_t wakes);
/* Removes the earliest timer. There must be one. */
void timer_drop(Loop *loop);

/* A frame has arrived; it is copied. No effect once the channel has ended. */
void channel_arrive(Channel *channel, Bytes frame);
/* The connection is over: the reader gets what had arrived, then CLOSED. */
void channel_end(Channel *channel);

#endif
