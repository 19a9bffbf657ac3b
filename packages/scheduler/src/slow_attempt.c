/* Finds attempts to stop that make no progress, or so little that a new attempt on another worker would end sooner:
 * only where another worker has capacity now, a few at a time, and never a slow attempt whose job meets its latency
 * target anyway. */
#include "slow_attempt.h"

#include <string.h>
#include <talloc.h>

#include "scheduler/attempt_progress.h"
#include "scheduler/worker_score.h"
#include "stop_list.h"
#include "worker_choice.h"
#include "settings/features.h"

#define STALLED_LEFT_MS 1e9 /* remaining time assumed for a stalled attempt, in ms */

/* A running attempt, and how long it is expected to take. */
typedef struct RunningAttempt {
    const Job *job;
    size_t task;
    size_t worker;
    double whole_ms; /* expected run time of all of its work on a healthy worker at the same distance from its data */
    bool stalled;
    double left_ms;    /* expected remaining time, at its present speed */
    double done_share; /* share of its work that another attempt need not repeat */
} RunningAttempt;

/* Whether the attempt has made no progress for too long, by its reports. */
static bool is_stalled(const Pass *pass, const AttemptProgress *progress, const RunningAttempt *running,
                       const StepSpec *step)
{
    if (progress == NULL || !progress_credible(pass->scheduler->progress_table))
        return false;
    const int64_t unchanged_ms = progress->ran_ms - progress->unchanged_ms;
    /* members of a gang wait for each other first */
    if (step->gang && progress->percent == 0 &&
        progress->ran_ms < pass->scheduler->cluster_settings->gang_ms + STALLED_MIN_MS)
        return false;
    return unchanged_ms >= STALLED_MIN_MS && (double)unchanged_ms * 100 >= running->whole_ms * STALLED_PERCENT;
}

/* Slow members of gangs are not stopped: stopping one loses the work of all members, and all are as slow as the slowest
 * one, whichever that is. */
static bool is_gang_member(const RunningAttempt *running)
{
    return running->job->spec.steps[running->job->tasks[running->task].step].gang;
}

/* Fills running in; false: nothing is wrong with the attempt, or its progress is unknown. */
static bool running_attempt_assess(const Pass *pass, const TaskOnWorker *on, size_t worker, RunningAttempt *running)
{
    const Scheduler *scheduler = pass->scheduler;
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const StepSpec *step = &job->spec.steps[task->step];
    const int64_t estimate = estimate_ms(scheduler->estimates, job, task->step);
    if (task->phase != TASK_RUNNING || job->spec.lasting || job->ending != JOB_ACTIVE || estimate <= 0 ||
        task->attempt >= SLOW_ATTEMPTS_MAX)
        return false;
    const Worker *worker_row = table_worker(scheduler->table, task->worker);
    const uint64_t far_percent = worker_row != NULL ? score_far_percent(scheduler, worker_row, step) : 100;
    *running = (RunningAttempt){.job = job, .task = on->task, .worker = worker};
    running->whole_ms =
        (double)estimate * (double)far_percent / 100 * (double)estimate_fleet_slowdown(scheduler->estimates) / 1000;
    const AttemptProgress *progress =
        progress_find(scheduler->progress_table, job->spec.id, task_number(task), task->attempt);
    if (progress == NULL)
        return false;
    running->stalled = is_stalled(pass, progress, running, step);
    running->done_share = step->saves ? (double)progress->percent / 100 : 0;
    if (running->stalled) {
        running->left_ms = STALLED_LEFT_MS;
    } else if (progress->per_ms > 0) {
        /* the speed of the attempt shows how much work it has, whatever was estimated */
        const double here_ms = 100 / progress->per_ms;
        running->whole_ms = here_ms * 1000 / (double)pass->slowdowns[worker];
        running->left_ms = (double)(100 - progress->percent) / progress->per_ms -
                           (double)(loop_now_ms(scheduler->loop) - progress->reported_ms);
    }
    return running->left_ms > running->whole_ms;
}

/* Whether the job meets its latency target even if the attempt continues at its present speed. */
static bool meets_target(const Pass *pass, const RunningAttempt *running)
{
    const Job *job = running->job;
    const JobTask *task = &job->tasks[running->task];
    LatencyTarget target;
    target_compute(job, queue_due_ms(job, task->turn, pass->clock), pass->scheduler->estimates, (Resources){0},
                   &target);
    const int64_t slack_ms = target_slack_ms(&target, task->step, pass->clock.log_ms);
    return target.span_ms > 0 && (double)slack_ms + (double)target.task_ms[task->step] >= running->left_ms;
}

/* The index of another worker that has capacity for the attempt now and would end it sooner; -1: none. */
static int faster_worker(Pass *pass, const RunningAttempt *running)
{
    const int target_worker = choose_other_worker(pass, running->job, running->task, running->worker);
    if (target_worker < 0)
        return -1;
    const double there_ms =
        running->whole_ms * (1 - running->done_share) * (double)pass->slowdowns[target_worker] / 1000;
    return running->left_ms > there_ms * SLOW_RESTART_GAIN + SLOW_RESTART_COST_MS ? target_worker : -1;
}

void slow_attempts_find(Pass *pass, StopList *list)
{
    if (!feature_enabled(pass->scheduler->cluster_settings, FEATURE_RESTART_SLOW))
        return;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const TaskOnWorker *on;
        const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            RunningAttempt running;
            if (!running_attempt_assess(pass, &on[t], i, &running) ||
                (!running.stalled && (is_gang_member(&running) || meets_target(pass, &running))))
                continue;
            const int target_worker = faster_worker(pass, &running);
            if (target_worker >= 0 &&
                stop_list_add(pass, list, running.job, running.task, target_worker, SLOW_STOPS_MAX) && running.stalled)
                score_record_stall(pass->scheduler, pass->input.workers[i].name, running.job);
        }
    }
}
