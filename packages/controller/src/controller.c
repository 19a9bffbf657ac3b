/* The controller process: creates its components, starts them, and drains. */
#include "controller/controller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "agents.h"
#include "alerts.h"
#include "base/term.h"
#include "job_retention.h"
#include "log_events.h"
#include "peers.h"
#include "scheduling.h"
#include "status.h"
#include "routing/caller_key.h"
#include "routing/repair_transfer.h"
#include "settings/features.h"
#include "shutdown/graceful_shutdown.h"

/* Callback of the configuration watch: a controller without a vote gets the configuration from the leader, as an entry
 * point does. */
static bool has_no_vote(void *arg)
{
    const Controller *controller = arg;
    return !replication_is_voter(controller->replication);
}

static bool leads(const void *arg)
{
    const Controller *controller = arg;
    return replication_leading(controller->replication);
}

/* Callback of the forwarder: answers a request that arrived at this node's own address, as leader. */
static void serve(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    const Controller *controller = arg;
    caller_service_answer(controller->callers, mem, ask, answer);
}

static bool repairing(void *arg)
{
    const Controller *controller = arg;
    return controller->repairing;
}

static json_object *status_show(void *arg)
{
    return controller_status(arg);
}

static json_object *alerts_json(void *arg)
{
    return alerts_show(arg);
}

static void on_http(void *arg, HttpExchange *task)
{
    caller_key_read(task);
    controller_handle_request(arg, task);
}

/* Callback of the flight recorder: the node's position in the log, which each line shows. */
static RecorderPlace recorder_place(void *arg)
{
    const Controller *controller = arg;
    uint64_t term, commit_index;
    replication_place(controller->replication, &term, &commit_index);
    return (RecorderPlace){.term = term_counter(term), .index = commit_index};
}

/* Creates the replicated log and the components that apply its changes. */
static void replicated_state_new(Controller *controller)
{
    const Settings *settings = controller->settings;
    controller->rpc = rpc_new(controller, controller->loop, controller->recorder);
    controller->table = table_new(controller);
    controller->piece_source.mem = controller;
    controller->repair_buffer = repair_buffer_new(controller, controller->loop, settings->cluster_settings.retell_ms);
    controller->liveset = liveset_new(controller);
    controller->orphans = orphans_new(controller);
    controller->in_force = in_force_new(controller, controller->loop, controller->recorder, controller->table);
    controller->scheduler = scheduling_new(controller);
    controller->alerts = map_new(controller);
    log_events_watch(controller);
    const ReplicationSettings replication_settings = {
        .loop = controller->loop,
        .rpc = controller->rpc,
        .recorder = controller->recorder,
        .state = table_state(controller->table),
        .term_opened = log_opened,
        .term_opened_arg = controller,
        .losses = (int)settings->cluster_settings.losses,
        .founding_mode = (FoundingMode)settings->cluster_settings.founds,
        .longest_grant = !feature_enabled(&settings->cluster_settings, FEATURE_ADAPTIVE_GRANT),
        .disks_durable = settings->cluster_settings.disks_keep != 0,
        .voter_replacement_ms = settings->cluster_settings.voter_back_ms};
    controller->replication = replication_new(controller, &replication_settings);
}

/* Suspends the coroutine. Opens the disk, then listens on both addresses. */
static Status disk_and_addresses_open(Controller *controller, Failure *failure)
{
    const Settings *settings = controller->settings;
    /* The disk comes first: its id is part of the node's id. */
    Status status = replication_open_disk(
        controller->replication, talloc_asprintf(controller, "%s/journal", settings->data), settings->name, failure);
    if (status != STATUS_OK)
        return status;
    recorder_set_place(controller->recorder, recorder_place, controller);
    status = rpc_listen(controller->rpc, settings->listen, controller->address, failure);
    if (status != STATUS_OK)
        return status;
    return loop_serve(controller->loop, settings->http, on_http, controller, controller->http, failure);
}

static void membership_new(Controller *controller)
{
    const Settings *settings = controller->settings;
    const MemberRecord self = {
        .id = talloc_asprintf(controller, "%s@%016" PRIx64, settings->name, replication_disk(controller->replication)),
        .name = settings->name,
        .role = ROLE_CONTROLLER,
        .zone = settings->zone,
        .address = controller->address,
        .http = controller->http,
        .incarnation = (uint64_t)loop_wall_ms(controller->loop),
        .disk = replication_disk(controller->replication),
        .empty = !replication_founded(controller->replication),
    };
    controller->members =
        members_new(controller, controller->loop, controller->rpc, controller->recorder, &self, settings->seeds);
    controller->trace = trace_new(controller, controller->loop, controller->rpc, controller->members, settings->name);
}

