/* Places one candidate of the ready queue: a task, or either all members of a gang or none. */
#include "placement.h"

#include <string.h>
#include <talloc.h>

#include "assurance.h"
#include "pass_reservation.h"
#include "preemption.h"
#include "reservation.h"
#include "scheduler/checkpoint.h"
#include "withheld.h"
#include "worker_choice.h"

/* Adds one start to the pass. The members of a gang resume from the same checkpoint, under the same attempt number. */
static void start_add(Pass *pass, const Candidate *candidate, size_t member, size_t worker, uint64_t attempt,
                      const char *checkpoint, bool assured)
{
    if (pass->places.placements_count == pass->place_capacity) {
        pass->place_capacity = pass->place_capacity ? pass->place_capacity * 2 : 32;
        pass->places.placements =
            talloc_realloc(pass->mem, pass->places.placements, Placement, (unsigned)pass->place_capacity);
        pass->starts = talloc_realloc(pass->mem, pass->starts, PlannedStart, (unsigned)pass->place_capacity);
    }
    const LiveRow *row = liveset_find(pass->scheduler->liveset, pass->input.workers[worker].name);
    const size_t task = candidate_task(candidate, member);
    pass->starts[pass->start_count++] = (PlannedStart){candidate->job, task, worker};
    pass->places.placements[pass->places.placements_count++] = (Placement){
        .job = candidate->job->spec.id,
        .task = task_number(&candidate->job->tasks[task]),
        .attempt = attempt,
        .worker = pass->input.workers[worker].name,
        .incarnation = row != NULL ? row->incarnation : 0,
        .assured = assured,
        .saved = checkpoint,
    };
}

/* Returns the capacity of the first count chosen workers. */
static void capacity_return(Pass *pass, const StepSpec *step, const int *where, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        PlanWorker *worker = &pass->input.workers[where[i]];
        worker->free = resources_add(worker->free, step->resources);
        spread_add(pass, (size_t)where[i], -1);
    }
}

/* Chooses a worker for every member, on the given rack unless that is null. The chosen capacity is taken out of the
 * free capacity; none is taken unless all members find a worker. where (out): the workers' indices. percent (out): the
 * slowest member's run time, in percent of the time near its data and the other members. */
static bool choose_members(Pass *pass, const Candidate *candidate, const PlanNeed *need, bool *excluded,
                           const char *rack, int *where, uint64_t *percent)
{
    const StepSpec *step = &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
    *percent = 100;
    for (size_t i = 0; i < candidate->count; i++) {
        const int at = choose_worker(pass, candidate->job, candidate_task(candidate, i), need, excluded, rack);
        if (at < 0) {
            capacity_return(pass, step, where, i);
            return false;
        }
        const uint64_t member_percent = choose_time_percent(pass, step, (size_t)at);
        if (member_percent > *percent)
            *percent = member_percent;
        pass->input.workers[at].free = resources_subtract(pass->input.workers[at].free, step->resources);
        spread_add(pass, (size_t)at, 1);
        where[i] = at;
    }
    return true;
}

/* For a gang that is faster on one rack, tries each rack by itself, the rack of its data first, and then all workers
 * together. */
static bool choose_by_rack(Pass *pass, const Candidate *candidate, const PlanNeed *need, bool *excluded, int *where,
                           uint64_t *percent)
{
    const StepSpec *step = &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
    if (candidate->count > 1 && step->same_rack) {
        if (step->near[0] != '\0' && choose_members(pass, candidate, need, excluded, step->near, where, percent))
            return true;
        for (size_t i = 0; i < pass->input.worker_count; i++) {
            const char *rack = pass->input.workers[i].rack;
            bool seen = rack[0] == '\0' || strcmp(rack, step->near) == 0;
            for (size_t k = 0; k < i && !seen; k++)
                seen = strcmp(pass->input.workers[k].rack, rack) == 0;
            if (!seen && choose_members(pass, candidate, need, excluded, rack, where, percent))
                return true;
        }
    }
    return choose_members(pass, candidate, need, excluded, NULL, where, percent);
}

/* Tries again with the capacity that gives way to the candidate; withheld_end must follow once its starts are decided.
 */
static bool choose_withheld(Pass *pass, const Candidate *candidate, const PlanNeed *need, bool *excluded, int *where,
                            uint64_t *percent)
{
    const Withheld given = withheld_admit(pass, candidate, need, excluded);
    if (given == WITHHELD_NONE)
        return false;
    bool *none = talloc_zero_array(pass->mem, bool, (unsigned)pass->input.worker_count);
    const bool found = choose_by_rack(pass, candidate, need, given == WITHHELD_ALL ? none : excluded, where, percent);
    talloc_free(none);
    if (!found)
        withheld_end(pass);
    return found;
}

