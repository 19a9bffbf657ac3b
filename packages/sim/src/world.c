#include "world.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static int64_t sim_loop_now_ms(const Loop *loop)
{
    const SimLoop *sim = (const SimLoop *)loop;
    const SimMachine *machine = &sim->world->machines[sim->machine];
    return machine->boot_offset_ms + machine->rate_from_ms +
           (sim->world->now_ms - machine->rate_from_ms) * machine->rate_percent / 100;
}

static int64_t sim_loop_wall_ms(const Loop *loop)
{
    const SimLoop *sim = (const SimLoop *)loop;
    return sim_wall_ms(sim->world) + sim->world->machines[sim->machine].wall_offset_ms;
}

static uint64_t sim_loop_random(Loop *loop)
{
    return sim_random(((SimLoop *)loop)->world);
}

static const LoopOps SIM_OPS = {
    sim_loop_now_ms, sim_loop_wall_ms, sim_loop_random, sim_arm,         sim_listen,       sim_open,
    sim_send,        sim_shut,         sim_serve,       sim_limit,       sim_leave,        sim_busy,
    sim_call,        sim_file_open,    sim_file_read,   sim_file_append, sim_file_replace,
};

static void end(SimWorld *world, int number, bool power);

/* Ends all machines while what they reach back to is still there. */
static int world_free(SimWorld *world)
{
    for (int i = 0; i < world->machine_count; i++)
        end(world, i, true);
    return 0;
}

SimWorld *sim_world_new(void *mem, uint64_t seed)
{
    SimWorld *world = talloc_zero(mem, SimWorld);
    talloc_set_destructor(world, world_free);
    world->state = seed * 2 + 1;
    world->now_ms = 1000;
    world->delay_low_ms = 1;
    world->delay_high_ms = 3;
    return world;
}

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

