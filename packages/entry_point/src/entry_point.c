/* An entry point without a disk: the requests that it answers itself, those that it forwards, its start and its
 * shutdown. */
#include "entry_point/entry_point.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "api/show_rpc.h"
#include "heartbeat/messages.h"
#include "routing/caller_key.h"
#include "routing/config_watch.h"
#include "routing/forward.h"
#include "routing/repair_transfer.h"
#include "shutdown/graceful_shutdown.h"

#define HTTP_TEMPORARY_REDIRECT 307 /* the caller is to repeat the request, with its body, at another address */

struct EntryPoint {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    RepairBuffer *repair_buffer;
    Forwarder *forwarder;
    Trace *trace;
    Recorder *recorder;
    char address[ADDRESS_MAX], http[ADDRESS_MAX]; /* addresses for peers and for callers, as bound */
    ConfigWatch *config_watch;
    int64_t grace_ms;            /* maximum duration of a graceful shutdown */
    int64_t unready_ms;          /* minimum time for which a shutdown reports not ready and still serves requests */
    bool disks_keep;             /* no repair is needed: what a disk has synced survives a loss of power */
    bool leaving;                /* a graceful shutdown is in progress */
    size_t requests_in_progress; /* number of requests that are being forwarded */
};

/* --- callers' requests ------------------------------------------------------------------ */

static void serve_metrics(EntryPoint *entry_point, HttpExchange *task)
{
    show_metrics_begin(task);
    show_metric(task, "inWork", (int64_t)entry_point->requests_in_progress);
    show_metric(task, "kept", (int64_t)repair_buffer_count(entry_point->repair_buffer));
    show_metric(task, "keptBytes", (int64_t)repair_buffer_bytes(entry_point->repair_buffer));
    show_metric(task, "configRevision", (int64_t)config_watch_version(entry_point->config_watch));
    show_metric(task, "configHeld", (int64_t)config_watch_stored_version(entry_point->config_watch));
    show_metric(task, "members", (int64_t)members_table(entry_point->members)->count);
    show_rpc_metrics(task, entry_point->rpc);
}

static void serve_live(HttpExchange *task)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "live", json_object_new_boolean(true));
    show_result(task, 200, body);
}

void entry_point_handle_request(EntryPoint *entry_point, HttpExchange *task)
{
    if (strcmp(task->path, "/livez") == 0) {
        serve_live(task);
    } else if (strcmp(task->path, "/readyz") == 0) {
        show_ready(task, entry_point_ready(entry_point), entry_point->leaving);
    } else if (strcmp(task->path, "/metrics") == 0) {
        serve_metrics(entry_point, task);
    } else if (strcmp(task->path, "/v1/ring") == 0) {
        show_recorder(task, entry_point->recorder);
    } else if (strcmp(task->path, "/v1/trace") == 0) {
        trace_serve(entry_point->trace, task);
    } else {
        entry_point->requests_in_progress++;
        forward_request(entry_point->forwarder, task);
        entry_point->requests_in_progress--;
    }
}

/* Suspends the coroutine. Asks the leader whether it serves, with the deadline of the caller's request; returns the
 * finished request, allocated on task. */
static HttpExchange *query_leader_ready(EntryPoint *entry_point, HttpExchange *task)
{
    HttpExchange *query = talloc(task, HttpExchange);
    *query = (HttpExchange){.loop = entry_point->loop,
                            .method = "GET",
                            .path = "/readyz",
                            .query = "",
                            .host = "",
                            .timeout_ms = task->timeout_ms};
    forward_request(entry_point->forwarder, query);
    return query;
}

bool entry_point_redirect(EntryPoint *entry_point, HttpExchange *task, EntryPointConfig carried, const char **leader)
{
    const bool in_result = carried == ENTRY_POINT_CONFIG_IN_RESULT;
    if (task->body.count <= CONFIG_LARGE_BYTES &&
        !(in_result && config_watch_size(entry_point->config_watch) > CONFIG_LARGE_BYTES))
        return false;
    const HttpExchange *query = query_leader_ready(entry_point, task);
    const Member *member = members_find_id(entry_point->members, members_leader_id(entry_point->members));
    const bool known = member != NULL && strchr(member->record.http, ':') != NULL;
    if (query->code == 200 && !known)
        return false;
    if (query->code == 200) {
        show_result(task, HTTP_TEMPORARY_REDIRECT, json_object_new_object());
        *leader = talloc_strdup(task, member->record.http);
        return true;
    }
    task->code = query->code;
    task->status = query->status;
    task->content_type = query->content_type;
    task->response_body = query->response_body;
    task->retry_after_s = query->retry_after_s;
    return true;
}

static void on_http(void *arg, HttpExchange *task)
{
    caller_key_read(task);
    entry_point_handle_request(arg, task);
}

bool entry_point_ready(const EntryPoint *entry_point)
{
    return !entry_point->leaving && leader_route_leader_serves(forwarder_leader_route(entry_point->forwarder));
}

/* --- peers' requests -------------------------------------------------------------------- */

