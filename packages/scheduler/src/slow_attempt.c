/* Attempts that make no progress, or so little on their worker that another would be done sooner, are stopped
 * and started again elsewhere: where another worker has capacity now, a few at a time, and never one that meets
 * its latency target as it is. */
#include "slow_attempt.h"

#include <string.h>
#include <talloc.h>

#include "scheduler/attempt_pace.h"
#include "scheduler/worker_score.h"
#include "stop_list.h"
#include "worker_choice.h"

#define STANDS_MS 1e9 /* ms; an attempt without progress never ends */

/* A running attempt; times in ms from now. */
typedef struct Going {
    const Job *job;
    size_t task;
    size_t worker;
    double whole_ms; /* what all of its work should take in such a place on a sound worker */
    bool still;
    double left_ms;    /* until it is done, at its present pace */
    double done_share; /* share of its work that another attempt need not do again */
} Going;

static bool stands_still(const Pass *pass, const Pace *pace, const Going *going, const StepSpec *step)
{
    if (pace == NULL || !paces_credible(pass->scheduler->paces))
        return false;
    const int64_t still_ms = pace->ran_ms - pace->still_ms;
    /* members of a gang wait for each other first */
    if (step->gang && pace->percent == 0 && pace->ran_ms < pass->scheduler->bounds->gang_ms + STILL_LEAST_MS)
        return false;
    return still_ms >= STILL_LEAST_MS && (double)still_ms * 100 >= going->whole_ms * STILL_PERCENT;
}

/* A member that is started elsewhere breaks its gang: the work of all the others is lost as well, and they all
 * are as slow as the slowest, wherever that is. */
static bool of_gang(const Going *going)
{
    return going->job->spec.steps[going->job->tasks[going->task].step].gang;
}

/* Its progress; false: there is no sign of trouble. */
static bool going_find(const Pass *pass, const TaskOn *on, size_t worker, Going *going)
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
    *going = (Going){.job = job, .task = on->task, .worker = worker};
    going->whole_ms = (double)estimate * (double)far / 100 * (double)estimate_pace(scheduler->estimates) / 1000;
    const Pace *pace = pace_find(scheduler->paces, job->spec.id, task_number(task), task->attempt);
    if (pace == NULL)
        return false;
    going->still = stands_still(pass, pace, going, step);
    going->done_share = step->saves ? (double)pace->percent / 100 : 0;
    if (going->still) {
        going->left_ms = STANDS_MS;
    } else if (pace->per_ms > 0) {
        /* its pace says how much work it is, whatever was estimated */
        const double here_ms = 100 / pace->per_ms;
        going->whole_ms = here_ms * 1000 / (double)pass->speeds[worker];
        going->left_ms =
            (double)(100 - pace->percent) / pace->per_ms - (double)(loop_now_ms(scheduler->loop) - pace->told_ms);
    }
    return going->left_ms > going->whole_ms;
}

/* Whether the job meets its latency target though the attempt goes on as it does. */
static bool meets_target(const Pass *pass, const Going *going)
{
    const Job *job = going->job;
    const JobTask *task = &job->tasks[going->task];
    LatencyTarget target;
    target_find(job, queue_due_ms(job, task->turn, pass->clock), pass->scheduler->estimates, (Resources){0}, &target);
    const int64_t slack_ms = target_slack_ms(&target, task->step, pass->clock.log_ms);
    return target.span_ms > 0 && (double)slack_ms + (double)target.task_ms[task->step] >= going->left_ms;
}

/* Another worker with capacity for it now; -1: none, or none that would be done sooner. */
static int elsewhere(Pass *pass, const Going *going)
{
    const int at = choose_elsewhere(pass, going->job, going->task, going->worker);
    if (at < 0)
        return -1;
    const double there_ms = going->whole_ms * (1 - going->done_share) * (double)pass->speeds[at] / 1000;
    return going->left_ms > there_ms * SLOW_GAIN + SLOW_COST_MS ? at : -1;
}

void slow_find(Pass *pass, StopList *list)
{
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const TaskOn *on;
        const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            Going going;
            if (!going_find(pass, &on[t], i, &going) ||
                (!going.still && (of_gang(&going) || meets_target(pass, &going))))
                continue;
            const int at = elsewhere(pass, &going);
            if (at >= 0 && stop_add(pass, list, going.job, going.task, at, STOPS_MOST) && going.still)
                score_still(pass->scheduler, pass->input.workers[i].name, going.job);
        }
    }
}