/* Whether the r-loss plan still holds with the candidate on these workers. */
static bool plan_includes(Pass *pass, const Candidate *candidate, const PlanNeed *need, const int *where)
{
    /* the configuration names no loss: use the result of the last check, which was made for the status */
    if (!pass->plan_required)
        return pass->scheduler->plan.possible;
    if (pass->checks >= pass->checks_max)
        return false;
    const size_t before = pass->input.task_count;
    for (size_t i = 0; i < candidate->count; i++)
        pass_assured_task_add(pass, &candidate->job->spec, need, (size_t)where[i]);
    const bool survives = pass_survives_losses(pass);
    if (!survives)
        pass->input.task_count = before;
    return survives;
}

/* Adds the starts of all tasks of the candidate to the pass, on the workers with these indices. */
static void starts_add(Pass *pass, const Candidate *candidate, const int *where, bool assured)
{
    uint64_t attempt = 0;
    const char *checkpoint = "";
    for (size_t i = 0; i < candidate->count; i++) {
        const JobTask *task = &candidate->job->tasks[candidate_task(candidate, i)];
        if (task->attempt >= attempt)
            attempt = task->attempt + 1;
        /* the checkpoint of an attempt that was lost with its worker is known from heartbeats only */
        const char *reported_checkpoint = task->attempt > 0 ? checkpoint_find(pass->scheduler, candidate->job->spec.id,
                                                                              task_number(task), task->attempt)
                                                            : "";
        if (checkpoint[0] == '\0')
            checkpoint = reported_checkpoint[0] != '\0' ? reported_checkpoint : task->saved;
    }
    for (size_t i = 0; i < candidate->count; i++) {
        start_add(pass, candidate, i, (size_t)where[i], attempt, checkpoint, assured);
    }
    if (candidate->job->spec.protection == PROTECTION_PROTECTED && !assured)
        pass->scheduler->counts.unassured += candidate->count;
}

/* Whether a need for the same capacity or less has found no worker in this pass. Free capacity only shrinks during a
 * pass, so this need finds none either. */
static bool known_unmet(const Pass *pass, const PlanNeed *need)
{
    for (size_t i = 0; i < pass->unmet_count; i++)
        if (resources_fits(pass->unmet[i].resources, need->resources) && strcmp(pass->unmet[i].kind, need->kind) == 0)
            return true;
    return false;
}

/* Remembers that the need found no worker, unless another reason than its capacity may be the cause. */
static void unmet_add(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need, bool reserved)
{
    /* a need with constraints besides its capacity may fail where a larger need finds a worker */
    if (reserved || step->apart > 0 || need->label_count > 0 || candidate->count > 1 ||
        pass->unmet_count == UNMET_NEEDS_MAX)
        return;
    pass->unmet[pass->unmet_count++] = *need;
}

bool place_candidate(Pass *pass, const Candidate *candidate)
{
    const JobSpec *spec = &candidate->job->spec;
    const uint64_t step_at = candidate->job->tasks[candidate->first].step;
    const StepSpec *step = &spec->steps[step_at];
    const PlanNeed need = pass_need(candidate->job, step_at);
    void *mem = talloc_new(pass->mem);
    int *where = talloc_array(mem, int, (unsigned)candidate->count);
    bool *excluded = talloc_zero_array(mem, bool, (unsigned)pass->input.worker_count);
    const bool reserved = reservation_exclude(pass, candidate, excluded);
    const bool unmet = known_unmet(pass, &need);
    uint64_t percent = 100;
    const bool found = (!unmet && choose_by_rack(pass, candidate, &need, excluded, where, &percent)) ||
                       choose_withheld(pass, candidate, &need, excluded, where, &percent);
    bool fits = found, assured = false;
    if (!found) {
        if (!unmet)
            unmet_add(pass, candidate, step, &need, reserved);
        pass_reserve(pass, candidate, &need, excluded);
        preempt_for_candidate(pass, candidate);
        reservation_make(pass, candidate, step);
    } else if (should_wait_for_locality(pass, candidate, step, &need, percent)) {
        fits = false;
    } else if (spec->protection == PROTECTION_PROTECTED) {
        assured = plan_includes(pass, candidate, &need, where);
        /* protected work that the plan can't include starts nevertheless after PROTECTED_START_WAIT_MS, and restarts
         * immediately */
        if (!assured && pass->plan_required)
            fits = candidate->restart || pass->clock.log_ms - candidate->since_ms >= PROTECTED_START_WAIT_MS;
    }
    if (fits)
        starts_add(pass, candidate, where, assured);
    else if (found)
        capacity_return(pass, step, where, candidate->count);
    withheld_end(pass);
    talloc_free(mem);
    return fits;
}
