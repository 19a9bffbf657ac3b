/* The scheduler's interface to the controller. */
#include "scheduler/scheduler.h"

#include <talloc.h>

#include "pass.h"
#include "scheduler/attempt_progress.h"

Scheduler *scheduler_new(void *mem, const SchedulerSettings *settings)
{
    Scheduler *scheduler = talloc_zero(mem, Scheduler);
    scheduler->loop = settings->loop;
    scheduler->recorder = settings->recorder;
    scheduler->table = settings->table;
    scheduler->liveset = settings->liveset;
    scheduler->orphans = settings->orphans;
    scheduler->cluster_settings = settings->cluster_settings;
    scheduler->leader = settings->leader;
    scheduler->plan.possible = true;
    scheduler->checkpoints = map_new(scheduler);
    scheduler->scores = map_new(scheduler);
    scheduler->estimates = estimates_new(scheduler);
    scheduler->queue = queue_new(scheduler, scheduler->estimates);
    scheduler->progress_table = progress_table_new(scheduler);
    scheduler->reservations = map_new(scheduler);
    scheduler->inherited_won_ms = INT64_MIN;
    return scheduler;
}

void scheduler_reset(Scheduler *scheduler)
{
    progress_table_reset(scheduler->progress_table);
}

void scheduler_notify(Scheduler *scheduler)
{
    scheduler->changes++;
    signal_raise(scheduler->loop, &scheduler->wake);
}

void scheduler_set_place_from(Scheduler *scheduler, int64_t from_ms)
{
    scheduler->place_from_ms = from_ms;
}

int64_t scheduler_place_from_ms(const Scheduler *scheduler)
{
    return scheduler->place_from_ms;
}

const SchedulerCounts *scheduler_counts(const Scheduler *scheduler)
{
    return &scheduler->counts;
}

const SchedulerPlan *scheduler_plan(const Scheduler *scheduler)
{
    return &scheduler->plan;
}

ReadyQueue *scheduler_ready_queue(Scheduler *scheduler, void *mem, QueuePolicy policy, void *arg)
{
    Pass *pass = pass_new(scheduler, mem);
    pass->context.policy = policy;
    pass->context.arg = arg;
    return ready_queue_new(pass, scheduler->queue, &pass->context);
}
