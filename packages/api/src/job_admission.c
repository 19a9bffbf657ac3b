/* Checks whether a parsed job can be admitted, by the configuration in force and the known workers. */
#include <string.h>
#include <talloc.h>

#include "api/job_json.h"
#include "plan/plan.h"

/* What the known workers could do for a step if they were idle. */
typedef struct StepFeasibility {
    bool able;      /* A worker is of the kind and has the labels */
    bool fits;      /* Such a worker also has the capacity */
    uint64_t slots; /* Number of the step's tasks that all workers together could run at the same time */
} StepFeasibility;

/* The number of tasks with this need that fit into the resources. */
static uint64_t tasks_that_fit(const Resources *resources, const Resources *need)
{
    const uint64_t cpu = need->cpu_milli ? resources->cpu_milli / need->cpu_milli : UINT32_MAX;
    const uint64_t mem = need->mem_mb ? resources->mem_mb / need->mem_mb : UINT32_MAX;
    const uint64_t gpu = need->gpu ? resources->gpu / need->gpu : UINT32_MAX;
    const uint64_t least = cpu < mem ? cpu : mem;
    return least < gpu ? least : gpu;
}

static StepFeasibility step_feasibility(const StepSpec *step, const Worker **workers, size_t count)
{
    const PlanNeed need = {step->resources, step->kind, step->labels, step->labels_count};
    StepFeasibility feasibility = {0};
    for (size_t w = 0; w < count; w++) {
        const PlanWorker worker = {.kind = workers[w]->kind,
                                   .labels = workers[w]->labels,
                                   .label_count = workers[w]->labels_count,
                                   .free = workers[w]->resources};
        feasibility.able |= plan_meets_constraints(&worker, &need);
        if (!plan_fits(&worker, &need))
            continue;
        feasibility.fits = true;
        feasibility.slots += tasks_that_fit(&worker.free, &need.resources);
    }
    return feasibility;
}

static void check_feasibility(Faults *faults, const JobSpec *spec, const Table *table)
{
    const Worker **workers;
    const size_t count = table_workers(table, faults->mem, &workers);
    if (count == 0)
        return; /* No worker is known yet, so nothing can be ruled out */
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        const StepFeasibility feasibility = step_feasibility(step, workers, count);
        if (!feasibility.able)
            fault_add(faults, STATUS_IMPOSSIBLE_KIND, talloc_asprintf(faults->mem, "steps[%zu].kind", i),
                      "no known worker is of this kind and has these labels");
        else if (!feasibility.fits)
            fault_add(faults, STATUS_IMPOSSIBLE_CAPACITY, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "no known worker has enough capacity");
        else if (step->gang && feasibility.slots < step->count)
            fault_add(faults, STATUS_IMPOSSIBLE_CAPACITY, talloc_asprintf(faults->mem, "steps[%zu].count", i),
                      "all known workers together lack the capacity for the whole gang");
    }
}

/* A task, or an entire gang, must fit into its tenant's quota; a component of 0 is unlimited. */
static void check_quota(Faults *faults, const JobSpec *spec, const ConfigTenant *tenant)
{
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        const uint64_t together = step->gang ? step->count : 1;
        if ((tenant->quota.cpu_milli > 0 && step->resources.cpu_milli * together > tenant->quota.cpu_milli) ||
            (tenant->quota.mem_mb > 0 && step->resources.mem_mb * together > tenant->quota.mem_mb) ||
            (tenant->quota.gpu > 0 && step->resources.gpu * together > tenant->quota.gpu))
            fault_add(faults, STATUS_OVER_QUOTA, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "exceeds the quota of tenant %s", spec->tenant);
    }
}

bool job_admissible(Faults *faults, const JobSpec *spec, const Config *config, const Table *table)
{
    const size_t before = faults->seen;
    const ConfigCell *cell = config_cell(config, spec->cell);
    if (cell == NULL) {
        fault_add(faults, STATUS_UNKNOWN_CELL, "cell", "there is no cell %s", spec->cell);
        return false;
    }
    const ConfigTenant *tenant = config_tenant(cell, spec->tenant);
    if (tenant == NULL)
        fault_add(faults, STATUS_UNKNOWN_TENANT, "tenant", "cell %s has no tenant %s", spec->cell, spec->tenant);
    if (config_queue(cell, spec->queue) == NULL)
        fault_add(faults, STATUS_UNKNOWN_QUEUE, "queue", "cell %s has no queue %s", spec->cell, spec->queue);
    if (tenant != NULL)
        check_quota(faults, spec, tenant);
    if (cell->strict)
        check_feasibility(faults, spec, table);
    return faults->seen == before;
}