/* splitmix64 */
uint64_t sim_random(SimWorld *world)
{
    uint64_t z = (world->state += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
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

void sim_at(SimWorld *world, int64_t when_ms, SimFn fn, void *arg)
{
    if (world->count == world->room) {
        world->room = world->room ? world->room * 2 : 1024;
        world->events = talloc_realloc(world, world->events, SimEvent, (unsigned)world->room);
    }
    const SimEvent event = {when_ms < world->now_ms ? world->now_ms : when_ms, world->order++, fn, arg};
    size_t at = world->count++;
    while (at > 0 && event_before(&event, &world->events[(at - 1) / 2])) {
        world->events[at] = world->events[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    world->events[at] = event;
}

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

bool sim_turn(SimWorld *world, int machine, int64_t until_ms)
{
    const uint64_t before = world->machines[machine].turns;
    while (world->machines[machine].turns == before)
        if (!step_to(world, until_ms))
            return false;
    return true;
}

void sim_watch(SimWorld *world, SimFn fn, void *arg)
{
    world->watch = fn;
    world->watch_arg = arg;
}

void sim_watch_disks(SimWorld *world, SimDiskFn fn, void *arg)
{
    world->disk_watch = fn;
    world->disk_watch_arg = arg;
}

int sim_machine(SimWorld *world)
{
    const int number = world->machine_count++;
    SimMachine *machine = &world->machines[number];
    machine->world = world;
    machine->number = number;
    snprintf(machine->ip, sizeof(machine->ip), "10.0.0.%d", number + 1);
    machine->boot_offset_ms = (int64_t)(sim_random(world) % 100000000);
    machine->wall_offset_ms = (int64_t)(sim_random(world) % 200) - 100;
    machine->rate_percent = 100;
    machine->sync_ms = 3;
    machine->disk = map_new(world);
    return number;
}

const char *sim_address(const SimWorld *world, int machine)
{
    return world->machines[machine].ip;
}

bool sim_find(SimWorld *world, const char *address, int *machine, const char **port)
{
    const char *colon = strrchr(address, ':');
    if (colon == NULL)
        return false;
    for (int i = 0; i < world->machine_count; i++) {
        const char *ip = world->machines[i].ip;
        if (strlen(ip) == (size_t)(colon - address) && strncmp(ip, address, strlen(ip)) == 0) {
            *machine = i;
            *port = colon + 1;
            return true;
        }
    }
    return false;
}

/* An event names a life of a machine, so that it cannot touch a later one. */
typedef struct SimTurn {
    SimMachine *machine;
    uint64_t life;
    int64_t when_ms; /* on the machine's clock; no longer the armed one: an earlier turn came since */
} SimTurn;

static void turn(void *arg)
{
    SimTurn *one = arg;
    SimMachine *machine = one->machine;
    SimWorld *world = machine->world;
    if (machine->loop == NULL || machine->life != one->life || machine->loop->armed_ms != one->when_ms) {
        talloc_free(one);
        return;
    }
    if (machine->frozen_until_ms > world->now_ms) {
        sim_at(world, machine->frozen_until_ms, turn, one);
        return;
    }
    talloc_free(one);
    SimLoop *sim = machine->loop;
    sim->armed_ms = INT64_MAX;
    machine->turns++;
    loop_run(&sim->loop);
    const int64_t next_ms = loop_next_ms(&sim->loop);
    if (next_ms != INT64_MAX)
        sim_arm(&sim->loop, next_ms);
}

void sim_arm(Loop *loop, int64_t when_ms)
{
    SimLoop *sim = (SimLoop *)loop;
    if (when_ms >= sim->armed_ms)
        return;
    sim->armed_ms = when_ms;
    SimMachine *machine = &sim->world->machines[sim->machine];
    SimTurn *one = talloc_zero(sim->world, SimTurn);
    *one = (SimTurn){machine, machine->life, when_ms};
    const int64_t span_ms = when_ms - machine->boot_offset_ms - machine->rate_from_ms;
    sim_at(sim->world, machine->rate_from_ms + (span_ms * 100 + machine->rate_percent - 1) / machine->rate_percent,
           turn, one);
}

void sim_start(SimWorld *world, int number, SimStart start, void *arg)
{
    SimMachine *machine = &world->machines[number];
    SimLoop *sim = talloc_zero(world, SimLoop);
    loop_init(&sim->loop, &SIM_OPS);
    sim->world = world;
    sim->machine = number;
    sim->ports = map_new(sim);
    sim->next_port = 40000;
    sim->armed_ms = INT64_MAX;
    machine->loop = sim;
    machine->life++;
    machine->frozen_until_ms = 0;
    machine->silent = false;
    start(arg, &sim->loop);
}

bool sim_alive(const SimWorld *world, int machine)
{
    return world->machines[machine].loop != NULL;
}

Loop *sim_loop(const SimWorld *world, int machine)
{
    return &world->machines[machine].loop->loop;
}

static void end(SimWorld *world, int number, bool power)
{
    SimMachine *machine = &world->machines[number];
    SimLoop *sim = machine->loop;
    if (sim == NULL)
        return;
    machine->silent = power;
    machine->loop = NULL;
    sim_disk_after_end(machine, power);
    loop_end(&sim->loop);
    talloc_free(sim);
}

void sim_kill(SimWorld *world, int machine)
{
    end(world, machine, false);
}

void sim_power_off(SimWorld *world, int machine)
{
    end(world, machine, true);
}

void sim_freeze(SimWorld *world, int machine, int64_t until_ms)
{
    /* one within another ends with the longer: what was put off is put off until then */
    if (until_ms > world->machines[machine].frozen_until_ms)
        world->machines[machine].frozen_until_ms = until_ms;
}

bool sim_frozen(const SimWorld *world, int machine)
{
    return world->machines[machine].frozen_until_ms > world->now_ms;
}

void sim_jump(SimWorld *world, int machine, int64_t by_ms)
{
    world->machines[machine].wall_offset_ms += by_ms;
}

void sim_clock_right(SimWorld *world, int machine)
{
    world->machines[machine].wall_offset_ms = 0;
}

void sim_clock_rate(SimWorld *world, int number, int64_t percent)
{
    SimMachine *machine = &world->machines[number];
    const int64_t ahead_ms = (world->now_ms - machine->rate_from_ms) * (machine->rate_percent - 100) / 100;
    machine->boot_offset_ms += ahead_ms;
    machine->rate_from_ms = world->now_ms;
    machine->rate_percent = percent;
}

void sim_cut(SimWorld *world, int from, int to, bool cut)
{
    if (from != to)
        world->cut[from][to] = cut;
}

void sim_refuse(SimWorld *world, int from, int to, bool refused)
{
    world->refused[from][to] = refused;
}

bool sim_is_cut(const SimWorld *world, int from, int to)
{
    return world->cut[from][to];
}

void sim_delay(SimWorld *world, int64_t low_ms, int64_t high_ms)
{
    world->delay_low_ms = low_ms;
    world->delay_high_ms = high_ms;
}

void sim_frames(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms)
{
    world->frame_dropped = dropped;
    world->frame_repeated = repeated;
    world->frame_late_ms = late_ms;
}

void sim_far(SimWorld *world, int machine, int64_t more_ms)
{
    world->machines[machine].far_ms = more_ms;
}

int sim_take_port(SimLoop *sim, const char *address, SimPort port, char *bound)
{
    const char *colon = strrchr(address, ':');
    char name[16];
    if (colon == NULL || strcmp(colon, ":0") == 0)
        snprintf(name, sizeof(name), "%d", sim->next_port++);
    else
        snprintf(name, sizeof(name), "%.15s", colon + 1);
    snprintf(bound, ADDRESS_MAX, "%s:%s", sim->world->machines[sim->machine].ip, name);
    SimPort *kept = talloc_zero(sim, SimPort);
    *kept = port;
    map_set(sim->ports, name, kept);
    return 0;
}
