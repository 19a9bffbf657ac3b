#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "alerts.h"

bool controller_decides(Controller *controller)
{
    if (!replication_leading(controller->replication) || controller->repairing)
        return false;
    if (controller->watch.plans != NULL)
        controller->watch.plans(controller->watch.arg, controller->settings->name,
                                configuration_term(controller->replication));
    return true;
}

QueueClock controller_clock(const Controller *controller)
{
    return (QueueClock){replication_clock_ms(controller->replication), replication_wall_ms(controller->replication)};
}

Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result)
{
    Bytes payload = {0};
    shape_pack(shape, body, mem, &payload);
    return replication_submit(controller->replication, kind, payload, result);
}

int64_t controller_claim_ms(const Controller *controller)
{
    return lease_claim_ms(controller->settings->bounds.lease_ms);
}

static void on_opened(void *arg, uint64_t term, bool new_holder, bool repair)
{
    Controller *controller = arg;
    trace_say(controller->trace, TRACE_OPENED, new_holder ? "the lock was won" : "opened anew", "view:%" PRIu64,
              term_counter(term));
    if (new_holder) {
        void *mem = talloc_new(controller);
        const Worker **workers;
        const size_t count = table_workers(controller->table, mem, &workers);
        const char **names = talloc_array(mem, const char *, (unsigned)count);
        for (size_t i = 0; i < count; i++)
            names[i] = workers[i]->name;
        /* any lease that the last leader answered runs out within this */
        orphans_reset(controller->orphans);
        scheduler_reset(controller->scheduler);
        liveset_reset(controller->liveset,
                      replication_won_ms(controller->replication) + controller_claim_ms(controller), names, count);
        talloc_free(mem);
    }
    if (repair && (new_holder || !controller->repairing)) {
        controller->repairing = true; /* a repair under way goes on over views opened anew */
        /* attempts that the log has forgotten are told again or have lapsed by then */
        scheduler_set_place_from(controller->scheduler,
                                 loop_now_ms(controller->loop) + controller_claim_ms(controller));
        repair_start(controller);
    }
    if (!repair)
        controller->repairing = false;
    orders_wake(controller);
    scheduler_notify(controller->scheduler);
}

/* An order that was told before may be on its way until it expires, by an agent's
 * clock that is slow. */
static void on_left(void *arg, const Job *job, const JobTask *task)
{
    const Controller *controller = arg;
    if (replication_holds(controller->replication))
        orphans_add(controller->orphans, task->worker, job, task, task->attempt,
                    loop_now_ms(controller->loop) + ORDER_GONE_MS);
}

static void attempts_take(Controller *controller, const AttemptList *attempts)
{
    score_take(controller->scheduler, attempts);
    for (size_t i = 0; i < attempts->news_count; i++) {
        const AttemptNews *news = &attempts->news[i];
        const AttemptSaved saved = {
            .job = news->job, .task = news->task, .attempt = news->attempt, .text = news->saved};
        if (news->word == ATTEMPT_RUNNING)
            continue; /* a heartbeat has told how far it has come since */
        if (replication_holds(controller->replication))
            saved_take(controller->scheduler, &saved);
        orphans_end(controller->orphans, news);
    }
}

static void on_delivered(void *arg, const Record *change, const void *body, const ChangeResult *result)
{
    Controller *controller = arg;
    trace_delivered(controller, change, body, result);
    scheduler_notify(controller->scheduler);
    limits_follow(controller->in_force);
    if (body != NULL && change->change == CHANGE_ATTEMPTS)
        attempts_take(controller, body);
    if (body != NULL && change->change == CHANGE_WORKER_LOST)
        liveset_losing(controller->liveset, ((const WorkerLost *)body)->worker, false);
}

/* Ended jobs are kept for a stated span. */
static void forget_main(void *arg)
{
    Controller *controller = arg;
    while (!loop_stopping(controller->loop)) {
        const int64_t keep_ms = controller->settings->bounds.job_keep_ms;
        loop_sleep(controller->loop, keep_ms / 60 > FORGET_MS ? keep_ms / 60 : FORGET_MS);
        if (!controller_decides(controller))
            continue;
        const Forget forget = {replication_clock_ms(controller->replication) - keep_ms};
        if (table_oldest_ms(controller->table) >= forget.before_ms)
            continue;
        void *mem = talloc_new(controller);
        ChangeResult result;
        controller_submit(controller, mem, CHANGE_FORGET, &Forget_shape, &forget, &result);
        talloc_free(mem);
    }
}

/* A controller in waiting hears of the configuration as an entry point does. */
static bool seatless(void *arg)
{
    const Controller *controller = arg;
    return !replication_seated(controller->replication);
}

static bool leads(const void *arg)
{
    const Controller *controller = arg;
    return replication_leading(controller->replication);
}

