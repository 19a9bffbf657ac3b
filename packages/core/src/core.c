#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "alerts.h"
#include "inforce.h"

bool core_decides(Core *core)
{
    if (!replication_leading(core->replication) || core->repairing)
        return false;
    if (core->watch.plans != NULL)
        core->watch.plans(core->watch.arg, core->settings->name, configuration_term(core->replication));
    return true;
}

void core_news(Core *core)
{
    core->news++;
    signal_raise(core->loop, &core->wake);
}

QueueClock core_clock(const Core *core)
{
    return (QueueClock){replication_clock_ms(core->replication), replication_wall_ms(core->replication)};
}

Status core_submit(Core *core, void *mem, ChangeKind kind, const Shape *shape, const void *body, ChangeResult *result,
                   RepairList *repair_items)
{
    Bytes payload = {0};
    shape_pack(shape, body, mem, &payload);
    const Status status = replication_submit(core->replication, kind, payload, result);
    if (status == STATUS_OK && result->status == STATUS_OK && repair_items != NULL) {
        repair_items->items =
            talloc_realloc(mem, repair_items->items, RepairItem, (unsigned)(repair_items->items_count + 1));
        repair_items->items[repair_items->items_count++] = (RepairItem){kind, result->index, payload};
    }
    return status;
}

int64_t core_claim_ms(const Core *core)
{
    return lease_claim_ms(core->settings->bounds.lease_ms);
}

static void on_opened(void *arg, uint64_t term, bool new_holder, bool repair)
{
    Core *core = arg;
    trace_say(core->trace, TRACE_OPENED, new_holder ? "the lock was won" : "opened anew", "view:%" PRIu64,
              term_counter(term));
    if (new_holder) {
        void *mem = talloc_new(core);
        const Worker **workers;
        const size_t count = table_workers(core->table, mem, &workers);
        const char **names = talloc_array(mem, const char *, (unsigned)count);
        for (size_t i = 0; i < count; i++)
            names[i] = workers[i]->name;
        /* any lease that the last leader answered runs out within this */
        orphans_reset(core->orphans);
        paces_reset(core->paces);
        liveset_reset(core->liveset, replication_won_ms(core->replication) + core_claim_ms(core), names, count);
        talloc_free(mem);
    }
    if (repair && (new_holder || !core->repairing)) {
        core->repairing = true; /* a repair under way goes on over views opened anew */
        /* rounds that the log has forgotten are told again or have lapsed by then */
        core->place_from_ms = loop_now_ms(core->loop) + core_claim_ms(core);
        repair_start(core);
    }
    if (!repair)
        core->repairing = false;
    orders_wake(core);
    core_news(core);
}

/* An order that was told before may be on its way until it expires, by an agent's
 * clock that is slow. */
static void on_left(void *arg, const Job *job, const JobTask *task)
{
    const Core *core = arg;
    if (replication_holds(core->replication))
        orphans_add(core->orphans, task->worker, job, task, task->round, loop_now_ms(core->loop) + ORDER_GONE_MS);
}

static void rounds_take(Core *core, const RoundList *rounds)
{
    score_take(core, rounds);
    for (size_t i = 0; i < rounds->news_count; i++) {
        const RoundNews *news = &rounds->news[i];
        const RoundSaved saved = {.job = news->job, .task = news->task, .round = news->round, .text = news->saved};
        if (news->word == ROUND_RUNNING)
            continue; /* a heartbeat has told how far it has come since */
        if (replication_holds(core->replication))
            saved_take(core, &saved);
        orphans_end(core->orphans, news);
    }
}

static void on_delivered(void *arg, const Record *change, const void *body, const ChangeResult *result)
{
    Core *core = arg;
    trace_delivered(core, change, body, result);
    core_news(core);
    limits_follow(core);
    if (body != NULL && change->change == CHANGE_ROUNDS)
        rounds_take(core, body);
    if (body != NULL && change->change == CHANGE_WORKER_LOST)
        liveset_losing(core->liveset, ((const WorkerLost *)body)->worker, false);
}

/* Ended jobs are kept for a stated span. */
static void forget_main(void *arg)
{
    Core *core = arg;
    while (!loop_stopping(core->loop)) {
        const int64_t keep_ms = core->settings->bounds.job_keep_ms;
        loop_sleep(core->loop, keep_ms / 60 > FORGET_MS ? keep_ms / 60 : FORGET_MS);
        if (!core_decides(core))
            continue;
        const Forget forget = {replication_clock_ms(core->replication) - keep_ms};
        if (table_oldest_ms(core->table) >= forget.before_ms)
            continue;
        void *mem = talloc_new(core);
        ChangeResult result;
        core_submit(core, mem, CHANGE_FORGET, &Forget_shape, &forget, &result, NULL);
        talloc_free(mem);
    }
}

/* A core in waiting hears of the configuration as a gate does. */
static bool seatless(void *arg)
{
    const Core *core = arg;
    return !replication_seated(core->replication);
}

static bool leads(const void *arg)
{
    const Core *core = arg;
    return replication_leading(core->replication);
}

static void on_http(void *arg, HttpTask *task)
{
    core_take(arg, task);
}

/* Where in the log the node is, for its lines. */
static RecorderPlace place_now(void *arg)
{
    const Core *core = arg;
    uint64_t term, commit_index;
    replication_place(core->replication, &term, &commit_index);
    return (RecorderPlace){.term = term_counter(term), .index = commit_index};
}

