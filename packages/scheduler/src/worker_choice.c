/* Chooses a worker for a task: the constraints, and the preferences among the workers that meet them.
 *
 * Constraints: capacity, kind, labels, spread (StepSpec.apart). Preferences: capacity left over, near the data, all
 * tasks of a step on one rack, a fast worker, a worker that does not fail its work, the tasks of a step together where
 * their job has a latency target, and, with all else equal, away from other tasks of the step.
 *
 * The tasks of a step with a latency target are placed together because such a job is in time only when its last task
 * is: of n workers of which f are cut off or slow, a step on k of them is delayed with a probability of about
 * 1 - (1 - f/n)^k. Each lasting task has its value independently of the others. */
#include "worker_choice.h"

#include <string.h>
#include <talloc.h>

#include "lost_worker.h"
#include "settings/features.h"

#define TIME_UNIT 1000 /* the run time on a healthy worker near the data, in thousandths */

void spread_add(Pass *pass, size_t at, int by)
{
    const PlanInput *input = &pass->input;
    const PlanWorker *target = &input->workers[at];
    pass->spread.on_worker[at] += by;
    for (size_t i = 0; i < input->worker_count; i++) {
        const PlanWorker *other = &input->workers[i];
        pass->spread.proximity[i] += by * (strcmp(other->zone, target->zone) == 0);
        if (other->rack[0] != '\0' && strcmp(other->rack, target->rack) == 0) {
            pass->spread.proximity[i] += by;
            pass->spread.on_rack[i] += by;
        }
    }
}

/* The step whose orphaned attempts are counted, and where. */
typedef struct OrphanCount {
    Pass *pass;
    const char *job;
    uint64_t first_number, end_number; /* numbers of the step's tasks */
    size_t worker;
} OrphanCount;

static void orphan_count_add(void *arg, const OrphanInfo *orphan)
{
    const OrphanCount *count = arg;
    if (orphan->task >= count->first_number && orphan->task < count->end_number && strcmp(orphan->job, count->job) == 0)
        spread_add(count->pass, count->worker, 1);
}

/* Counts attempts of the step's tasks that were given up and may still run. */
static void orphans_count(Pass *pass, const Job *job, size_t first_task, size_t end)
{
    OrphanCount count = {.pass = pass,
                         .job = job->spec.id,
                         .first_number = task_number(&job->tasks[first_task]),
                         .end_number = task_number(&job->tasks[end - 1]) + 1};
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        count.worker = i;
        if (!worker_lease_ended(pass->scheduler, pass->input.workers[i].name))
            orphans_each(pass->scheduler->orphans, pass->input.workers[i].name, orphan_count_add, &count);
    }
}

/* Computes where the other tasks of the step run, or may still run, unless pass->spread describes the same step
 * already: the ready queue returns the tasks of a step one after another. */
void spread_find(Pass *pass, const Job *job, size_t task)
{
    StepSpread *spread = &pass->spread;
    const size_t first_task = task_first_of_step(job, &job->tasks[task]);
    const size_t end = first_task + (size_t)job->spec.steps[job->tasks[task].step].count;
    if (spread->job == job && spread->first_task == first_task)
        return;
    const size_t count = pass->input.worker_count;
    if (spread->proximity == NULL) {
        spread->proximity = talloc_array(pass->mem, int, (unsigned)count);
        spread->on_worker = talloc_array(pass->mem, int, (unsigned)count);
        spread->on_rack = talloc_array(pass->mem, int, (unsigned)count);
    }
    memset(spread->proximity, 0, count * sizeof(int));
    memset(spread->on_worker, 0, count * sizeof(int));
    memset(spread->on_rack, 0, count * sizeof(int));
    spread->job = job;
    spread->first_task = first_task;
    for (size_t t = first_task; t < end; t++) {
        const size_t at =
            task_on_worker(job->tasks[t].phase) ? pass_worker_index(pass, job->tasks[t].worker) : SIZE_MAX;
        if (at != SIZE_MAX)
            spread_add(pass, at, 1);
    }
    if (job->spec.steps[job->tasks[task].step].apart > 0)
        orphans_count(pass, job, first_task, end);
    /* also count the starts of this pass: most of a step is placed in one pass */
    for (size_t i = 0; i < pass->start_count; i++)
        if (pass->starts[i].job == job && pass->starts[i].task >= first_task && pass->starts[i].task < end)
            spread_add(pass, pass->starts[i].worker, 1);
}

/* Whether the worker meets all constraints. */
static bool allowed(const Pass *pass, const StepSpec *step, const PlanNeed *need, const bool *excluded, size_t at)
{
    return !excluded[at] && (step->apart == 0 || (uint64_t)pass->spread.on_worker[at] < step->apart) &&
           plan_fits(&pass->input.workers[at], need);
}

/* Whether other tasks of the step are on workers, none of them on this worker's rack. */
static bool leaves_rack(const Pass *pass, const StepSpec *step, size_t at)
{
    if (!step->same_rack || pass->spread.on_rack[at] > 0)
        return false;
    for (size_t i = 0; i < pass->input.worker_count; i++)
        if (pass->spread.on_worker[i] > 0)
            return true;
    return false;
}

