#include "agent/agent.h"

#include <string.h>
#include <talloc.h>

#include "inside.h"

static void metrics(Agent *agent, HttpTask *task)
{
    const RpcCounts *counts = rpc_counts(agent->rpc);
    int64_t attempts[PHASE_KNOWN + 1] = {0};
    for (const Attempt *attempt = agent->attempts.lives.first; attempt != NULL; attempt = attempt->next)
        attempts[attempt->phase]++;
    show_metrics_begin(task);
    show_metric(task, "holdLeftMs", lease_left_ms(&agent->lease, loop_now_ms(agent->loop)));
    show_metric(task, "workerLive", agent->worker_live);
    show_metric(task, "roundsRunning", attempts[PHASE_RUNNING]);
    show_metric(task, "roundsStopping", attempts[PHASE_STOPPING]);
    show_metric(task, "roundsUntold", (int64_t)agent->attempts.ended.count);
    show_metric(task, "roundsKept", (int64_t)agent->attempts.known.count);
#define X(name, outside) show_metric(task, outside, (int64_t)counts->name);
    RPC_COUNT_LIST(X)
#undef X
}

static void on_http(void *arg, HttpTask *task)
{
    Agent *agent = arg;
    if (strcmp(task->path, "/livez") == 0 || strcmp(task->path, "/readyz") == 0) {
        const bool live = task->path[1] == 'l';
        if (!live && (agent->leaving || !lease_runs(&agent->lease, loop_now_ms(agent->loop)))) {
            show_refusal(task, agent->leaving ? STATUS_LEAVING : STATUS_NO_LEADER, "not ready", NULL);
            return;
        }
        json_object *body = json_object_new_object();
        json_object_object_add(body, live ? "live" : "ready", json_object_new_boolean(true));
        show_result(task, 200, body);
        return;
    }
    if (strcmp(task->path, "/metrics") == 0) {
        metrics(agent, task);
        return;
    }
    if (strcmp(task->path, "/v1/ring") == 0) {
        show_recorder(task, agent->recorder);
        return;
    }
    static const char BEFORE[] = "/v1/workers/", AFTER[] = "/report";
    const size_t length = strlen(task->path);
    if (strncmp(task->path, BEFORE, sizeof(BEFORE) - 1) != 0 || length <= sizeof(BEFORE) + sizeof(AFTER) - 2 ||
        strcmp(task->path + length - (sizeof(AFTER) - 1), AFTER) != 0) {
        show_refusal(task, STATUS_BAD_PATH, "there is no such path on an agent", NULL);
        return;
    }
    if (strcmp(task->method, "POST") != 0) {
        show_refusal(task, STATUS_BAD_METHOD, "a report is posted", NULL);
        return;
    }
    worker_take(
        agent, task,
        talloc_strndup(task, task->path + sizeof(BEFORE) - 1, length - (sizeof(BEFORE) - 1) - (sizeof(AFTER) - 1)));
}

Status agent_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Agent **out, Failure *failure)
{
    Agent *agent = talloc_zero(mem, Agent);
    agent->loop = loop;
    agent->recorder = recorder;
    agent->settings = settings;
    agent->worker_name = settings->worker != NULL ? settings->worker : settings->name;
    agent->incarnation = (uint64_t)loop_wall_ms(loop);
    agent->started_ms = loop_now_ms(loop);
    agent->worker_mem = talloc_new(agent);
    const Worker unheard = {.name = agent->worker_name, .zone = settings->zone, .rack = "", .kind = ""};
    shape_copy(&Worker_shape, &unheard, agent->worker_mem, &agent->worker);
    agent->rpc = rpc_new(agent, loop, recorder);
    Status status = rpc_listen(agent->rpc, settings->listen, agent->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, on_http, agent, agent->http, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {.id = settings->name,
                               .name = settings->name,
                               .role = ROLE_AGENT,
                               .zone = settings->zone,
                               .address = agent->address,
                               .http = agent->http,
                               .incarnation = agent->incarnation};
    agent->members = members_new(agent, loop, agent->rpc, recorder, &self, settings->seeds);
    agent->trace = trace_new(agent, loop, agent->rpc, agent->members, settings->name);
    attempts_init(agent);
    heartbeat_start(agent);
    tell_start(agent);
    alone_start(agent);
    members_set_voter(agent->members, settings->bounds.founds == 1);
    watch_start(agent);
    members_start(agent->members);
    *out = agent;
    return STATUS_OK;
}

/* Waits. A leaving agent takes its worker with it: no new work, what runs is
 * stopped when the lease lapses. */
void agent_drain(Agent *agent)
{
    agent->leaving = true;
    members_set_leaving(agent->members);
    heartbeat_now(agent);
    loop_sleep(agent->loop, DRAIN_MS / 3);
}

const char *agent_http_address(const Agent *agent)
{
    return agent->http;
}

void agent_seeds(Agent *agent, const char *const seeds[SEEDS])
{
    members_seeds(agent->members, seeds);
}