Status core_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, const CoreWatch *watch,
                  Core **out, Failure *failure)
{
    Core *core = talloc_zero(mem, Core);
    core->loop = loop;
    core->recorder = recorder;
    core->settings = settings;
    core->plan_holds = true;
    core->started_ms = loop_now_ms(loop);
    if (watch != NULL)
        core->watch = *watch;
    core->rpc = rpc_new(core, loop, recorder);
    core->table = table_new(core);
    table_watch(core->table, on_delivered, core);
    core->piece_source.mem = core;
    core->repair_buffer = repair_buffer_new(core, loop, settings->bounds.retell_ms);
    core->liveset = liveset_new(core);
    core->saved = map_new(core);
    core->scores = map_new(core);
    core->estimates = estimates_new(core);
    core->queue = queue_new(core, core->estimates);
    core->orphans = orphans_new(core);
    core->paces = paces_new(core);
    table_left_watch(core->table, on_left, core);
    core->kept = map_new(core);
    core->alerts = map_new(core);
    const ReplicationSettings replication_settings = {.loop = loop,
                                                      .rpc = core->rpc,
                                                      .recorder = recorder,
                                                      .state = table_state(core->table),
                                                      .opened = on_opened,
                                                      .opened_arg = core,
                                                      .losses = (int)settings->bounds.losses,
                                                      .founds = (ReplicationFounds)settings->bounds.founds,
                                                      .disks_keep = settings->bounds.disks_keep != 0,
                                                      .voter_back_ms = settings->bounds.voter_back_ms};
    core->replication = replication_new(core, &replication_settings);
    /* the disk first: its id is part of our name */
    Status status = replication_open_disk(core->replication, talloc_asprintf(core, "%s/journal", settings->data),
                                          settings->name, failure);
    if (status == STATUS_OK)
        recorder_set_place(recorder, place_now, core);
    if (status == STATUS_OK)
        status = rpc_listen(core->rpc, settings->listen, core->address, failure);
    if (status == STATUS_OK)
        status = loop_serve(loop, settings->http, on_http, core, core->http, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {
        .id = talloc_asprintf(core, "%s@%016" PRIx64, settings->name, replication_disk(core->replication)),
        .name = settings->name,
        .role = ROLE_CORE,
        .zone = settings->zone,
        .address = core->address,
        .http = core->http,
        .incarnation = (uint64_t)loop_wall_ms(loop),
        .disk = replication_disk(core->replication),
        .empty = !replication_founded(core->replication),
    };
    core->members = members_new(core, loop, core->rpc, recorder, &self, settings->seeds);
    core->trace = trace_new(core, loop, core->rpc, core->members, settings->name);
    core->forwarder = forwarder_new(core, &(ForwarderSettings){.loop = loop,
                                                               .rpc = core->rpc,
                                                               .members = core->members,
                                                               .repair_buffer = core->repair_buffer,
                                                               .trace = core->trace,
                                                               .leads = leads,
                                                               .serve = callers_lead,
                                                               .arg = core,
                                                               .leader_wait_ms = settings->bounds.leader_wait_ms,
                                                               .outcome_wait_ms = settings->bounds.outcome_wait_ms});
    core->config_watch = config_watch_new(core, loop, core->rpc, forwarder_ways(core->forwarder), core->trace);
    replication_start(core->replication, core->members);
    agents_serve(core);
    callers_serve(core);
    members_start(core->members);
    replication_founding(core->replication);
    planner_start(core);
    alerts_start(core);
    forwarder_start(core->forwarder);
    config_watch_start(core->config_watch, seatless, core);
    loop_spawn(loop, "forget", forget_main, core);
    *out = core;
    return STATUS_OK;
}

bool core_ready(const Core *core)
{
    return !core->leaving &&
           (replication_leading(core->replication) ? !core->repairing : ways_serve(forwarder_ways(core->forwarder)));
}

void core_drain(Core *core)
{
    const int64_t now_ms = loop_now_ms(core->loop),
                  until_ms = now_ms + core->settings->bounds.grace_ms - DRAIN_MARGIN_MS;
    core->leaving = true;
    loop_serve_leave(core->loop);
    members_set_leaving(core->members);
    members_announce(core->members); /* so that the view goes on without waiting for us */
    /* what was ordered gets its result; then the vote and the lock are handed over */
    if (replication_leading(core->replication))
        replication_settle(core->replication);
    replication_leave(core->replication, now_ms + (until_ms - now_ms) / VOTE_LEAVE_PART);
    /* requests are taken on, and carried to the next leader, until the last moment */
    const int64_t unready_until_ms = now_ms + core->settings->bounds.unready_ms;
    if (loop_now_ms(core->loop) < unready_until_ms)
        loop_sleep(core->loop, unready_until_ms - loop_now_ms(core->loop));
    while (loop_serve_busy(core->loop) > 0 && loop_now_ms(core->loop) < until_ms)
        loop_sleep(core->loop, DRAIN_LOOK_MS);
}

Replication *core_view(Core *core)
{
    return core->replication;
}

const Table *core_table(const Core *core)
{
    return core->table;
}

const char *core_http_address(const Core *core)
{
    return core->http;
}

const char *core_address(const Core *core)
{
    return core->address;
}

void core_seeds(Core *core, const char *const seeds[SEEDS])
{
    members_seeds(core->members, seeds);
}