/* For the forwarder: a request of the own address, as leader. */
static void serve(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    const Controller *controller = arg;
    caller_service_lead(controller->callers, mem, ask, answer);
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

static json_object *alerts_shown(void *arg)
{
    return alerts_show(arg);
}

static void on_http(void *arg, HttpTask *task)
{
    controller_take(arg, task);
}

/* Where in the log the node is, for its lines. */
static RecorderPlace place_now(void *arg)
{
    const Controller *controller = arg;
    uint64_t term, commit_index;
    replication_place(controller->replication, &term, &commit_index);
    return (RecorderPlace){.term = term_counter(term), .index = commit_index};
}

Status controller_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings,
                        const ControllerWatch *watch, Controller **out, Failure *failure)
{
    Controller *controller = talloc_zero(mem, Controller);
    controller->loop = loop;
    controller->recorder = recorder;
    controller->settings = settings;
    controller->started_ms = loop_now_ms(loop);
    if (watch != NULL)
        controller->watch = *watch;
    controller->rpc = rpc_new(controller, loop, recorder);
    controller->table = table_new(controller);
    table_watch(controller->table, on_delivered, controller);
    controller->piece_source.mem = controller;
    controller->repair_buffer = repair_buffer_new(controller, loop, settings->bounds.retell_ms);
    controller->liveset = liveset_new(controller);
    controller->orphans = orphans_new(controller);
    controller->in_force = in_force_new(controller, loop, recorder, controller->table);
    controller->scheduler = scheduling_new(controller);
    table_left_watch(controller->table, on_left, controller);
    controller->alerts = map_new(controller);
    const ReplicationSettings replication_settings = {.loop = loop,
                                                      .rpc = controller->rpc,
                                                      .recorder = recorder,
                                                      .state = table_state(controller->table),
                                                      .opened = on_opened,
                                                      .opened_arg = controller,
                                                      .losses = (int)settings->bounds.losses,
                                                      .founds = (ReplicationFounds)settings->bounds.founds,
                                                      .disks_keep = settings->bounds.disks_keep != 0,
                                                      .voter_back_ms = settings->bounds.voter_back_ms};
    controller->replication = replication_new(controller, &replication_settings);
    /* the disk first: its id is part of our name */
    Status status = replication_open_disk(
        controller->replication, talloc_asprintf(controller, "%s/journal", settings->data), settings->name, failure);
    if (status == STATUS_OK)
        recorder_set_place(recorder, place_now, controller);
    if (status == STATUS_OK)
        status = rpc_listen(controller->rpc, settings->listen, controller->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, on_http, controller, controller->http, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {
        .id = talloc_asprintf(controller, "%s@%016" PRIx64, settings->name, replication_disk(controller->replication)),
        .name = settings->name,
        .role = ROLE_CONTROLLER,
        .zone = settings->zone,
        .address = controller->address,
        .http = controller->http,
        .incarnation = (uint64_t)loop_wall_ms(loop),
        .disk = replication_disk(controller->replication),
        .empty = !replication_founded(controller->replication),
    };
    controller->members = members_new(controller, loop, controller->rpc, recorder, &self, settings->seeds);
    controller->callers = caller_service_new(
        controller,
        &(CallerServiceSettings){
            .loop = loop,
            .replication = controller->replication,
            .table = controller->table,
            .members = controller->members,
            .rpc = controller->rpc,
            .in_force = controller->in_force,
            .scheduler = controller->scheduler,
            .bounds = &settings->bounds,
            .leader = {.arg = controller, .repairing = repairing, .status = status_show, .alerts = alerts_shown}});
    controller->trace = trace_new(controller, loop, controller->rpc, controller->members, settings->name);
    controller->forwarder =
        forwarder_new(controller, &(ForwarderSettings){.loop = loop,
                                                       .rpc = controller->rpc,
                                                       .members = controller->members,
                                                       .repair_buffer = controller->repair_buffer,
                                                       .trace = controller->trace,
                                                       .leads = leads,
                                                       .serve = serve,
                                                       .arg = controller,
                                                       .leader_wait_ms = settings->bounds.leader_wait_ms,
                                                       .outcome_wait_ms = settings->bounds.outcome_wait_ms});
    controller->config_watch =
        config_watch_new(controller, loop, controller->rpc, forwarder_ways(controller->forwarder), controller->trace);
    replication_start(controller->replication, controller->members);
    agents_serve(controller);
    callers_serve(controller);
    members_start(controller->members);
    replication_founding(controller->replication);
    scheduler_start(controller->scheduler);
    alerts_start(controller);
    forwarder_start(controller->forwarder);
    config_watch_start(controller->config_watch, seatless, controller);
    loop_spawn(loop, "forget", forget_main, controller);
    *out = controller;
    return STATUS_OK;
}

bool controller_ready(const Controller *controller)
{
    return !controller->leaving &&
           (replication_leading(controller->replication) ? !controller->repairing
                                                         : ways_serve(forwarder_ways(controller->forwarder)));
}

void controller_drain(Controller *controller)
{
    const int64_t now_ms = loop_now_ms(controller->loop),
                  until_ms = now_ms + controller->settings->bounds.grace_ms - DRAIN_MARGIN_MS;
    controller->leaving = true;
    loop_serve_leave(controller->loop);
    members_set_leaving(controller->members);
    members_announce(controller->members); /* so that the view goes on without waiting for us */
    /* what was ordered gets its result; then the vote and the lock are handed over */
    if (replication_leading(controller->replication))
        replication_settle(controller->replication);
    replication_leave(controller->replication, now_ms + (until_ms - now_ms) / VOTE_LEAVE_PART);
    /* requests are taken on, and carried to the next leader, until the last moment */
    const int64_t unready_until_ms = now_ms + controller->settings->bounds.unready_ms;
    if (loop_now_ms(controller->loop) < unready_until_ms)
        loop_sleep(controller->loop, unready_until_ms - loop_now_ms(controller->loop));
    while (loop_serve_busy(controller->loop) > 0 && loop_now_ms(controller->loop) < until_ms)
        loop_sleep(controller->loop, DRAIN_LOOK_MS);
}

Replication *controller_view(Controller *controller)
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

void controller_seeds(Controller *controller, const char *const seeds[SEEDS])
{
    members_seeds(controller->members, seeds);
}
