/* Tasks: fibers with a ready list and a heap of timers. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fiber.h"
#include "loop/inside.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_START(save, bottom, size) __sanitizer_start_switch_fiber(save, bottom, size)
#define FIBER_FINISH(saved, bottom, size) __sanitizer_finish_switch_fiber(saved, bottom, size)
#else
#define FIBER_START(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#define FIBER_FINISH(saved, bottom, size) ((void)(saved), (void)(bottom), (void)(size))
#endif

/* Invariant: turn grows each time the task is woken, so that a timer or signal
 * of an earlier wait cannot wake a later one. */
struct Task {
    Loop *loop;
    Task *prev, *next; /* on loop->tasks */
    Task *readyNext;
    Task *signalNext;
    Signal *signal; /* the signal waited on, or NULL */
    bool ready;
    bool raised; /* woken by its signal rather than by its timer */
    bool ended;
    uint64_t turn;
    size_t timers; /* in the heap that name this task; it is freed after the last */
    const char *name;
    TaskFn fn;
    void *arg;
    FiberPlace place; /* where it goes on */
    FiberPlace main;  /* where the loop goes on when it gives way */
    void *stack;
    /* bounds of the main stack, for the sanitizer */
    const void *mainBottom;
    size_t mainSize;
    void *fakeStack;
};

void loopInit(Loop *loop, const LoopOps *ops)
{
    loop->ops = ops;
}

int64_t loopNowMs(const Loop *loop)
{
    return loop->ops->nowMs(loop);
}

int64_t loopWallMs(const Loop *loop)
{
    return loop->ops->wallMs(loop);
}

uint64_t loopRandom(Loop *loop)
{
    return loop->ops->random(loop);
}

void loopStop(Loop *loop)
{
    loop->stopping = true;
}

bool loopStopping(const Loop *loop)
{
    return loop->stopping;
}

static void taskReady(Task *task)
{
    if (task->ready)
        return;
    Loop *loop = task->loop;
    task->ready = true;
    task->turn++;
    task->readyNext = NULL;
    if (loop->readyLast != NULL)
        loop->readyLast->readyNext = task;
    else
        loop->readyFirst = task;
    loop->readyLast = task;
    if (loop->current == NULL)
        loop->ops->arm(loop, loopNowMs(loop));
}

static void taskMain(FiberTurn turn)
{
    Task *task = turn.data;
    task->main = turn.from;
    FIBER_FINISH(NULL, &task->mainBottom, &task->mainSize);
    task->fn(task->arg);
    task->ended = true;
    FIBER_START(NULL, task->mainBottom, task->mainSize);
    jump_fcontext(task->main, NULL); /* never comes back: loopRun frees the task */
}

/* Stacks that have ended are used again: what they touched stays mapped, and the
 * most that ever ran at once is the most that is kept, up to a bound. */
static void *stackTake(Loop *loop)
{
    if (loop->stackCount > 0)
        return loop->stacks[--loop->stackCount];
    return malloc(TASK_STACK_BYTES);
}

static void stackGive(Loop *loop, void *stack)
{
    if (loop->stackCount < TASK_STACKS_KEPT)
        loop->stacks[loop->stackCount++] = stack;
    else
        free(stack);
}

void loopSpawn(Loop *loop, const char *name, TaskFn fn, void *arg)
{
    Task *task = talloc_zero(loop, Task);
    task->loop = loop;
    task->name = name;
    task->fn = fn;
    task->arg = arg;
    task->stack = stackTake(loop);
    task->place = make_fcontext((char *)task->stack + TASK_STACK_BYTES, TASK_STACK_BYTES, taskMain);
    task->next = loop->tasks;
    if (loop->tasks != NULL)
        loop->tasks->prev = task;
    loop->tasks = task;
    taskReady(task);
}

static void taskFree(Task *task)
{
    Loop *loop = task->loop;
    if (task->prev != NULL)
        task->prev->next = task->next;
    else
        loop->tasks = task->next;
    if (task->next != NULL)
        task->next->prev = task->prev;
    stackGive(loop, task->stack);
    task->stack = NULL;
    if (task->timers == 0)
        talloc_free(task);
}

void loopEnd(Loop *loop)
{
    while (loop->tasks != NULL)
        taskFree(loop->tasks);
    while (loop->stackCount > 0)
        free(loop->stacks[--loop->stackCount]);
    loop->readyFirst = loop->readyLast = NULL;
    loop->timerCount = 0;
}

static bool timerBefore(const Timer *a, const Timer *b)
{
    return a->whenMs < b->whenMs || (a->whenMs == b->whenMs && a->order < b->order);
}

