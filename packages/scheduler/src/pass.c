/* Starts a pass: collects the workers and their free capacity. */
#include "pass.h"

#include <string.h>
#include <talloc.h>

#include "scheduler/worker_score.h"
#include "settings/features.h"
#include "unconfirmed.h"
#include "withheld.h"

/* The capacity of the worker that may be used now, unless it is ejected; none when the worker may not be given work.
 * row: of the live set, may be null. orphans (out): the capacity that orphaned attempts use there. */
static Resources usable_resources(const Scheduler *scheduler, const Worker *worker, const LiveRow *row,
                                  Resources *orphans)
{
    const bool known = orphans_resources(scheduler->orphans, worker->name, orphans);
    const bool ready = known && row != NULL && live_row_ready(row, loop_now_ms(scheduler->loop)) && !worker->excluded &&
                       !table_zone_is_drained(scheduler->table, worker->zone);
    const Resources none = {0};
    return ready ? resources_subtract(worker->resources, row->other_usage) : none;
}

/* Finds the workers' rows in the live set; null: the worker has not contacted this leader. Returns whether overdue
 * heartbeats are credible: when more than one in OVERDUE_WORKERS_DIVISOR workers is overdue at the same time, it is
 * more likely that this process has not read their heartbeats yet. */
static bool live_rows_find(const Scheduler *scheduler, const Worker *const *workers, size_t count, const LiveRow **rows)
{
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    size_t overdue = 0;
    for (size_t i = 0; i < count; i++) {
        rows[i] = liveset_find(scheduler->liveset, workers[i]->name);
        overdue += rows[i] != NULL && live_row_overdue(rows[i], now_ms);
    }
    return overdue * OVERDUE_WORKERS_DIVISOR <= count &&
           feature_enabled(scheduler->cluster_settings, FEATURE_PASS_OVERDUE);
}

/* Collects all workers with their free capacity. Workers that may not be given work have none, but their tasks still
 * count for the plan. A worker whose heartbeat is overdue keeps its capacity in the plan, but none of it is free. */
static void pass_workers_collect(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    const Worker **workers;
    const size_t count = table_workers(scheduler->table, pass->mem, &workers);
    pass->input.workers = talloc_array(pass->mem, PlanWorker, (unsigned)count);
    pass->input.worker_count = count;
    pass->ejected = talloc_zero_array(pass->mem, Resources, (unsigned)count);
    pass->withheld = talloc_zero_array(pass->mem, Resources, (unsigned)count);
    pass->slowdowns = talloc_array(pass->mem, uint64_t, (unsigned)count);
    const LiveRow **rows = talloc_array(pass->mem, const LiveRow *, (unsigned)count);
    const bool credible = live_rows_find(scheduler, workers, count, rows);
    for (size_t i = 0; i < count; i++) {
        const Worker *worker = workers[i];
        Resources orphans;
        const Resources resources = usable_resources(scheduler, worker, rows[i], &orphans);
        const Resources used = resources_add(orphans, table_used_on(scheduler->table, worker->name));
        const bool suspect = credible && rows[i] != NULL && live_row_overdue(rows[i], now_ms);
        pass->input.workers[i] = (PlanWorker){.name = worker->name,
                                              .zone = worker->zone,
                                              .rack = worker->rack,
                                              .kind = worker->kind,
                                              .labels = worker->labels,
                                              .label_count = worker->labels_count,
                                              .resources = resources,
                                              .free = suspect ? (Resources){0} : resources_subtract(resources, used),
                                              .penalty = score_rate(scheduler, worker->name) * 10};
        if (score_ejected(scheduler, worker->name))
            withheld_eject(pass, i);
        pass->slowdowns[i] = estimate_worker_slowdown(scheduler->estimates, worker->name, now_ms);
        pass->fleet = resources_add(pass->fleet, pass->input.workers[i].resources);
    }
    pass->largest = plan_largest(pass->input.workers, count);
}

size_t pass_worker_index(const Pass *pass, const char *worker)
{
    size_t low = 0, high = pass->input.worker_count;
    while (low < high) { /* sorted by name */
        const size_t middle = (low + high) / 2;
        const int order = strcmp(pass->input.workers[middle].name, worker);
        if (order == 0)
            return middle;
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return SIZE_MAX;
}

Pass *pass_new(Scheduler *scheduler, void *mem)
{
    Pass *pass = talloc_zero(mem, Pass);
    pass->scheduler = scheduler;
    pass->mem = pass;
    uint64_t stamp;
    pass->config = scheduler->leader.config(scheduler->leader.arg, &stamp);
    pass->plan_required =
        (pass->config->r_given && pass->config->r > 0) || pass->config->zone_loss || pass->config->rack_loss;
    pass->clock = scheduler->leader.clock(scheduler->leader.arg);
    pass->next_ms = INT64_MAX;
    pass->input =
        (PlanInput){.r = pass->config->r, .zone_loss = pass->config->zone_loss, .rack_loss = pass->config->rack_loss};
    pass_workers_collect(pass);
    const Map *unconfirmed = unconfirmed_find(pass);
    pass->context =
        (QueueContext){.table = scheduler->table,
                       .without_targets = !feature_enabled(scheduler->cluster_settings, FEATURE_TARGET_ORDER),
                       .without_priorities = !feature_enabled(scheduler->cluster_settings, FEATURE_PRIORITY),
                       .config = pass->config,
                       .unconfirmed = unconfirmed,
                       .config_stamp = stamp,
                       .fleet = pass->fleet,
                       .clock = pass->clock,
                       .policy = scheduler->leader.policy,
                       .arg = scheduler->leader.arg};
    return pass;
}

PlanNeed pass_need(const Job *job, uint64_t step)
{
    const StepSpec *spec = &job->spec.steps[step];
    return (PlanNeed){spec->resources, queue_kind(job, step), spec->labels, spec->labels_count};
}
