/* Starts and drains an agent. */
#include "agent/agent.h"

#include <talloc.h>

#include "attempts.h"
#include "heartbeat.h"
#include "shutdown/graceful_shutdown.h"
#include "tasks.h"

Status agent_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Agent **out, Failure *failure)
{
    Agent *agent = talloc_zero(mem, Agent);
    agent->loop = loop;
    agent->recorder = recorder;
    agent->settings = settings;
    agent->worker_name = settings->worker != NULL ? settings->worker : settings->name;
    agent->incarnation = (uint64_t)loop_wall_ms(loop);
    agent->inherited_lease_until_ms = agent->worker_lease_until_ms =
        loop_now_ms(loop) + lease_claim_ms(settings->cluster_settings.worker_lease_ms);
    agent->worker_mem = talloc_new(agent);
    const Worker initial = {.name = agent->worker_name, .zone = settings->zone, .rack = "", .kind = ""};
    shape_copy(&Worker_shape, &initial, agent->worker_mem, &agent->worker);
    agent->rpc = rpc_new(agent, loop, recorder);
    Status status = rpc_listen(agent->rpc, settings->listen, agent->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, agent_http_serve, agent, agent->http, failure);
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
    end_reports_start(agent);
    isolated_start(agent);
    members_set_voter(agent->members, settings->cluster_settings.founds == 1);
    deadlines_start(agent);
    members_start(agent->members);
    *out = agent;
    return STATUS_OK;
}

void agent_drain(Agent *agent)
{
    const GracefulShutdown shutdown = graceful_shutdown_begin(agent->loop, agent->recorder, DRAIN_MS);
    agent->leaving = true;
    members_set_leaving(agent->members);
    heartbeat_request(agent);
    graceful_shutdown_serve(&shutdown, DRAIN_MS / 3);
    graceful_shutdown_close(&shutdown); /* the worker gets the answer to its last heartbeat */
    graceful_shutdown_end(&shutdown);
}

const char *agent_http_address(const Agent *agent)
{
    return agent->http;
}

void agent_set_seeds(Agent *agent, const char *const seeds[SEEDS])
{
    members_set_seeds(agent->members, seeds);
}
