/* The agent's HTTP endpoints: health checks, metrics, the flight recorder, and the worker's report. */
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "api/show_rpc.h"
#include "report_json.h"
#include "tasks.h"

static void metrics_show(Agent *agent, HttpExchange *task)
{
    int64_t attempts[PHASE_COMMITTED + 1] = {0};
    for (const Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
        attempts[attempt->phase]++;
    show_metrics_begin(task);
    show_metric(task, "holdLeftMs", lease_left_ms(&agent->lease, loop_now_ms(agent->loop)));
    show_metric(task, "workerLive", agent->worker_live);
    show_metric(task, "roundsRunning", attempts[PHASE_RUNNING]);
    show_metric(task, "roundsStopping", attempts[PHASE_STOPPING]);
    show_metric(task, "roundsUntold", (int64_t)agent->attempts.ended.count);
    show_metric(task, "roundsKept", (int64_t)agent->attempts.committed.count);
    show_rpc_metrics(task, agent->rpc);
}

/* /livez: the process answers. /readyz: the agent's lease is valid and the agent is not shutting down. */
static void health_show(Agent *agent, HttpExchange *task)
{
    const bool live = task->path[1] == 'l';
    if (!live && (agent->leaving || !lease_runs(&agent->lease, loop_now_ms(agent->loop)))) {
        show_refusal(task, agent->leaving ? STATUS_LEAVING : STATUS_NO_LEADER, "not ready", NULL);
        return;
    }
    json_object *body = json_object_new_object();
    json_object_object_add(body, live ? "live" : "ready", json_object_new_boolean(true));
    show_result(task, 200, body);
}

/* Returns the NAME of /v1/workers/NAME/report, allocated on task; null if the path is another. */
static const char *report_name(const HttpExchange *task)
{
    static const char PREFIX[] = "/v1/workers/", SUFFIX[] = "/report";
    const size_t prefix_length = sizeof(PREFIX) - 1, suffix_length = sizeof(SUFFIX) - 1, length = strlen(task->path);
    if (strncmp(task->path, PREFIX, prefix_length) != 0 || length <= prefix_length + suffix_length ||
        strcmp(task->path + length - suffix_length, SUFFIX) != 0)
        return NULL;
    return talloc_strndup(task, task->path + prefix_length, length - prefix_length - suffix_length);
}

void agent_http_serve(void *arg, HttpExchange *task)
{
    Agent *agent = arg;
    if (strcmp(task->path, "/livez") == 0 || strcmp(task->path, "/readyz") == 0) {
        health_show(agent, task);
        return;
    }
    if (strcmp(task->path, "/metrics") == 0) {
        metrics_show(agent, task);
        return;
    }
    if (strcmp(task->path, "/v1/ring") == 0) {
        show_recorder(task, agent->recorder);
        return;
    }
    const char *name = report_name(task);
    if (name == NULL)
        show_refusal(task, STATUS_BAD_PATH, "there is no such path on an agent", NULL);
    else if (strcmp(task->method, "POST") != 0)
        show_refusal(task, STATUS_BAD_METHOD, "a report must be sent with POST", NULL);
    else
        worker_report_serve(agent, task, name);
}
