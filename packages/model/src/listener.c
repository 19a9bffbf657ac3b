/* The platform's load balancer for entry points: a health check each second, and the choice for a new connection. */
#include "listener.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define HEALTH_CHECK_MS 1000 /* ms; between two health checks, and the time-out of one */
#define MISSES_OUT 2

typedef struct Looking {
    Listener *listener;
    size_t server;
} Looking;

static void health_check_main(void *arg)
{
    Looking *looking = arg;
    Listener *listener = looking->listener;
    const Topology *topology = listener->topology;
    Loop *loop = sim_loop(topology->world, listener->machine);
    const TopologyNode *node = &topology->servers[looking->server];
    for (;;) {
        void *mem = talloc_new(looking);
        HttpCall call = {.mem = mem,
                         .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                    topology->codec->ready_port),
                         .method = "GET",
                         .path = topology->codec->ready_path,
                         .wait_ms = HEALTH_CHECK_MS};
        const int64_t began_ms = loop_now_ms(loop);
        const bool ready = node->used && loop_call(loop, &call) == STATUS_OK && call.code == 200;
        listener->misses[looking->server] = ready ? 0 : listener->misses[looking->server] + 1;
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
        Looking *looking = talloc_zero(loop, Looking);
        *looking = (Looking){listener, i};
        loop_spawn(loop, "look", health_check_main, looking);
    }
}

TopologyNode *listener_entry(const Listener *listener, RandomSource *random_source, const char *zone)
{
    Topology *topology = listener->topology;
    TopologyNode *in[SERVERS_MAX], *all[SERVERS_MAX], *any[SERVERS_MAX];
    int64_t in_count = 0, all_count = 0, any_count = 0;
    for (size_t i = 0; i < topology->server_count; i++) {
        TopologyNode *node = &topology->servers[i];
        const bool here = strcmp(node->zone, zone) == 0, ready = listener->misses[i] < MISSES_OUT;
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
        return all_count > 0 ? all[random_source_span(random_source, 0, all_count - 1)] : &topology->servers[0];
    return any[random_source_span(random_source, 0, any_count - 1)];
}
