#ifndef LOOP_INTERNAL_H
#define LOOP_INTERNAL_H

/* Code shared by the two implementations of the loop: the scheduler of coroutines and timers (task.c, timers.c) and the
 * queue of received frames (channel.c). Only the implementations include this header; node code uses loop/loop.h. */

#include "loop/loop.h"

/* Wakes a task at a given time. A timer whose wake_count differs from its task's is stale: the task has been woken by
 * something else since. */
typedef struct Timer {
    int64_t when_ms;
    uint64_t sequence; /* order of creation */
    Task *task;
    uint64_t wake_count; /* the task's wake_count when it began to wait */
} Timer;

/* Common part of both implementations, which have it as their first member.
 * Invariants: the ready list holds each task at most once; timers is a heap by (when_ms, sequence); tasks holds all
 * tasks that were spawned and have not ended. */
struct Loop {
    const LoopOps *ops;
    bool stopping;
    Task *current; /* the running task; null: the loop itself runs */
    Task *tasks;
    Task *ready_first, *ready_last;
    Timer *timers;
    size_t timer_count, timer_capacity;
    uint64_t next_timer_sequence;
    void *idle_stacks[TASK_STACKS_IDLE_MAX]; /* stacks of ended tasks, for reuse */
    size_t idle_stack_count;
};

/* A received frame in a channel's queue. */
typedef struct Frame {
    struct Frame *next;
    Bytes bytes;
} Frame;

/* Invariants: frames are in order of arrival; none is added once the channel is closed; queued_bytes counts the bytes
 * passed to channel_send, maybe_sent_bytes those of them that may have left the process, and surely_sent_bytes those
 * that have left it: surely_sent_bytes <= maybe_sent_bytes <= queued_bytes. */
struct Channel {
    Loop *loop;
    bool closed;
    bool verified; /* by channel_set_verified */
    Signal arrived;
    Frame *first, *last;
    size_t frame_count;
    size_t frame_bytes; /* of the frames in the queue */
    uint64_t queued_bytes, maybe_sent_bytes, surely_sent_bytes;
};

struct File {
    Loop *loop;
};

/* Initializes a loop, which is zeroed memory of the implementation. */
void loop_init(Loop *loop, const LoopOps *ops);
/* Discards every task without running it; all that a task owns is on talloc memory. */
void loop_end(Loop *loop);
/* Runs all tasks that are ready or whose timer is due, until there are none. */
void loop_run(Loop *loop);
/* Returns the time at which loop_run must be called next; INT64_MAX: only after another event. */
int64_t loop_next_ms(Loop *loop);

/* Adds a timer that wakes the task at when_ms, unless it has been woken since wake_count was read. */
void timer_add(Loop *loop, int64_t when_ms, Task *task, uint64_t wake_count);
/* Removes the earliest timer. There must be one. */
void timer_pop(Loop *loop);

/* Appends a copy of a received frame to the channel's queue. No effect once the channel has ended. */
void channel_arrive(Channel *channel, Bytes frame);
/* Marks the connection as ended: the reader gets the frames that have arrived, then CLOSED. */
void channel_end(Channel *channel);

#endif
