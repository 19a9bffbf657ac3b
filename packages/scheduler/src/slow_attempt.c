/* Attempts that make no progress, or so little on their worker that a new one elsewhere would be done sooner, are
 * stopped: where another worker has capacity now, a few at a time, and never a slow one that meets its latency
 * target as it is. */
#include "slow_attempt.h"

#include <string.h>
#include <talloc.h>

#include "scheduler/attempt_progress.h"
#include "scheduler/worker_score.h"
#include "stop_list.h"
#include "worker_choice.h"
#include "settings/features.h"

#define STALLED_LEFT_MS 1e9 /* ms; an attempt without progress never ends */

/* A running attempt, as it should go on. */
typedef struct RunningAttempt {
    const Job *job;
    size_t task;
    size_t worker;
    double whole_ms; /* what all of its work should take on a healthy worker as near its data */
    bool stalled;
    double left_ms;    /* until it is done, at its present speed */
    double done_share; /* share of its work that another attempt need not do again */
} RunningAttempt;

static bool is_stalled(const Pass *pass, const AttemptProgress *progress, const RunningAttempt *running,
                       const StepSpec *step)
{
    if (progress == NULL || !progress_credible(pass->scheduler->progress_table))
        return false;
    const int64_t unchanged_ms = progress->ran_ms - progress->unchanged_ms;
    /* members of a gang wait for each other first */
    if (step->gang && progress->percent == 0 && progress->ran_ms < pass->scheduler->bounds->gang_ms + STILL_LEAST_MS)
        return false;
    return unchanged_ms >= STILL_LEAST_MS && (double)unchanged_ms * 100 >= running->whole_ms * STILL_PERCENT;
}

/* Slow members of gangs are left: to stop one loses the work of all, and all are as slow as the slowest, wherever
 * that one is. */
static bool of_gang(const RunningAttempt *running)
{
    return running->job->spec.steps[running->job->tasks[running->task].step].gang;
}

/* Fills running in; false: nothing is wrong with the attempt, or nothing is known of its progress. */
static bool running_check(const Pass *pass, const TaskOn *on, size_t worker, RunningAttempt *running)
{
    const Scheduler *scheduler = pass->scheduler;
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const StepSpec *step = &job->spec.steps[task->step];
    const int64_t estimate = estimate_ms(scheduler->estimates, job, task->step);
    if (task->phase != TASK_RUNNING || job->spec.lasting || job->ending != JOB_ACTIVE || estimate <= 0 ||
        task->attempt >= SLOW_ATTEMPTS_MOST)
        return false;
    const Worker *its = table_worker(scheduler->table, task->worker);
    const uint64_t far = its != NULL ? score_far_percent(scheduler, its, step) : 100;
    *running = (RunningAttempt){.job = job, .task = on->task, .worker = worker};
    running->whole_ms =
        (double)estimate * (double)far / 100 * (double)estimate_fleet_slowdown(scheduler->estimates) / 1000;
    const AttemptProgress *progress =
        progress_find(scheduler->progress_table, job->spec.id, task_number(task), task->attempt);
    if (progress == NULL)
        return false;
    running->stalled = is_stalled(pass, progress, running, step);
    running->done_share = step->saves ? (double)progress->percent / 100 : 0;
    if (running->stalled) {
        running->left_ms = STALLED_LEFT_MS;
    } else if (progress->per_ms > 0) {
        /* its speed says how much work it is, whatever was estimated */
        const double here_ms = 100 / progress->per_ms;
        running->whole_ms = here_ms * 1000 / (double)pass->slowdowns[worker];
        running->left_ms = (double)(100 - progress->percent) / progress->per_ms -
                           (double)(loop_now_ms(scheduler->loop) - progress->reported_ms);
    }
    return running->left_ms > running->whole_ms;
}

/* Whether the job meets its latency target though the attempt goes on as it does. */
static bool meets_target(const Pass *pass, const RunningAttempt *running)
{
    const Job *job = running->job;
    const JobTask *task = &job->tasks[running->task];
    LatencyTarget target;
    target_find(job, queue_due_ms(job, task->turn, pass->clock), pass->scheduler->estimates, (Resources){0}, &target);
    const int64_t slack_ms = target_slack_ms(&target, task->step, pass->clock.log_ms);
    return target.span_ms > 0 && (double)slack_ms + (double)target.task_ms[task->step] >= running->left_ms;
}

/* The index of another worker with capacity for it now, where it would be done sooner; -1: none. */
static int elsewhere(Pass *pass, const RunningAttempt *running)
{
    const int at = choose_elsewhere(pass, running->job, running->task, running->worker);
    if (at < 0)
        return -1;
    const double there_ms = running->whole_ms * (1 - running->done_share) * (double)pass->slowdowns[at] / 1000;
    return running->left_ms > there_ms * SLOW_GAIN + SLOW_COST_MS ? at : -1;
}

void slow_find(Pass *pass, StopList *list)
{
    if (!feature_on(pass->scheduler->bounds, FEATURE_RESTART_SLOW))
        return;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const TaskOn *on;
        const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            RunningAttempt running;
            if (!running_check(pass, &on[t], i, &running) ||
                (!running.stalled && (of_gang(&running) || meets_target(pass, &running))))
                continue;
            const int at = elsewhere(pass, &running);
            if (at >= 0 && stop_add(pass, list, running.job, running.task, at, STOPS_MOST) && running.stalled)
                score_stalled(pass->scheduler, pass->input.workers[i].name, running.job);
        }
    }
}
