/* The cheap bound for large fleets (the paper's, extended so that it is right for unlike machines too).
 *
 * Two tasks are in one group when some worker suits both, or when a chain of such pairs
 * links them; so groups never compete for a worker. Of each group:
 *  - every task is taken to be as big as the biggest in every part;
 *  - the r workers with the most tasks of the group are lost;
 *  - the r workers with the most free slots are lost as well (they need not be the
 *    same: that is worse than any real loss);
 *  - only workers that suit every task of the group count.
 * If the slots left hold the tasks lost, then whatever plan is followed, each
 * time a task is to be placed some worker still has a slot that it fits in: a
 * task placed takes at most one slot, and no more than all of them are placed.
 * Tasks placed on a worker that is lost later are lost ones already counted. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "plan/plan.h"

typedef struct Group {
    bool *any;         /* by worker: suits some task of the group */
    bool *all;         /* by worker: suits every task of the group */
    Resources biggest; /* demand, component by component, of its tasks */
    uint64_t *lost;    /* tasks of the group on each worker */
} Group;

static int descending(const void *a, const void *b)
{
    const uint64_t one = *(const uint64_t *)a, other = *(const uint64_t *)b;
    return one > other ? -1 : one < other;
}

/* How many tasks of that size fit; UINT32_MAX when they ask for nothing. */
static uint64_t slots_of(Resources free, Resources each)
{
    const uint64_t cpu = each.cpu_milli > 0 ? free.cpu_milli / each.cpu_milli : UINT32_MAX;
    const uint64_t mem = each.mem_mb > 0 ? free.mem_mb / each.mem_mb : UINT32_MAX;
    const uint64_t gpu = each.gpu > 0 ? free.gpu / each.gpu : UINT32_MAX;
    const uint64_t least = cpu < mem ? cpu : mem;
    return least < gpu ? least : gpu;
}

/* Whether the slots left hold the tasks lost. */
static bool group_survives(const Group *group, const PlanInput *input, void *mem)
{
    const size_t n = input->worker_count;
    uint64_t *lost = talloc_memdup(mem, group->lost, n * sizeof(*lost));
    uint64_t *slots = talloc_zero_array(mem, uint64_t, (unsigned)n);
    for (size_t i = 0; i < n; i++)
        slots[i] = group->all[i] ? slots_of(input->workers[i].free, group->biggest) : 0;
    qsort(lost, n, sizeof(*lost), descending);
    qsort(slots, n, sizeof(*slots), descending);
    uint64_t needed = 0, left = 0;
    for (size_t i = 0; i < n; i++) {
        if (i < input->r)
            needed += lost[i];
        else
            left += slots[i];
    }
    return left >= needed;
}

/* The group of one task alone. */
static Group group_of(void *mem, const PlanInput *input, const PlanTask *task)
{
    const size_t n = input->worker_count;
    Group group = {talloc_zero_array(mem, bool, (unsigned)n), talloc_zero_array(mem, bool, (unsigned)n),
                   task->need.resources, talloc_zero_array(mem, uint64_t, (unsigned)n)};
    for (size_t i = 0; i < n; i++)
        group.any[i] = group.all[i] = plan_able(&input->workers[i], &task->need);
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

/* Makes one group of two. */
static void group_take(Group *group, const Group *other, size_t workers)
{
    for (size_t i = 0; i < workers; i++) {
        group->any[i] |= other->any[i];
        group->all[i] &= other->all[i];
        group->lost[i] += other->lost[i];
    }
    group->biggest = resources_largest(group->biggest, other->biggest);
}

bool plan_cheap(const PlanInput *input)
{
    const size_t n = input->worker_count;
    if (input->r == 0 || input->task_count == 0)
        return true;
    void *mem = talloc_new(NULL);
    Group *groups = talloc_zero_array(mem, Group, (unsigned)input->task_count);
    size_t count = 0;
    for (size_t t = 0; t < input->task_count; t++) {
        Group mine = group_of(mem, input, &input->tasks[t]);
        /* joins every group that it shares a worker with */
        for (size_t g = 0; g < count;) {
            if (!groups_share(&mine, &groups[g], n)) {
                g++;
                continue;
            }
            group_take(&mine, &groups[g], n);
            groups[g] = groups[--count];
        }
        groups[count++] = mine;
    }
    bool survives = true;
    for (size_t g = 0; g < count && survives; g++)
        survives = group_survives(&groups[g], input, mem);
    talloc_free(mem);
    return survives;
}
