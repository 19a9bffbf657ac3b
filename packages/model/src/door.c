/* The platform's load balancer for entry points: a health check each second, and the choice for a new connection. */
#include "door.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define LOOK_MS 1000 /* ms; between two health checks, and the time-out of one */
#define MISSES_OUT 2

typedef struct Looking {
    Door *door;
    size_t edge;
} Looking;

static void look_main(void *arg)
{
    Looking *looking = arg;
    Door *door = looking->door;
    const Topology *topology = door->topology;
    Loop *loop = sim_loop(topology->world, door->machine);
    const TopologyNode *node = &topology->edges[looking->edge];
    for (;;) {
        void *mem = talloc_new(looking);
        HttpCall call = {.mem = mem,
                         .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                    topology->codec->ready_port),
                         .method = "GET",
                         .path = topology->codec->ready_path,
                         .wait_ms = LOOK_MS};
        const int64_t began_ms = loop_now_ms(loop);
        const bool ready = node->used && loop_call(loop, &call) == STATUS_OK && call.code == 200;
        door->misses[looking->edge] = ready ? 0 : door->misses[looking->edge] + 1;
        talloc_free(mem);
        loop_sleep(loop, began_ms + LOOK_MS - loop_now_ms(loop));
    }
}

Door *door_new(void *mem, Topology *topology)
{
    Door *door = talloc_zero(mem, Door);
    door->topology = topology;
    door->machine = sim_machine(topology->world);
    return door;
}

void door_start(Door *door)
{
    topology_host(door->topology, door->machine);
    Loop *loop = sim_loop(door->topology->world, door->machine);
    for (size_t i = 0; i < door->topology->edge_count; i++) {
        Looking *looking = talloc_zero(loop, Looking);
        *looking = (Looking){door, i};
        loop_spawn(loop, "look", look_main, looking);
    }
}

TopologyNode *door_entry(const Door *door, RandomSource *random_source, const char *zone)
{
    Topology *topology = door->topology;
    TopologyNode *in[EDGES_MAX], *all[EDGES_MAX], *any[EDGES_MAX];
    int64_t in_count = 0, all_count = 0, any_count = 0;
    for (size_t i = 0; i < topology->edge_count; i++) {
        TopologyNode *node = &topology->edges[i];
        const bool here = strcmp(node->zone, zone) == 0, ready = door->misses[i] < MISSES_OUT;
        if (!node->used || node->gone)
            continue;
        if (here)
            all[all_count++] = node;
        if (here && ready)
            in[in_count++] = node;
        if (ready)
            any[any_count++] = node;
    }
    if (in_count * 2 >= all_count && in_count > 0)
        return in[random_source_span(random_source, 0, in_count - 1)];
    if (in_count > 0 || any_count == 0)
        return all_count > 0 ? all[random_source_span(random_source, 0, all_count - 1)] : &topology->edges[0];
    return any[random_source_span(random_source, 0, any_count - 1)];
}