/* MESSAGE_RETELL: a leader in repair requests the changes that its disks may have lost. */
static Status on_retell(void *arg, void *mem, const void *question, void *answer)
{
    EntryPoint *entry_point = arg;
    const RetellAsk *ask = question;
    RepairList *list = answer;
    repair_buffer_list(entry_point->repair_buffer, mem, ask->config_have, list);
    config_watch_repair_items(entry_point->config_watch, mem, ask->config_have, list);
    return STATUS_OK;
}

/* MESSAGE_KEEP: a leader has this process hold changes for repair before it acknowledges them. */
static Status on_keep(void *arg, void *mem, const void *question, void *answer)
{
    EntryPoint *entry_point = arg;
    const RepairList *list = question;
    (void)mem;
    (void)answer;
    repair_buffer_add(entry_point->repair_buffer, list->items, list->items_count);
    return STATUS_OK;
}

/* MESSAGE_KNOW: an isolated agent asks whether a holder of the lock is known (the second survival rule of XenServer's
 * HA design). An entry point has no part in the lock and answers no, with the newest term known here; for the agent it
 * counts that the entry point was reachable. */
static Status on_know(void *arg, void *mem, const void *question, void *answer)
{
    EntryPoint *entry_point = arg;
    (void)mem;
    (void)question;
    ((KnowAnswer *)answer)->term = members_leader_term(entry_point->members);
    return STATUS_OK;
}

/* --- start and shutdown ------------------------------------------------------------------- */

static MemberRecord self_record(const EntryPoint *entry_point, const Settings *settings)
{
    return (MemberRecord){.id = settings->name,
                          .name = settings->name,
                          .role = ROLE_ENTRY_POINT,
                          .zone = settings->zone,
                          .address = entry_point->address,
                          .http = entry_point->http,
                          .incarnation = (uint64_t)loop_wall_ms(entry_point->loop)};
}

static Forwarder *entry_point_forwarder(EntryPoint *entry_point, const ClusterSettings *cluster_settings)
{
    const ForwarderSettings settings = {.loop = entry_point->loop,
                                        .rpc = entry_point->rpc,
                                        .members = entry_point->members,
                                        .repair_buffer = entry_point->repair_buffer,
                                        .trace = entry_point->trace,
                                        .leader_wait_ms = cluster_settings->leader_wait_ms,
                                        .outcome_wait_ms = cluster_settings->outcome_wait_ms};
    return forwarder_new(entry_point, &settings);
}

Status entry_point_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, EntryPoint **out,
                         Failure *failure)
{
    EntryPoint *entry_point = talloc_zero(mem, EntryPoint);
    entry_point->loop = loop;
    entry_point->recorder = recorder;
    entry_point->grace_ms = settings->cluster_settings.grace_ms;
    entry_point->unready_ms = settings->cluster_settings.unready_ms;
    entry_point->disks_keep = settings->cluster_settings.disks_keep != 0;
    entry_point->rpc = rpc_new(entry_point, loop, recorder);
    entry_point->repair_buffer = repair_buffer_new(entry_point, loop, settings->cluster_settings.retell_ms);
    Status status = rpc_listen(entry_point->rpc, settings->listen, entry_point->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, on_http, entry_point, entry_point->http, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = self_record(entry_point, settings);
    entry_point->members = members_new(entry_point, loop, entry_point->rpc, recorder, &self, settings->seeds);
    entry_point->trace = trace_new(entry_point, loop, entry_point->rpc, entry_point->members, settings->name);
    entry_point->forwarder = entry_point_forwarder(entry_point, &settings->cluster_settings);
    entry_point->config_watch = config_watch_new(entry_point, loop, entry_point->rpc,
                                                 forwarder_leader_route(entry_point->forwarder), entry_point->trace);
    rpc_handle(entry_point->rpc, MESSAGE_RETELL, &RetellAsk_shape, &RepairList_shape, on_retell, entry_point);
    rpc_handle(entry_point->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, entry_point);
    rpc_handle(entry_point->rpc, MESSAGE_KEEP, &RepairList_shape, &Nothing_shape, on_keep, entry_point);
    members_set_voter(entry_point->members, settings->cluster_settings.founds == 1);
    members_start(entry_point->members);
    forwarder_start(entry_point->forwarder);
    config_watch_start(entry_point->config_watch, NULL, NULL);
    *out = entry_point;
    return STATUS_OK;
}

void entry_point_drain(EntryPoint *entry_point)
{
    const GracefulShutdown shutdown =
        graceful_shutdown_begin(entry_point->loop, entry_point->recorder, entry_point->grace_ms);
    entry_point->leaving = true;
    members_set_leaving(entry_point->members);
    forwarder_end_by(entry_point->forwarder, shutdown.answers_until_ms);
    /* requests are served until the end, so that none that was read is dropped */
    graceful_shutdown_serve(&shutdown, entry_point->unready_ms);
    graceful_shutdown_close(&shutdown);
    if (!entry_point->disks_keep)
        (void)repair_transfer(entry_point->repair_buffer, entry_point->loop, entry_point->rpc, entry_point->members,
                              shutdown.until_ms);
    graceful_shutdown_end(&shutdown);
}

const char *entry_point_http_address(const EntryPoint *entry_point)
{
    return entry_point->http;
}

void entry_point_set_seeds(EntryPoint *entry_point, const char *const seeds[SEEDS])
{
    members_set_seeds(entry_point->members, seeds);
}
