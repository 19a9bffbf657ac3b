/* Whether a job that was read can be admitted: by the configuration in force and by the
 * workers that are known. */
#include <string.h>
#include <talloc.h>

#include "api/job_json.h"
#include "plan/plan.h"

/* What the known workers could do for a step if they were idle. */
typedef struct StepChance {
    bool able;      /* one is of the kind and has the labels */
    bool fits;      /* ... and has the capacity */
    uint64_t slots; /* tasks of the step that all of them together could run at once */
} StepChance;

/* Tasks of a need that a capacity holds. */
static uint64_t slots_of(const Resources *resources, const Resources *need)
{
    const uint64_t cpu = need->cpu_milli ? resources->cpu_milli / need->cpu_milli : UINT32_MAX;
    const uint64_t mem = need->mem_mb ? resources->mem_mb / need->mem_mb : UINT32_MAX;
    const uint64_t gpu = need->gpu ? resources->gpu / need->gpu : UINT32_MAX;
    const uint64_t least = cpu < mem ? cpu : mem;
    return least < gpu ? least : gpu;
}

static StepChance chance_of(const StepSpec *step, const Worker **workers, size_t count)
{
    const PlanNeed need = {step->resources, step->kind, step->labels, step->labels_count};
    StepChance chance = {0};
    for (size_t w = 0; w < count; w++) {
        const PlanWorker worker = {.kind = workers[w]->kind,
                                   .labels = workers[w]->labels,
                                   .label_count = workers[w]->labels_count,
                                   .free = workers[w]->resources};
        chance.able |= plan_meets_constraints(&worker, &need);
        if (!plan_fits(&worker, &need))
            continue;
        chance.fits = true;
        chance.slots += slots_of(&worker.free, &need.resources);
    }
    return chance;
}

static void check_workers(Faults *faults, const JobSpec *spec, const Table *table)
{
    const Worker **workers;
    const size_t count = table_workers(table, faults->mem, &workers);
    if (count == 0)
        return; /* none has been heard of yet: nothing can be said */
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        const StepChance chance = chance_of(step, workers, count);
        if (!chance.able)
            fault_add(faults, STATUS_IMPOSSIBLE_KIND, talloc_asprintf(faults->mem, "steps[%zu].kind", i),
                      "no worker known is of this kind and has these labels");
        else if (!chance.fits)
            fault_add(faults, STATUS_IMPOSSIBLE_CAPACITY, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "no worker known has so much room");
        else if (step->gang && chance.slots < step->count)
            fault_add(faults, STATUS_IMPOSSIBLE_CAPACITY, talloc_asprintf(faults->mem, "steps[%zu].count", i),
                      "all workers known together have no room for the whole gang");
    }
}

/* A task, or a whole gang, must fit into its tenant's quota; 0: no quota. */
static void check_quota(Faults *faults, const JobSpec *spec, const ConfigTenant *tenant)
{
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        const uint64_t together = step->gang ? step->count : 1;
        if ((tenant->quota.cpu_milli > 0 && step->resources.cpu_milli * together > tenant->quota.cpu_milli) ||
            (tenant->quota.mem_mb > 0 && step->resources.mem_mb * together > tenant->quota.mem_mb) ||
            (tenant->quota.gpu > 0 && step->resources.gpu * together > tenant->quota.gpu))
            fault_add(faults, STATUS_OVER_QUOTA, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "is more than the quota of tenant %s", spec->tenant);
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
        check_workers(faults, spec, table);
    return faults->seen == before;
}
