/* Machines: their addresses, ports, clocks and freezes, and the state of the links between them. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "world.h"

int sim_machine_new(SimWorld *world)
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

int sim_take_port(SimLoop *sim, const char *address, SimPort port, char *bound)
{
    const char *colon = strrchr(address, ':');
    char name[16];
    if (colon == NULL || strcmp(colon, ":0") == 0)
        snprintf(name, sizeof(name), "%d", sim->next_port++);
    else
        snprintf(name, sizeof(name), "%.15s", colon + 1);
    snprintf(bound, ADDRESS_MAX, "%s:%s", sim->world->machines[sim->machine].ip, name);
    SimPort *registered = talloc_zero(sim, SimPort);
    *registered = port;
    map_set(sim->ports, name, registered);
    return 0;
}

bool sim_running(const SimWorld *world, int machine)
{
    return world->machines[machine].loop != NULL;
}

Loop *sim_loop(const SimWorld *world, int machine)
{
    return &world->machines[machine].loop->loop;
}

void sim_freeze(SimWorld *world, int machine, int64_t until_ms)
{
    /* overlapping freezes end with the last of them */
    if (until_ms > world->machines[machine].frozen_until_ms)
        world->machines[machine].frozen_until_ms = until_ms;
}

bool sim_frozen(const SimWorld *world, int machine)
{
    return world->machines[machine].frozen_until_ms > world->now_ms;
}

void sim_clock_jump(SimWorld *world, int machine, int64_t by_ms)
{
    world->machines[machine].wall_offset_ms += by_ms;
}

void sim_clock_correct(SimWorld *world, int machine)
{
    world->machines[machine].wall_offset_ms = 0;
}

void sim_clock_rate(SimWorld *world, int number, int64_t percent)
{
    SimMachine *machine = &world->machines[number];
    const int64_t gain_ms = (world->now_ms - machine->rate_from_ms) * (machine->rate_percent - 100) / 100;
    machine->boot_offset_ms += gain_ms;
    machine->rate_from_ms = world->now_ms;
    machine->rate_percent = percent;
}

void sim_link_cut(SimWorld *world, int from, int to, bool cut)
{
    if (from != to)
        world->cut[from][to] = cut;
}

void sim_link_refuse(SimWorld *world, int from, int to, bool refused)
{
    world->refused[from][to] = refused;
}

bool sim_link_is_cut(const SimWorld *world, int from, int to)
{
    return world->cut[from][to];
}

void sim_link_delay(SimWorld *world, int64_t low_ms, int64_t high_ms)
{
    world->delay_low_ms = low_ms;
    world->delay_high_ms = high_ms;
}

void sim_frame_faults(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms)
{
    world->frame_dropped = dropped;
    world->frame_repeated = repeated;
    world->frame_late_ms = late_ms;
}

void sim_machine_delay(SimWorld *world, int machine, int64_t more_ms)
{
    world->machines[machine].extra_delay_ms = more_ms;
}
