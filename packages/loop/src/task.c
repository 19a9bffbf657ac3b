/* Tasks: coroutines on stacks of their own, the list of ready tasks, and the signals that tasks wait for. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fiber.h"
#include "loop/internal.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#define FIBER_START(save, bottom, size) __sanitizer_start_switch_fiber(save, bottom, size)
#define FIBER_FINISH(saved, bottom, size) __sanitizer_finish_switch_fiber(saved, bottom, size)
#else
#define FIBER_START(save, bottom, size) ((void)(save), (void)(bottom), (void)(size))
#define FIBER_FINISH(saved, bottom, size) ((void)(saved), (void)(bottom), (void)(size))
#endif

/* Invariant: wake_count grows each time the task is woken, so that a timer of an earlier wait cannot end a later one.
 */
struct Task {
    Loop *loop;
    Task *prev, *next; /* on loop->tasks */
    Task *ready_next;
    Task *signal_next;
    Signal *signal; /* the signal that the task waits for; null: none */
    bool ready;
    bool raised; /* the last wait ended by the signal, not by the timer */
    bool ended;
    uint64_t wake_count;
    size_t timers; /* timers in the heap that refer to the task, which is freed after the last of them */
    const char *name;
    TaskFn fn;
    void *arg;
    FiberContext context;      /* the suspended task */
    FiberContext loop_context; /* the loop while the task runs */
    void *stack;
    /* for the address sanitizer: bounds of the loop's stack, and the task's fake stack while it is suspended */
    const void *loop_stack_bottom;
    size_t loop_stack_size;
    void *fake_stack;
};

void loop_init(Loop *loop, const LoopOps *ops)
{
    loop->ops = ops;
}

int64_t loop_now_ms(const Loop *loop)
{
    return loop->ops->now_ms(loop);
}

int64_t loop_wall_ms(const Loop *loop)
{
    return loop->ops->wall_ms(loop);
}

uint64_t loop_random(Loop *loop)
{
    return loop->ops->random(loop);
}

void loop_stop(Loop *loop)
{
    loop->stopping = true;
}

bool loop_stopping(const Loop *loop)
{
    return loop->stopping;
}

/* Appends the task to the ready list, unless it is on it. */
static void task_ready(Task *task)
{
    if (task->ready)
        return;
    Loop *loop = task->loop;
    task->ready = true;
    task->wake_count++;
    task->ready_next = NULL;
    if (loop->ready_last != NULL)
        loop->ready_last->ready_next = task;
    else
        loop->ready_first = task;
    loop->ready_last = task;
    if (loop->current == NULL)
        loop->ops->arm(loop, loop_now_ms(loop));
}

/* The entry function of a task's stack. */
static void task_main(FiberTransfer transfer)
{
    Task *task = transfer.data;
    task->loop_context = transfer.from;
    FIBER_FINISH(NULL, &task->loop_stack_bottom, &task->loop_stack_size);
    task->fn(task->arg);
    task->ended = true;
    FIBER_START(NULL, task->loop_stack_bottom, task->loop_stack_size);
    jump_fcontext(task->loop_context, NULL); /* does not return: loop_run frees the task */
}

/* Reuses the stack of an ended task, whose pages are still mapped, or allocates one. Up to TASK_STACKS_IDLE_MAX idle
 * stacks are retained. */
static void *stack_take(Loop *loop)
{
    if (loop->idle_stack_count > 0)
        return loop->idle_stacks[--loop->idle_stack_count];
    return malloc(TASK_STACK_BYTES);
}

static void stack_release(Loop *loop, void *stack)
{
    if (loop->idle_stack_count < TASK_STACKS_IDLE_MAX)
        loop->idle_stacks[loop->idle_stack_count++] = stack;
    else
        free(stack);
}

void loop_spawn(Loop *loop, const char *name, TaskFn fn, void *arg)
{
    Task *task = talloc_zero(loop, Task);
    task->loop = loop;
    task->name = name;
    task->fn = fn;
    task->arg = arg;
    task->stack = stack_take(loop);
    task->context = make_fcontext((char *)task->stack + TASK_STACK_BYTES, TASK_STACK_BYTES, task_main);
    task->next = loop->tasks;
    if (loop->tasks != NULL)
        loop->tasks->prev = task;
    loop->tasks = task;
    task_ready(task);
}

