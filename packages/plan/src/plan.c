/* A single plan: which worker suits a task, and where the tasks of lost workers go. */
#include "plan/plan.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

bool plan_meets_constraints(const PlanWorker *worker, const PlanNeed *need)
{
    if (need->kind[0] != '\0' && strcmp(need->kind, worker->kind) != 0)
        return false;
    for (size_t i = 0; i < need->label_count; i++) {
        bool has = false;
        for (size_t k = 0; k < worker->label_count && !has; k++)
            has = strcmp(need->labels[i], worker->labels[k]) == 0;
        if (!has)
            return false;
    }
    return true;
}

bool plan_fits(const PlanWorker *worker, const PlanNeed *need)
{
    return resources_fits(need->resources, worker->free) && plan_meets_constraints(worker, need);
}

uint64_t plan_free_share(const PlanWorker *worker, Resources largest)
{
    const Resources free = worker->free;
    const uint64_t cpu = largest.cpu_milli > 0 ? free.cpu_milli * 1000 / largest.cpu_milli : 0;
    const uint64_t mem = largest.mem_mb > 0 ? free.mem_mb * 1000 / largest.mem_mb : 0;
    return cpu < mem ? cpu : mem;
}

Resources plan_largest(const PlanWorker *workers, size_t count)
{
    Resources largest = {0};
    for (size_t i = 0; i < count; i++)
        largest = resources_max(largest, workers[i].resources);
    return largest;
}

/* Like plan_choose; largest is plan_largest of all workers. */
static int choose_worker(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost,
                         Resources largest)
{
    int best = -1;
    uint64_t best_left = 0;
    for (size_t i = 0; i < count; i++) {
        if ((lost != NULL && lost[i]) || !plan_fits(&workers[i], need))
            continue;
        uint64_t left = plan_free_share(&workers[i], largest);
        left = left > workers[i].penalty ? left - workers[i].penalty : 0;
        if (best < 0 || left > best_left) {
            best = (int)i;
            best_left = left;
        }
    }
    return best;
}

int plan_choose(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost)
{
    return choose_worker(workers, count, need, lost, plan_largest(workers, count));
}

/* The first worker where the task fits into the free capacity plus what its cell may preempt there; -1: none. Subtracts
 * from preemptible what the free capacity lacks. */
static int choose_preempting(PlanInput *input, const PlanTask *task, const bool *lost)
{
    if (task->cell == PLAN_NO_CELL || input->preemptible == NULL)
        return -1;
    Resources *preemptible = &input->preemptible[task->cell * input->worker_count];
    for (size_t i = 0; i < input->worker_count; i++) {
        PlanWorker *worker = &input->workers[i];
        const Resources resources = resources_add(worker->free, preemptible[i]);
        if (lost[i] || !resources_fits(task->need.resources, resources) || !plan_meets_constraints(worker, &task->need))
            continue;
        preemptible[i] = resources_subtract(preemptible[i], resources_subtract(task->need.resources, worker->free));
        return (int)i;
    }
    return -1;
}

/* A task, with the share of the largest worker that it needs. */
typedef struct SizedTask {
    size_t task;    /* index in the input's tasks */
    uint64_t share; /* thousandths */
} SizedTask;

/* Biggest first; tasks of equal size by index, so that the result does not depend on the sorting algorithm. */
static int sized_order(const void *a, const void *b)
{
    const SizedTask *one = a, *other = b;
    if (one->share != other->share)
        return one->share > other->share ? -1 : 1;
    return one->task < other->task ? -1 : one->task > other->task;
}

bool plan_for_loss(PlanInput *input, const bool *lost, int *where)
{
    const Resources largest = plan_largest(input->workers, input->worker_count);
    SizedTask *sized = talloc_array(NULL, SizedTask, (unsigned)input->task_count);
    size_t count = 0;
    for (size_t i = 0; i < input->task_count; i++) {
        assert(input->tasks[i].worker < input->worker_count);
        if (lost[input->tasks[i].worker])
            sized[count++] = (SizedTask){i, resources_share(input->tasks[i].need.resources, largest)};
    }
    qsort(sized, count, sizeof(*sized), sized_order);
    bool all = true;
    for (size_t i = 0; i < count && all; i++) {
        const PlanTask *task = &input->tasks[sized[i].task];
        int at = choose_worker(input->workers, input->worker_count, &task->need, lost, largest);
        if (at < 0)
            at = choose_preempting(input, task, lost);
        where[sized[i].task] = at;
        all = at >= 0;
        if (all)
            input->workers[at].free = resources_subtract(input->workers[at].free, task->need.resources);
    }
    talloc_free(sized);
    return all;
}
