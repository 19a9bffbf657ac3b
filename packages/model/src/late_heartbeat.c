/* Late heartbeats: a heartbeat is held up on its way and arrives seconds later, after those that were sent since, at
 * whatever process of the agent runs then. */
#include <string.h>
#include <talloc.h>

#include "worker_model.h"

#define LATE_MIN_MS 1100 /* after the sender has given it up */

/* A heartbeat on its way. */
typedef struct LateHeartbeat {
    WorkerModel *worker_model;
    HttpCall call;
    int64_t late_ms;
    uint64_t agent_incarnation, incarnation; /* of the agent that it was sent to, and of its sender */
} LateHeartbeat;

static void deliver_main(void *arg)
{
    LateHeartbeat *late = arg;
    WorkerModel *worker_model = late->worker_model;
    WorkerModels *worker_models = worker_model->worker_models;
    loop_sleep(worker_models->link, late->late_ms);
    topology_log(worker_models->topology, "a heartbeat of %s arrives %d ms late", worker_model->boot,
                 (int)late->late_ms);
    worker_models->late_ms = topology_now_ms(worker_models->topology);
    if (worker_model->agent_node->up) {
        worker_models->bounds[BOUND_LATE_HEARTBEATS]++;
        worker_models->bounds[BOUND_LATE_TO_NEXT] += late->agent_incarnation != worker_model->agent_node->incarnation;
        worker_models->bounds[BOUND_LATE_OF_FORMER] += late->incarnation != worker_model->incarnation;
    }
    loop_call(worker_models->link, &late->call);
    talloc_free(late);
}

bool late_heartbeat_drawn(WorkerModel *worker_model, const HttpCall *call)
{
    WorkerModels *worker_models = worker_model->worker_models;
    const Site *site = worker_models->topology->site;
    if (worker_models->link == NULL)
        return false;
    RandomSource random_source =
        random_source_new(worker_models->topology->seed, worker_model->boot, worker_model->sequence);
    if ((int64_t)(random_source_next(&random_source) % 1000) >= site->late_heartbeat_milli)
        return false;
    LateHeartbeat *late = talloc_zero(worker_models->link, LateHeartbeat);
    late->worker_model = worker_model;
    worker_models->late_ms = topology_now_ms(worker_models->topology);
    late->late_ms = random_source_between(&random_source, LATE_MIN_MS, site->late_heartbeat_ms);
    late->agent_incarnation = worker_model->agent_node->incarnation;
    late->incarnation = worker_model->incarnation;
    late->call = (HttpCall){.mem = late,
                            .address = talloc_strdup(late, call->address),
                            .method = call->method,
                            .path = talloc_strdup(late, call->path),
                            .wait_ms = call->wait_ms};
    bytes_add(late, &late->call.body, call->body.data, call->body.count);
    loop_spawn(worker_models->link, "late", deliver_main, late);
    return true;
}

static void link_start(void *arg, Loop *loop)
{
    WorkerModels *worker_models = arg;
    worker_models->link = loop;
}

void late_heartbeats_start(WorkerModels *worker_models)
{
    SimWorld *world = worker_models->topology->world;
    if (worker_models->topology->site->late_heartbeat_milli > 0)
        sim_start(world, sim_machine_new(world), link_start, worker_models);
}

const char *bound_name(Bound bound)
{
    static const char *const NAMES[] = {
#define X(name) #name,
        BOUND_LIST(X)
#undef X
    };
    return NAMES[bound];
}
