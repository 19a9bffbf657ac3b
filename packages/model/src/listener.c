/* The platform's load balancer for entry points: a health check every second, and the choice for a new connection. */
#include "listener.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define HEALTH_CHECK_MS 1000 /* interval and timeout of health checks */
#define EJECT_MISSES 2       /* consecutive failures that eject an entry point */

/* The periodic health check of one server. */
typedef struct EntryPointProbe {
    Listener *listener;
    size_t server;
} EntryPointProbe;

static void health_check_main(void *arg)
{
    EntryPointProbe *probe = arg;
    Listener *listener = probe->listener;
    const Topology *topology = listener->topology;
    Loop *loop = sim_loop(topology->world, listener->machine);
    const TopologyNode *node = &topology->servers[probe->server];
    for (;;) {
        void *mem = talloc_new(probe);
        HttpCall call = {.mem = mem,
                         .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                    topology->codec->ready_port),
                         .method = "GET",
                         .path = topology->codec->ready_path,
                         .wait_ms = HEALTH_CHECK_MS};
        const int64_t began_ms = loop_now_ms(loop);
        const bool ready = node->used && loop_call(loop, &call) == STATUS_OK && call.code == 200;
        listener->misses[probe->server] = ready ? 0 : listener->misses[probe->server] + 1;
        talloc_free(mem);
        loop_sleep(loop, began_ms + HEALTH_CHECK_MS - loop_now_ms(loop));
    }
}

Listener *listener_new(void *mem, Topology *topology)
{
    Listener *listener = talloc_zero(mem, Listener);
    listener->topology = topology;
    listener->machine = sim_machine_new(topology->world);
    return listener;
}

void listener_start(Listener *listener)
{
    topology_host(listener->topology, listener->machine);
    Loop *loop = sim_loop(listener->topology->world, listener->machine);
    for (size_t i = 0; i < listener->topology->server_count; i++) {
        EntryPointProbe *probe = talloc_zero(loop, EntryPointProbe);
        *probe = (EntryPointProbe){listener, i};
        loop_spawn(loop, "health-check", health_check_main, probe);
    }
}

TopologyNode *listener_entry(const Listener *listener, RandomSource *random_source, const char *zone)
{
    Topology *topology = listener->topology;
    TopologyNode *ready_in_zone[SERVERS_MAX], *all_in_zone[SERVERS_MAX], *ready_anywhere[SERVERS_MAX];
    int64_t ready_in_zone_count = 0, all_in_zone_count = 0, ready_anywhere_count = 0;
    for (size_t i = 0; i < topology->server_count; i++) {
        TopologyNode *node = &topology->servers[i];
        const bool in_zone = strcmp(node->zone, zone) == 0, ready = listener->misses[i] < EJECT_MISSES;
        if (!node->used || node->gone)
            continue;
        if (in_zone)
            all_in_zone[all_in_zone_count++] = node;
        if (in_zone && ready)
            ready_in_zone[ready_in_zone_count++] = node;
        if (ready)
            ready_anywhere[ready_anywhere_count++] = node;
    }
    if (ready_in_zone_count * 2 >= all_in_zone_count && ready_in_zone_count > 0)
        return ready_in_zone[random_source_between(random_source, 0, ready_in_zone_count - 1)];
    if (ready_in_zone_count > 0 || ready_anywhere_count == 0)
        return all_in_zone_count > 0 ? all_in_zone[random_source_between(random_source, 0, all_in_zone_count - 1)]
                                     : &topology->servers[0];
    return ready_anywhere[random_source_between(random_source, 0, ready_anywhere_count - 1)];
}