static void timerAdd(Loop *loop, int64_t whenMs, Task *task)
{
    if (loop->timerCount == loop->timerRoom) {
        loop->timerRoom = loop->timerRoom ? loop->timerRoom * 2 : 64;
        loop->timers = talloc_realloc(loop, loop->timers, Timer, (unsigned)loop->timerRoom);
    }
    const Timer timer = {whenMs, loop->timerOrder++, task, task->turn};
    size_t at = loop->timerCount++;
    while (at > 0 && timerBefore(&timer, &loop->timers[(at - 1) / 2])) {
        loop->timers[at] = loop->timers[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    loop->timers[at] = timer;
    task->timers++;
}

static Timer timerTake(Loop *loop)
{
    const Timer top = loop->timers[0];
    const Timer last = loop->timers[--loop->timerCount];
    size_t at = 0;
    for (;;) {
        size_t child = at * 2 + 1;
        if (child >= loop->timerCount)
            break;
        if (child + 1 < loop->timerCount && timerBefore(&loop->timers[child + 1], &loop->timers[child]))
            child++;
        if (!timerBefore(&loop->timers[child], &last))
            break;
        loop->timers[at] = loop->timers[child];
        at = child;
    }
    if (loop->timerCount > 0)
        loop->timers[at] = last;
    return top;
}

static void signalLeave(Task *task)
{
    Signal *signal = task->signal;
    if (signal == NULL)
        return;
    Task **at = &signal->first;
    Task *before = NULL;
    while (*at != task) {
        before = *at;
        at = &(*at)->signalNext;
    }
    *at = task->signalNext;
    if (signal->last == task)
        signal->last = before;
    task->signal = NULL;
}

/* Gives way until woken. */
static void taskPark(Task *task)
{
    FIBER_START(&task->fakeStack, task->mainBottom, task->mainSize);
    task->main = jump_fcontext(task->main, NULL).from;
    FIBER_FINISH(task->fakeStack, &task->mainBottom, &task->mainSize);
}

void loopSleep(Loop *loop, int64_t waitMs)
{
    Signal none = {0};
    signalWait(loop, &none, loopNowMs(loop) + waitMs);
}

void loopYield(Loop *loop)
{
    loopSleep(loop, 0);
}

bool signalWait(Loop *loop, Signal *signal, int64_t untilMs)
{
    Task *task = loop->current;
    task->raised = false;
    task->signal = signal;
    task->signalNext = NULL;
    if (signal->last != NULL)
        signal->last->signalNext = task;
    else
        signal->first = task;
    signal->last = task;
    if (untilMs != INT64_MAX)
        timerAdd(loop, untilMs, task);
    taskPark(task);
    return task->raised;
}

void signalRaise(Loop *loop, Signal *signal)
{
    (void)loop;
    while (signal->first != NULL) {
        Task *task = signal->first;
        signal->first = task->signalNext;
        if (signal->first == NULL)
            signal->last = NULL;
        task->signal = NULL;
        task->raised = true;
        taskReady(task);
    }
}

/* The first timer that somebody still waits for. The stale before it (their tasks were
 * woken, perhaps ended) are dropped: most questions are answered long before they
 * expire, and nobody is to be woken for those. */
static const Timer *timerFirst(Loop *loop)
{
    while (loop->timerCount > 0) {
        const Timer *first = &loop->timers[0];
        Task *task = first->task;
        if (!task->ended && task->turn == first->turn && !task->ready)
            return first;
        timerTake(loop);
        task->timers--;
        if (task->ended && task->timers == 0)
            talloc_free(task);
    }
    return NULL;
}

void loopRun(Loop *loop)
{
    for (;;) {
        const Timer *first;
        while ((first = timerFirst(loop)) != NULL && first->whenMs <= loopNowMs(loop)) {
            signalLeave(first->task);
            taskReady(first->task); /* its turn grows: the timer is stale now */
        }
        Task *task = loop->readyFirst;
        if (task == NULL)
            return;
        loop->readyFirst = task->readyNext;
        if (loop->readyFirst == NULL)
            loop->readyLast = NULL;
        task->ready = false;
        loop->current = task;
        void *fake = NULL;
        FIBER_START(&fake, task->stack, TASK_STACK_BYTES);
        task->place = jump_fcontext(task->place, task).from;
        FIBER_FINISH(fake, NULL, NULL);
        loop->current = NULL;
        if (task->ended)
            taskFree(task);
    }
}

int64_t loopNextMs(Loop *loop)
{
    if (loop->readyFirst != NULL)
        return loopNowMs(loop);
    const Timer *first = timerFirst(loop);
    return first != NULL ? first->whenMs : INT64_MAX;
}