/* Releases the task's stack, and the task itself unless timers still refer to it. */
static void task_free(Task *task)
{
    Loop *loop = task->loop;
    if (task->prev != NULL)
        task->prev->next = task->next;
    else
        loop->tasks = task->next;
    if (task->next != NULL)
        task->next->prev = task->prev;
    stack_release(loop, task->stack);
    task->stack = NULL;
    if (task->timers == 0)
        talloc_free(task);
}

void loop_end(Loop *loop)
{
    while (loop->tasks != NULL)
        task_free(loop->tasks);
    while (loop->idle_stack_count > 0)
        free(loop->idle_stacks[--loop->idle_stack_count]);
    loop->ready_first = loop->ready_last = NULL;
    loop->timer_count = 0;
}

/* Removes a task whose timer is due from the list of its signal. */
static void signal_leave(Task *task)
{
    Signal *signal = task->signal;
    if (signal == NULL)
        return;
    Task **at = &signal->first;
    Task *before = NULL;
    while (*at != task) {
        before = *at;
        at = &(*at)->signal_next;
    }
    *at = task->signal_next;
    if (signal->last == task)
        signal->last = before;
    task->signal = NULL;
}

/* Suspends the running task until loop_run resumes it. */
static void task_suspend(Task *task)
{
    FIBER_START(&task->fake_stack, task->loop_stack_bottom, task->loop_stack_size);
    task->loop_context = jump_fcontext(task->loop_context, NULL).from;
    FIBER_FINISH(task->fake_stack, &task->loop_stack_bottom, &task->loop_stack_size);
}

void loop_sleep(Loop *loop, int64_t wait_ms)
{
    Signal none = {0};
    signal_wait(loop, &none, loop_now_ms(loop) + wait_ms);
}

void loop_yield(Loop *loop)
{
    loop_sleep(loop, 0);
}

bool signal_wait(Loop *loop, Signal *signal, int64_t until_ms)
{
    Task *task = loop->current;
    task->raised = false;
    task->signal = signal;
    task->signal_next = NULL;
    if (signal->last != NULL)
        signal->last->signal_next = task;
    else
        signal->first = task;
    signal->last = task;
    if (until_ms != INT64_MAX) {
        timer_add(loop, until_ms, task, task->wake_count);
        task->timers++;
    }
    task_suspend(task);
    return task->raised;
}

void signal_raise(Loop *loop, Signal *signal)
{
    (void)loop;
    while (signal->first != NULL) {
        Task *task = signal->first;
        signal->first = task->signal_next;
        if (signal->first == NULL)
            signal->last = NULL;
        task->signal = NULL;
        task->raised = true;
        task_ready(task);
    }
}

/* Returns the earliest timer that a task still waits for, or null. Earlier stale timers, whose tasks were woken or have
 * ended, are removed: most waits end long before their timeout, and the loop must not wake for their timers. */
static const Timer *timer_first(Loop *loop)
{
    while (loop->timer_count > 0) {
        const Timer *first = &loop->timers[0];
        Task *task = first->task;
        if (!task->ended && task->wake_count == first->wake_count && !task->ready)
            return first;
        timer_pop(loop);
        task->timers--;
        if (task->ended && task->timers == 0)
            talloc_free(task);
    }
    return NULL;
}

void loop_run(Loop *loop)
{
    for (;;) {
        const Timer *first;
        while ((first = timer_first(loop)) != NULL && first->when_ms <= loop_now_ms(loop)) {
            signal_leave(first->task);
            task_ready(first->task); /* increments wake_count, which makes the timer stale */
        }
        Task *task = loop->ready_first;
        if (task == NULL)
            return;
        loop->ready_first = task->ready_next;
        if (loop->ready_first == NULL)
            loop->ready_last = NULL;
        task->ready = false;
        loop->current = task;
        void *fake = NULL;
        FIBER_START(&fake, task->stack, TASK_STACK_BYTES);
        task->context = jump_fcontext(task->context, task).from;
        FIBER_FINISH(fake, NULL, NULL);
        loop->current = NULL;
        if (task->ended)
            task_free(task);
    }
}

int64_t loop_next_ms(Loop *loop)
{
    if (loop->ready_first != NULL)
        return loop_now_ms(loop);
    const Timer *first = timer_first(loop);
    return first != NULL ? first->when_ms : INT64_MAX;
}
