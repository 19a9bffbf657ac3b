/* Timers: a binary heap ordered by time, and by order of creation for equal times. */
#include <talloc.h>

#include "loop/internal.h"

static bool timer_before(const Timer *a, const Timer *b)
{
    return a->when_ms < b->when_ms || (a->when_ms == b->when_ms && a->sequence < b->sequence);
}

void timer_add(Loop *loop, int64_t when_ms, Task *task, uint64_t wake_count)
{
    if (loop->timer_count == loop->timer_capacity) {
        loop->timer_capacity = loop->timer_capacity ? loop->timer_capacity * 2 : 64;
        loop->timers = talloc_realloc(loop, loop->timers, Timer, (unsigned)loop->timer_capacity);
    }
    const Timer timer = {when_ms, loop->next_timer_sequence++, task, wake_count};
    size_t at = loop->timer_count++;
    while (at > 0 && timer_before(&timer, &loop->timers[(at - 1) / 2])) {
        loop->timers[at] = loop->timers[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    loop->timers[at] = timer;
}

void timer_pop(Loop *loop)
{
    const Timer last = loop->timers[--loop->timer_count];
    size_t at = 0;
    for (;;) {
        size_t child = at * 2 + 1;
        if (child >= loop->timer_count)
            break;
        if (child + 1 < loop->timer_count && timer_before(&loop->timers[child + 1], &loop->timers[child]))
            child++;
        if (!timer_before(&loop->timers[child], &last))
            break;
        loop->timers[at] = loop->timers[child];
        at = child;
    }
    if (loop->timer_count > 0)
        loop->timers[at] = last;
}
