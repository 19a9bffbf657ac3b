/* The cheap bound for large fleets: the bound of XenServer's HA design, extended so that it is also correct for workers
 * of different sizes.
 *
 * Two tasks are in one group when some worker suits both, or when a chain of such pairs links them; so groups never
 * compete for a worker. For each group:
 *
 *     - every task is assumed to be as big as the biggest one in every component;
 *     - the r workers with the most tasks of the group are lost;
 *     - the r workers with the most free slots are lost as well (they need not be the same
 *       workers: that is worse than any real loss);
 *     - only workers that suit every task of the group count.
 *
 * If the remaining slots hold the lost tasks, then whatever plan is followed, each time a task is to be placed some
 * worker still has a slot that it fits in: a placed task takes at most one slot, and no more tasks than the lost ones
 * are placed. Tasks that were placed on a worker that is lost later are already counted as lost. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "plan/plan.h"

/* Tasks that may compete for the same workers. */
typedef struct Group {
    bool *any;         /* by worker: it suits at least one task of the group */
    bool *all;         /* by worker: it suits every task of the group */
    Resources biggest; /* the largest demand of its tasks, component by component */
    uint64_t *lost;    /* by worker: number of the group's tasks on it */
} Group;

static int descending(const void *a, const void *b)
{
    const uint64_t one = *(const uint64_t *)a, other = *(const uint64_t *)b;
    return one > other ? -1 : one < other;
}

/* How many tasks of that size fit; UINT32_MAX when a task asks for nothing. */
static uint64_t slot_count(Resources free, Resources demand)
{
    const uint64_t cpu = demand.cpu_milli > 0 ? free.cpu_milli / demand.cpu_milli : UINT32_MAX;
    const uint64_t mem = demand.mem_mb > 0 ? free.mem_mb / demand.mem_mb : UINT32_MAX;
    const uint64_t gpu = demand.gpu > 0 ? free.gpu / demand.gpu : UINT32_MAX;
    const uint64_t least = cpu < mem ? cpu : mem;
    return least < gpu ? least : gpu;
}

/* Whether the remaining slots hold the lost tasks. */
static bool group_survives(const Group *group, const PlanInput *input, void *mem)
{
    const size_t n = input->worker_count;
    uint64_t *lost = talloc_memdup(mem, group->lost, n * sizeof(*lost));
    uint64_t *slots = talloc_zero_array(mem, uint64_t, (unsigned)n);
    for (size_t i = 0; i < n; i++)
        slots[i] = group->all[i] ? slot_count(input->workers[i].free, group->biggest) : 0;
    qsort(lost, n, sizeof(*lost), descending);
    qsort(slots, n, sizeof(*slots), descending);
    uint64_t needed = 0, remaining = 0;
    for (size_t i = 0; i < n; i++) {
        if (i < input->r)
            needed += lost[i];
        else
            remaining += slots[i];
    }
    return remaining >= needed;
}

/* A group of one task. */
static Group group_of(void *mem, const PlanInput *input, const PlanTask *task)
{
    const size_t n = input->worker_count;
    Group group = {talloc_zero_array(mem, bool, (unsigned)n), talloc_zero_array(mem, bool, (unsigned)n),
                   task->need.resources, talloc_zero_array(mem, uint64_t, (unsigned)n)};
    for (size_t i = 0; i < n; i++)
        group.any[i] = group.all[i] = plan_meets_constraints(&input->workers[i], &task->need);
    group.lost[task->worker] = 1;
    return group;
}

static bool groups_share(const Group *a, const Group *b, size_t workers)
{
    for (size_t i = 0; i < workers; i++)
        if (a->any[i] && b->any[i])
            return true;
    return false;
}

/* Merges other into group. */
static void group_merge(Group *group, const Group *other, size_t workers)
{
    for (size_t i = 0; i < workers; i++) {
        group->any[i] |= other->any[i];
        group->all[i] &= other->all[i];
        group->lost[i] += other->lost[i];
    }
    group->biggest = resources_max(group->biggest, other->biggest);
}

bool plan_cheap_bound(const PlanInput *input)
{
    const size_t n = input->worker_count;
    if (input->r == 0 || input->task_count == 0)
        return true;
    void *mem = talloc_new(NULL);
    Group *groups = talloc_zero_array(mem, Group, (unsigned)input->task_count);
    size_t count = 0;
    for (size_t t = 0; t < input->task_count; t++) {
        Group merged = group_of(mem, input, &input->tasks[t]);
        /* the task's group merges with every group that shares a worker with it */
        for (size_t g = 0; g < count;) {
            if (!groups_share(&merged, &groups[g], n)) {
                g++;
                continue;
            }
            group_merge(&merged, &groups[g], n);
            groups[g] = groups[--count];
        }
        groups[count++] = merged;
    }
    bool survives = true;
    for (size_t g = 0; g < count && survives; g++)
        survives = group_survives(&groups[g], input, mem);
    talloc_free(mem);
    return survives;
}
