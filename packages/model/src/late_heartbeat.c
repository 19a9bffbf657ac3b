/* Late heartbeats: a heartbeat is held up on its way and arrives seconds later, after those that were sent since, at
 * whatever process of the agent runs then. */
#include <talloc.h>

#include "late_call.h"
#include "worker_model.h"

#define LATE_MIN_MS 1100 /* after the sender has given it up */

/* A heartbeat on its way. */
typedef struct LateHeartbeat {
    WorkerModel *worker_model;
    uint64_t agent_incarnation, incarnation; /* of the agent that it was sent to, and of its sender */
} LateHeartbeat;

static void on_arrival(void *arg, int64_t late_ms)
{
    LateHeartbeat *late = arg;
    const WorkerModel *worker_model = late->worker_model;
    WorkerModels *worker_models = worker_model->worker_models;
    Topology *topology = worker_models->topology;
    topology_log(topology, "a heartbeat of %s arrives %d ms late", worker_model->boot, (int)late_ms);
    worker_models->late_ms = topology_now_ms(topology);
    if (worker_model->agent_node->up) {
        topology->bounds[BOUND_LATE_HEARTBEATS]++;
        topology->bounds[BOUND_LATE_TO_NEXT] += late->agent_incarnation != worker_model->agent_node->incarnation;
        topology->bounds[BOUND_LATE_OF_FORMER] += late->incarnation != worker_model->incarnation;
    }
    talloc_free(late);
}

bool late_heartbeat_drawn(WorkerModel *worker_model, const HttpCall *call)
{
    WorkerModels *worker_models = worker_model->worker_models;
    Topology *topology = worker_models->topology;
    const Site *site = topology->site;
    if (topology->link == NULL || site->late_heartbeat_milli == 0)
        return false;
    RandomSource random_source = random_source_new(topology->seed, worker_model->boot, worker_model->sequence);
    if ((int64_t)(random_source_next(&random_source) % 1000) >= site->late_heartbeat_milli)
        return false;
    LateHeartbeat *late = talloc_zero(topology, LateHeartbeat);
    *late = (LateHeartbeat){worker_model, worker_model->agent_node->incarnation, worker_model->incarnation};
    worker_models->late_ms = topology_now_ms(topology);
    late_call_send(topology, call, random_source_between(&random_source, LATE_MIN_MS, site->late_heartbeat_ms),
                   on_arrival, late);
    return true;
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
