/* The simulated implementation of the loop: processes on machines, started, run in turns, and ended. */
#include "world.h"

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

/* A turn of a machine's loop that is due. It names a life of the machine, so that it cannot touch a later one. */
typedef struct SimTurn {
    SimMachine *machine;
    uint64_t life;
    int64_t when_ms; /* on the machine's clock; other than the loop's armed_ms: an earlier turn came since */
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

void sim_thaw(SimWorld *world, int number)
{
    SimMachine *machine = &world->machines[number];
    if (!sim_frozen(world, number))
        return;
    machine->frozen_until_ms = world->now_ms;
    if (machine->loop == NULL || machine->loop->armed_ms == INT64_MAX)
        return;
    /* the turn that waits for the former end finds a later one armed, or runs once more for nothing */
    SimTurn *one = talloc_zero(world, SimTurn);
    *one = (SimTurn){machine, machine->life, machine->loop->armed_ms};
    sim_at(world, world->now_ms, turn, one);
}

static const LoopOps SIM_OPS = {
    sim_loop_now_ms, sim_loop_wall_ms, sim_loop_random,  sim_arm,        sim_listen,    sim_open, sim_send,
    sim_shut,        sim_serve,        sim_limit,        sim_leave,      sim_busy,      sim_call, sim_file_open,
    sim_file_read,   sim_file_append,  sim_file_replace, sim_hint_write, sim_hint_read,
};

/* power: its peers are not told, and its disk loses what it has not synced. */
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

/* Ends all processes while what they refer to is still there. */
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

void sim_kill(SimWorld *world, int machine)
{
    end(world, machine, false);
}

void sim_power_off(SimWorld *world, int machine)
{
    end(world, machine, true);
}
