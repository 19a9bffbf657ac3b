/* The planner's task: finds lost workers, then makes one pass after another over the ready queue. Each decision is
 * committed before the next one is made. */
#include "planner.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "assurance.h"
#include "gang_repair.h"
#include "lost_worker.h"
#include "placement.h"
#include "reservation.h"
#include "restart_elsewhere.h"
#include "zone_move.h"

#define PLAN_CHECKS_MAX 200 /* maximum number of checks of the r-loss plan in one pass */
#define PLAN_CHECKS_MIN 4   /* number of checks that are always allowed in a pass */
/* number of tasks and workers examined for plans in one pass, which takes about 50 ms, a tenth of a heartbeat
 * interval */
#define PLAN_WORK_MAX 4000000
#define PASS_GAP_MS 5       /* pause between two passes, in ms, so that one pass handles changes that arrive together */
#define PASS_GAP_MAX_MS 40  /* longest pause, in ms, for large sites and long queues, where a pass takes longer */
#define PASS_GAP_ENTRIES 64 /* number of workers and queued steps that lengthens the pause by 1 ms */

/* Checks whether the r-loss plan holds now. Where the configuration names no loss, the result is only shown in the
 * status, and an occasional check is enough. */
static void plan_check(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    if (!pass->plan_required && now_ms < scheduler->plan_check_ms)
        return;
    scheduler->plan_check_ms = now_ms + PLAN_CHECK_MS;
    pass_assured_tasks_add(pass);
    /* the cost of one check is about the number of losses times (tasks plus workers) */
    const size_t cost_per_check = pass->input.worker_count * (pass->input.task_count + pass->input.worker_count) + 1;
    pass->checks_max = PLAN_WORK_MAX / cost_per_check;
    if (pass->checks_max > PLAN_CHECKS_MAX)
        pass->checks_max = PLAN_CHECKS_MAX;
    if (pass->checks_max < PLAN_CHECKS_MIN)
        pass->checks_max = PLAN_CHECKS_MIN;
    PlanBreak broken = {LOSS_WORKER, ""};
    scheduler->plan.possible = plan_always_possible(&pass->input, &broken);
    scheduler->plan.broken_by_loss = broken.loss;
    snprintf(scheduler->plan.broken_by, sizeof(scheduler->plan.broken_by), "%s", broken.name);
}

/* Logs when policies begin to fail. */
static void policy_failures_log(Scheduler *scheduler)
{
    const char *failure_text;
    const uint64_t failures = scheduler->leader.policy_failures(scheduler->leader.arg, &failure_text);
    if (failures > 0 && scheduler->policy_failures_seen == 0)
        recorder_write(scheduler->recorder, RECORDER_ALERT, loop_now_ms(scheduler->loop),
                       "a policy failed, first come goes first: %s", failure_text);
    scheduler->policy_failures_seen = failures;
}

void pass_place_candidates(Pass *pass)
{
    pass->ready_queue = ready_queue_new(pass->mem, pass->scheduler->queue, &pass->context);
    policy_failures_log(pass->scheduler);
    reservation_begin(pass);
    const Candidate *candidate;
    while (pass->places.placements_count < STARTS_PER_CHANGE_MAX &&
           (candidate = ready_queue_next(pass->ready_queue)) != NULL)
        if (place_candidate(pass, candidate))
            ready_queue_placed(pass->ready_queue);
        else
            ready_queue_skip(pass->ready_queue);
    if (ready_queue_next_ms(pass->ready_queue) < pass->next_ms)
        pass->next_ms = ready_queue_next_ms(pass->ready_queue);
}

/* The pause before the next pass; grows with the number of workers and of entries of the ready queue. */
static int64_t next_gap_ms(const Pass *pass)
{
    const int64_t entries = (int64_t)(pass->input.worker_count + ready_queue_count(pass->ready_queue));
    const int64_t wait_ms = PASS_GAP_MS + entries / PASS_GAP_ENTRIES;
    return wait_ms < PASS_GAP_MAX_MS ? wait_ms : PASS_GAP_MAX_MS;
}

/* Suspends the coroutine. Runs one pass; returns whether there may be more to decide immediately. next_ms (out): when
 * there will be more to decide without a new event, in ms of this node's steady clock. */
static bool pass_run(Scheduler *scheduler, int64_t *next_ms)
{
    uint64_t changes_seen = scheduler->changes;
    Pass *pass = pass_new(scheduler, scheduler);
    scheduler->counts.passes++;
    *next_ms = loop_now_ms(scheduler->loop) + PLANNER_PASS_INTERVAL_MS;
    if (restart_elsewhere(pass)) { /* the table has changed: the data of this pass is out of date */
        talloc_free(pass);
        return true;
    }
    plan_check(pass);
    pass_place_candidates(pass);
    scheduler->pass_gap_ms = next_gap_ms(pass);
    if (pass->next_ms < pass->clock.log_ms + PLANNER_PASS_INTERVAL_MS)
        *next_ms = loop_now_ms(scheduler->loop) + pass->next_ms - pass->clock.log_ms;
    const bool more = pass->places.placements_count >= STARTS_PER_CHANGE_MAX;
    ChangeResult result;
    if (pass->places.placements_count > 0) {
        if (scheduler_submit(scheduler, pass, CHANGE_PLACE, &PlaceList_shape, &pass->places, &result) == STATUS_OK)
            scheduler->counts.placed += result.number;
        changes_seen++; /* the change that this pass submitted is no reason for another pass */
    }
    if (pass->to_preempt.attempts_count > 0 && scheduler_decides(scheduler)) {
        if (scheduler_submit(scheduler, pass, CHANGE_STOP, &StopList_shape, &pass->to_preempt, &result) == STATUS_OK)
            scheduler->counts.preempted += result.number;
    } else if (pass->places.placements_count == 0) {
        if (!move_one_task(pass) && pass->plan_required && pass->checks == 0 && scheduler_decides(scheduler))
            assure_running_tasks(pass);
    }
    talloc_free(pass);
    return more || scheduler->changes > changes_seen;
}

/* Suspends the coroutine. Handles lost and silent workers, also before place_from_ms; after that time, also incomplete
 * gangs. */
static void workers_check(Scheduler *scheduler)
{
    void *mem = talloc_new(scheduler);
    lost_workers_declare(scheduler, mem);
    if (scheduler_decides(scheduler))
        silent_attempts_give_up(scheduler, mem);
    if (loop_now_ms(scheduler->loop) >= scheduler->place_from_ms && scheduler_decides(scheduler))
        gangs_repair(scheduler, mem);
    talloc_free(mem);
}

static void planner_main(void *arg)
{
    Scheduler *scheduler = arg;
    bool more = false;
    int64_t next_ms = 0;
    while (!loop_stopping(scheduler->loop)) {
        if (!more)
            signal_wait(scheduler->loop, &scheduler->wake, next_ms);
        loop_sleep(scheduler->loop, scheduler->pass_gap_ms > 0 ? scheduler->pass_gap_ms : PASS_GAP_MS);
        more = false;
        next_ms = loop_now_ms(scheduler->loop) + PLANNER_PASS_INTERVAL_MS;
        if (!scheduler_decides(scheduler))
            continue;
        workers_check(scheduler);
        if (loop_now_ms(scheduler->loop) >= scheduler->place_from_ms && scheduler_decides(scheduler))
            more = pass_run(scheduler, &next_ms);
        else if (scheduler->place_from_ms < next_ms)
            next_ms = scheduler->place_from_ms;
    }
}

void scheduler_start(Scheduler *scheduler)
{
    loop_spawn(scheduler->loop, "planner", planner_main, scheduler);
}
