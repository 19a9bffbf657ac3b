#include "gate/gate.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "beat/messages.h"
#include "feed/feed.h"
#include "feed/forward.h"

#define ELSEWHERE_HTTP 307 /* the same request, with its body, at another address */

struct Gate {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer;
    Forwarder *forwarder;
    Trace *trace;
    Recorder *recorder;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    ConfigWatch *config_watch;
    int64_t grace_ms, unready_ms;
    bool leaving;
    size_t in_work;
};

static void metrics(Gate *gate, HttpTask *task)
{
    const RpcCounts *counts = rpc_counts(gate->rpc);
    show_metrics_begin(task);
    show_metric(task, "inWork", (int64_t)gate->in_work);
    show_metric(task, "kept", (int64_t)repair_buffer_count(gate->repair_buffer));
    show_metric(task, "keptBytes", (int64_t)repair_buffer_bytes(gate->repair_buffer));
    show_metric(task, "configRevision", (int64_t)config_watch_version(gate->config_watch));
    show_metric(task, "configHeld", (int64_t)config_watch_held(gate->config_watch));
    show_metric(task, "members", (int64_t)members_table(gate->members)->count);
#define X(name, outside) show_metric(task, outside, (int64_t)counts->name);
    RPC_COUNT_LIST(X)
#undef X
}

void gate_take(Gate *gate, HttpTask *task)
{
    if (strcmp(task->path, "/livez") == 0) {
        json_object *body = json_object_new_object();
        json_object_object_add(body, "live", json_object_new_boolean(true));
        show_result(task, 200, body);
    } else if (strcmp(task->path, "/readyz") == 0) {
        show_ready(task, gate_ready(gate), gate->leaving);
    } else if (strcmp(task->path, "/metrics") == 0) {
        metrics(gate, task);
    } else if (strcmp(task->path, "/v1/ring") == 0) {
        show_recorder(task, gate->recorder);
    } else if (strcmp(task->path, "/v1/trace") == 0) {
        trace_serve(gate->trace, task);
    } else {
        gate->in_work++;
        forward_request(gate->forwarder, task);
        gate->in_work--;
    }
}

bool gate_elsewhere(Gate *gate, HttpTask *task, bool back, const char **leader)
{
    if (task->body.count <= CONFIG_LARGE_BYTES && !(back && config_watch_size(gate->config_watch) > CONFIG_LARGE_BYTES))
        return false;
    HttpTask *ask = talloc(task, HttpTask);
    *ask = (HttpTask){.loop = gate->loop,
                      .method = "GET",
                      .path = "/readyz",
                      .query = "",
                      .host = "",
                      .timeout_ms = task->timeout_ms};
    forward_request(gate->forwarder, ask);
    const Member *member = members_find(gate->members, members_leader_id(gate->members));
    const bool known = member != NULL && strchr(member->record.http, ':') != NULL;
    if (ask->code == 200 && !known)
        return false;
    if (ask->code == 200) {
        show_result(task, ELSEWHERE_HTTP, json_object_new_object());
        *leader = talloc_strdup(task, member->record.http);
        return true;
    }
    task->code = ask->code;
    task->status = ask->status;
    task->kind = ask->kind;
    task->result = ask->result;
    task->retry_after_s = ask->retry_after_s;
    return true;
}

static void on_http(void *arg, HttpTask *task)
{
    gate_take(arg, task);
}

bool gate_ready(const Gate *gate)
{
    return !gate->leaving && ways_serve(forwarder_ways(gate->forwarder));
}

static Status on_retell(void *arg, void *mem, const void *question, void *answer)
{
    Gate *gate = arg;
    const RetellAsk *ask = question;
    RepairList *list = answer;
    repair_buffer_tell(gate->repair_buffer, mem, ask->config_have, list);
    config_watch_notify(gate->config_watch, mem, ask->config_have, list);
    return STATUS_OK;
}

static Status on_keep(void *arg, void *mem, const void *question, void *answer)
{
    Gate *gate = arg;
    const RepairList *list = question;
    (void)mem;
    (void)answer;
    repair_buffer_keep(gate->repair_buffer, list->items, list->items_count);
    return STATUS_OK;
}

/* A gate holds no lock and runs nothing: that it answers is what counts. */
static Status on_know(void *arg, void *mem, const void *question, void *answer)
{
    Gate *gate = arg;
    (void)mem;
    (void)question;
    ((KnowAnswer *)answer)->term = members_leader_term(gate->members);
    return STATUS_OK;
}

Status gate_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Gate **out, Failure *failure)
{
    Gate *gate = talloc_zero(mem, Gate);
    gate->loop = loop;
    gate->recorder = recorder;
    gate->grace_ms = settings->bounds.grace_ms;
    gate->unready_ms = settings->bounds.unready_ms;
    gate->rpc = rpc_new(gate, loop, recorder);
    gate->repair_buffer = repair_buffer_new(gate, loop, settings->bounds.retell_ms);
    Status status = rpc_listen(gate->rpc, settings->listen, gate->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, on_http, gate, gate->http, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {.id = settings->name,
                               .name = settings->name,
                               .role = ROLE_GATE,
                               .zone = settings->zone,
                               .address = gate->address,
                               .http = gate->http,
                               .incarnation = (uint64_t)loop_wall_ms(loop)};
    gate->members = members_new(gate, loop, gate->rpc, recorder, &self, settings->seeds);
    gate->trace = trace_new(gate, loop, gate->rpc, gate->members, settings->name);
    gate->forwarder = forwarder_new(gate, &(ForwarderSettings){.loop = loop,
                                                               .rpc = gate->rpc,
                                                               .members = gate->members,
                                                               .repair_buffer = gate->repair_buffer,
                                                               .trace = gate->trace,
                                                               .leader_wait_ms = settings->bounds.leader_wait_ms,
                                                               .outcome_wait_ms = settings->bounds.outcome_wait_ms});
    gate->config_watch = config_watch_new(gate, loop, gate->rpc, forwarder_ways(gate->forwarder), gate->trace);
    rpc_handle(gate->rpc, MESSAGE_RETELL, &RetellAsk_shape, &RepairList_shape, on_retell, gate);
    rpc_handle(gate->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, gate);
    rpc_handle(gate->rpc, MESSAGE_KEEP, &RepairList_shape, &Nothing_shape, on_keep, gate);
    members_set_voter(gate->members, settings->bounds.founds == 1);
    members_start(gate->members);
    forwarder_start(gate->forwarder);
    config_watch_start(gate->config_watch, NULL, NULL);
    *out = gate;
    return STATUS_OK;
}

void gate_drain(Gate *gate)
{
    const int64_t now_ms = loop_now_ms(gate->loop);
    gate->leaving = true;
    loop_serve_leave(gate->loop);
    members_set_leaving(gate->members);
    /* requests are taken on until the last moment: none that was read is cut */
    loop_sleep(gate->loop, gate->unready_ms);
    while (loop_serve_busy(gate->loop) > 0 && loop_now_ms(gate->loop) < now_ms + gate->grace_ms - DRAIN_MARGIN_MS)
        loop_sleep(gate->loop, DRAIN_LOOK_MS);
}

const char *gate_http_address(const Gate *gate)
{
    return gate->http;
}

void gate_seeds(Gate *gate, const char *const seeds[SEEDS])
{
    members_seeds(gate->members, seeds);
}
