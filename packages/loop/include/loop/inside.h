#ifndef LOOP_INSIDE_H
#define LOOP_INSIDE_H

/* For the two forms of the loop only; node code does not include this. */

#include "loop/loop.h"

/* One sleeping task. A timer whose turn is not its task's turn is stale. */
typedef struct Timer {
    int64_t when_ms;
    uint64_t order;
    Task *task;
    uint64_t turn;
} Timer;

/* Invariant: ready holds each task at most once; timers is a heap by
 * (when_ms, order); all tasks ever spawned and not yet ended are on tasks. */
struct Loop {
    const LoopOps *ops;
    bool stopping;
    Task *current; /* the task that runs now, or NULL */
    Task *tasks;
    Task *ready_first, *ready_last;
    Timer *timers;
    size_t timer_count, timer_room;
    uint64_t timer_order;
    void *stacks[TASK_STACKS_KEPT]; /* of ended tasks, to be used again */
    size_t stack_count;
};

typedef struct Frame {
    struct Frame *next;
    Bytes bytes;
} Frame;

/* Invariants: frames are in order of arrival; after closed none is added; queued counts
 * the bytes that were to be sent, and handed those of them that may have left. */
struct Channel {
    Loop *loop;
    bool closed;
    Signal arrived;
    Frame *first, *last;
    size_t frame_count;
    uint64_t queued, handed;
};

struct File {
    Loop *loop;
};

void loop_init(Loop *loop, const LoopOps *ops);
/* Ends every task without running it; what they held is on talloc memory. */
void loop_end(Loop *loop);
/* Runs all that is due. */
void loop_run(Loop *loop);
/* When loop_run has next to be called; INT64_MAX for never. */
int64_t loop_next_ms(Loop *loop);

void channel_arrive(Channel *channel, Bytes frame);
void channel_end(Channel *channel);

#endif
