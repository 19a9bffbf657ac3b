/* The world's clock, random numbers and event queue. The queue is a binary heap ordered by time; events of the same
 * time run in the order in which they were added. */
#include <talloc.h>

#include "base/array.h"
#include "world.h"

int64_t sim_now_ms(const SimWorld *world)
{
    return world->now_ms;
}

int64_t sim_wall_ms(const SimWorld *world)
{
    return 1700000000000 + world->now_ms;
}

uint64_t sim_events(const SimWorld *world)
{
    return world->event_count;
}

/* The generator is splitmix64. */
uint64_t sim_random(SimWorld *world)
{
    uint64_t mixed_bits = (world->random_state += 0x9e3779b97f4a7c15u);
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return mixed_bits ^ (mixed_bits >> 31);
}

int64_t sim_link_ms(SimWorld *world)
{
    return world->delay_low_ms +
           (int64_t)(sim_random(world) % (uint64_t)(world->delay_high_ms - world->delay_low_ms + 1));
}

static bool event_before(const SimEvent *a, const SimEvent *b)
{
    return a->when_ms < b->when_ms || (a->when_ms == b->when_ms && a->order < b->order);
}

void sim_schedule(SimWorld *world, int64_t when_ms, SimFn fn, void *arg)
{
    world->events = array_grow(world, world->events, sizeof(*world->events), world->count, &world->capacity);
    const SimEvent event = {when_ms < world->now_ms ? world->now_ms : when_ms, world->order++, fn, arg};
    size_t at = world->count++;
    while (at > 0 && event_before(&event, &world->events[(at - 1) / 2])) {
        world->events[at] = world->events[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    world->events[at] = event;
}

/* Removes the earliest event from the heap. */
static SimEvent take(SimWorld *world)
{
    const SimEvent top = world->events[0];
    const SimEvent last = world->events[--world->count];
    size_t at = 0;
    for (;;) {
        size_t child = at * 2 + 1;
        if (child >= world->count)
            break;
        if (child + 1 < world->count && event_before(&world->events[child + 1], &world->events[child]))
            child++;
        if (!event_before(&world->events[child], &last))
            break;
        world->events[at] = world->events[child];
        at = child;
    }
    if (world->count > 0)
        world->events[at] = last;
    return top;
}

/* Runs the next event if its time is not after until_ms. Returns false if there is none. */
static bool step_to(SimWorld *world, int64_t until_ms)
{
    if (world->count == 0 || world->events[0].when_ms > until_ms)
        return false;
    const SimEvent event = take(world);
    world->now_ms = event.when_ms;
    world->event_count++;
    event.fn(event.arg);
    if (world->watch != NULL)
        world->watch(world->watch_arg);
    return true;
}

void sim_run_until(SimWorld *world, int64_t until_ms)
{
    while (step_to(world, until_ms))
        ;
    world->now_ms = until_ms;
}

bool sim_run_turn(SimWorld *world, int machine, int64_t until_ms)
{
    const uint64_t before = world->machines[machine].turns;
    while (world->machines[machine].turns == before)
        if (!step_to(world, until_ms))
            return false;
    return true;
}

void sim_watch_events(SimWorld *world, SimFn fn, void *arg)
{
    world->watch = fn;
    world->watch_arg = arg;
}

void sim_watch_disks(SimWorld *world, SimDiskFn fn, void *arg)
{
    world->disk_watch = fn;
    world->disk_watch_arg = arg;
}
