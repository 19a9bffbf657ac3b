/* The simulated implementation of the loop: start, turns and end of the processes on machines. */
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

/* A scheduled turn of a machine's loop. It holds the number of the process (SimMachine.incarnation), so that it does
 * not run a later process. */
typedef struct SimTurn {
    SimMachine *machine;
    uint64_t incarnation;
    int64_t when_ms; /* on the machine's clock; the turn is stale if the loop's armed_ms differs */
} SimTurn;

/* Event: runs one turn of a machine's loop and schedules the next one. */
static void turn_run(void *arg)
{
    SimTurn *scheduled = arg;
    SimMachine *machine = scheduled->machine;
    SimWorld *world = machine->world;
    if (machine->loop == NULL || machine->incarnation != scheduled->incarnation ||
        machine->loop->armed_ms != scheduled->when_ms) {
        talloc_free(scheduled);
        return;
    }
    if (machine->frozen_until_ms > world->now_ms) {
        sim_schedule(world, machine->frozen_until_ms, turn_run, scheduled);
        return;
    }
    talloc_free(scheduled);
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
    SimTurn *scheduled = talloc_zero(sim->world, SimTurn);
    *scheduled = (SimTurn){machine, machine->incarnation, when_ms};
    const int64_t span_ms = when_ms - machine->boot_offset_ms - machine->rate_from_ms;
    sim_schedule(sim->world,
                 machine->rate_from_ms + (span_ms * 100 + machine->rate_percent - 1) / machine->rate_percent, turn_run,
                 scheduled);
}

void sim_thaw(SimWorld *world, int number)
{
    SimMachine *machine = &world->machines[number];
    if (!sim_frozen(world, number))
        return;
    machine->frozen_until_ms = world->now_ms;
    if (machine->loop == NULL || machine->loop->armed_ms == INT64_MAX)
        return;
    /* the turn scheduled for the former end of the freeze is then stale, or runs without effect */
    SimTurn *scheduled = talloc_zero(world, SimTurn);
    *scheduled = (SimTurn){machine, machine->incarnation, machine->loop->armed_ms};
    sim_schedule(world, world->now_ms, turn_run, scheduled);
}

static const LoopOps SIM_OPS = {
    sim_loop_now_ms,  sim_loop_wall_ms,
    sim_loop_random,  sim_arm,
    sim_listen,       sim_open,
    sim_send,         sim_shut,
    sim_serve,        sim_limit,
    sim_leave,        sim_serve_status,
    sim_serve_close,  sim_serve_close_idle,
    sim_call,         sim_file_open,
    sim_file_read,    sim_file_append,
    sim_file_replace, sim_hint_write,
    sim_hint_read,
};

/* Ends the machine's process. power: by a loss of power, so that its peers see nothing and unsynced writes are lost. */
static void process_end(SimWorld *world, int number, bool power)
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

/* Destructor. Ends all processes while the objects that they refer to still exist. */
static int world_free(SimWorld *world)
{
    for (int i = 0; i < world->machine_count; i++)
        process_end(world, i, true);
    return 0;
}

SimWorld *sim_world_new(void *mem, uint64_t seed)
{
    SimWorld *world = talloc_zero(mem, SimWorld);
    talloc_set_destructor(world, world_free);
    world->random_state = seed * 2 + 1;
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
    machine->incarnation++;
    machine->frozen_until_ms = 0;
    machine->silent = false;
    start(arg, &sim->loop);
}

void sim_kill(SimWorld *world, int machine)
{
    process_end(world, machine, false);
}

void sim_power_off(SimWorld *world, int machine)
{
    process_end(world, machine, true);
}