uint64_t choose_time_percent(const Pass *pass, const StepSpec *step, size_t at)
{
    const uint64_t far = (uint64_t)pass->scheduler->cluster_settings->far_percent;
    uint64_t percent = 100;
    if (!feature_enabled(pass->scheduler->cluster_settings, FEATURE_AFFINITY))
        return percent;
    if (step->near[0] != '\0' && strcmp(step->near, pass->input.workers[at].rack) != 0)
        percent = percent * far / 100;
    if (leaves_rack(pass, step, at))
        percent = percent * far / 100;
    return percent;
}

/* Whether the tasks of the job's steps are placed together, since the job is in time only when its last task is. Where
 * the configuration names losses that each start must leave a plan for, spreading is preferred: less has to be
 * restarted at the same time. */
static bool prefers_together(const Pass *pass, const Job *job)
{
    return feature_enabled(pass->scheduler->cluster_settings, FEATURE_TOGETHER) && !pass->plan_required &&
           !job->spec.lasting && (job->terms.stretch_milli > 0 || job->terms.target_ms > 0);
}

/* The preference for the worker, in thousandths of a worker's capacity; the highest is chosen. */
static int64_t worker_preference(const Pass *pass, const StepSpec *step, const PlanNeed *need, size_t at)
{
    const PlanWorker *worker = &pass->input.workers[at];
    const int64_t left = (int64_t)plan_free_share(worker, pass->largest);
    const int64_t extra_time = (int64_t)(pass->slowdowns[at] * choose_time_percent(pass, step, at) / 100) - TIME_UNIT;
    int64_t preference = left - (int64_t)worker->penalty - extra_time * CHOICE_SLOWDOWN_WEIGHT;
    if (need->resources.gpu == 0 && worker->resources.gpu > 0)
        preference -= CHOICE_GPU_COST;
    if (pass->spread.on_worker[at] > 0 && prefers_together(pass, pass->spread.job))
        preference += CHOICE_TOGETHER_GAIN;
    return preference;
}

/* The index of the allowed worker with the highest preference, on the given rack unless that is null; -1: none. Of
 * equals, the one with fewer other tasks of the step nearby, then the first by name. */
static int best_worker(const Pass *pass, const StepSpec *step, const PlanNeed *need, const bool *excluded,
                       const char *rack)
{
    int best = -1;
    int64_t best_preference = 0;
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        if ((rack != NULL && strcmp(pass->input.workers[i].rack, rack) != 0) || !allowed(pass, step, need, excluded, i))
            continue;
        const int64_t preference = worker_preference(pass, step, need, i);
        const bool farther =
            best >= 0 && preference == best_preference && pass->spread.proximity[i] < pass->spread.proximity[best];
        if (best < 0 || preference > best_preference || farther) {
            best = (int)i;
            best_preference = preference;
        }
    }
    return best;
}

int choose_worker(Pass *pass, const Job *job, size_t task, const PlanNeed *need, bool *excluded, const char *rack)
{
    const StepSpec *step = &job->spec.steps[job->tasks[task].step];
    const size_t shunned =
        job->tasks[task].shunned[0] != '\0' ? pass_worker_index(pass, job->tasks[task].shunned) : SIZE_MAX;
    spread_find(pass, job, task);
    int at = -1;
    if (shunned != SIZE_MAX && !excluded[shunned]) {
        excluded[shunned] = true;
        at = best_worker(pass, step, need, excluded, rack);
        excluded[shunned] = false;
    }
    return at >= 0 ? at : best_worker(pass, step, need, excluded, rack);
}

int choose_other_worker(Pass *pass, const Job *job, size_t task, size_t worker)
{
    const PlanNeed need = pass_need(job, job->tasks[task].step);
    bool *excluded = talloc_zero_array(pass->mem, bool, (unsigned)pass->input.worker_count);
    excluded[worker] = true;
    const int at = choose_worker(pass, job, task, &need, excluded, NULL);
    talloc_free(excluded);
    return at;
}

bool should_wait_for_locality(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need,
                              uint64_t percent)
{
    if (percent <= 100 || candidate->restart)
        return false;
    /* wait for half of what the distance would cost, and at most half of the slack */
    int64_t wait_ms = candidate->estimate_ms * (int64_t)(percent - 100) / 200;
    if (candidate->slack_ms < INT64_MAX && candidate->slack_ms / 2 < wait_ms)
        wait_ms = candidate->slack_ms / 2;
    if (wait_ms > LOCALITY_WAIT_MS)
        wait_ms = LOCALITY_WAIT_MS;
    const int64_t until_ms = candidate->since_ms + wait_ms;
    if (pass->clock.log_ms >= until_ms)
        return false;
    bool near = step->near[0] == '\0';
    for (size_t i = 0; i < pass->input.worker_count && !near; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        near = strcmp(worker->rack, step->near) == 0 && plan_meets_constraints(worker, need) &&
               resources_fits(need->resources, worker->resources);
    }
    if (near && until_ms < pass->next_ms)
        pass->next_ms = until_ms;
    return near;
}