/* Creates the components that handle requests on their way to the leader, which is this node or another. */
static void request_path_new(Controller *controller)
{
    const Settings *settings = controller->settings;
    controller->callers = caller_service_new(
        controller,
        &(CallerServiceSettings){
            .loop = controller->loop,
            .replication = controller->replication,
            .table = controller->table,
            .members = controller->members,
            .rpc = controller->rpc,
            .in_force = controller->in_force,
            .scheduler = controller->scheduler,
            .cluster_settings = &settings->cluster_settings,
            .callbacks = {.arg = controller, .repairing = repairing, .status = status_show, .alerts = alerts_json}});
    controller->forwarder =
        forwarder_new(controller, &(ForwarderSettings){.loop = controller->loop,
                                                       .rpc = controller->rpc,
                                                       .members = controller->members,
                                                       .repair_buffer = controller->repair_buffer,
                                                       .trace = controller->trace,
                                                       .leads = leads,
                                                       .serve = serve,
                                                       .arg = controller,
                                                       .leader_wait_ms = settings->cluster_settings.leader_wait_ms,
                                                       .outcome_wait_ms = settings->cluster_settings.outcome_wait_ms});
    controller->config_watch = config_watch_new(controller, controller->loop, controller->rpc,
                                                forwarder_leader_route(controller->forwarder), controller->trace);
}

/* Starts all components. From here on the node answers messages and acts. */
static void components_start(Controller *controller)
{
    replication_start(controller->replication, controller->members);
    agents_serve(controller);
    peers_serve(controller);
    members_start(controller->members);
    replication_found_start(controller->replication);
    scheduler_start(controller->scheduler);
    alerts_start(controller);
    forwarder_start(controller->forwarder);
    config_watch_start(controller->config_watch, has_no_vote, controller);
    job_retention_start(controller);
}

Status controller_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings,
                        const ControllerObserver *watch, Controller **out, Failure *failure)
{
    Controller *controller = talloc_zero(mem, Controller);
    controller->loop = loop;
    controller->recorder = recorder;
    controller->settings = settings;
    controller->started_ms = loop_now_ms(loop);
    if (watch != NULL)
        controller->watch = *watch;
    replicated_state_new(controller);
    const Status status = disk_and_addresses_open(controller, failure);
    if (status != STATUS_OK)
        return status;
    membership_new(controller);
    request_path_new(controller);
    components_start(controller);
    *out = controller;
    return STATUS_OK;
}

void controller_drain(Controller *controller)
{
    const ClusterSettings *cluster_settings = &controller->settings->cluster_settings;
    const GracefulShutdown shutdown =
        graceful_shutdown_begin(controller->loop, controller->recorder, cluster_settings->grace_ms);
    controller->leaving = true;
    members_set_leaving(controller->members);
    forwarder_end_by(controller->forwarder, shutdown.answers_until_ms);
    members_announce(controller->members); /* Lets the other voters continue without waiting for this node */
    /* Submitted changes get their results first; then the vote and the lock's lease are handed over. */
    const int64_t leave_ms = (shutdown.answers_until_ms - shutdown.began_ms) / VOTE_LEAVE_DIVISOR;
    if (replication_leading(controller->replication))
        replication_barrier(controller->replication, leave_ms);
    replication_leave(controller->replication, shutdown.began_ms + leave_ms);
    /* Requests are still accepted, and forwarded to the next leader, until the end. */
    graceful_shutdown_serve(&shutdown, cluster_settings->unready_ms);
    graceful_shutdown_close(&shutdown);
    if (cluster_settings->disks_keep == 0)
        (void)repair_transfer(controller->repair_buffer, controller->loop, controller->rpc, controller->members,
                              shutdown.until_ms);
    graceful_shutdown_end(&shutdown);
}

Replication *controller_replication(Controller *controller)
{
    return controller->replication;
}

const Table *controller_table(const Controller *controller)
{
    return controller->table;
}

const char *controller_http_address(const Controller *controller)
{
    return controller->http;
}

const char *controller_address(const Controller *controller)
{
    return controller->address;
}

void controller_set_seeds(Controller *controller, const char *const seeds[SEEDS])
{
    members_set_seeds(controller->members, seeds);
}
