/* Places one candidate of the ready queue: a task, or all members of a gang or none. */
#include "placement.h"

#include <string.h>
#include <talloc.h>

#include "assurance.h"
#include "pass_reservation.h"
#include "preemption.h"
#include "reservation.h"
#include "scheduler/checkpoint.h"
#include "worker_choice.h"

/* Decides one start. The members of a gang go on from the same checkpoint, under the same attempt number. */
static void place_add(Pass *pass, const Candidate *candidate, size_t member, size_t worker, uint64_t attempt,
                      const char *saved, bool assured)
{
    if (pass->places.placements_count == pass->place_capacity) {
        pass->place_capacity = pass->place_capacity ? pass->place_capacity * 2 : 32;
        pass->places.placements =
            talloc_realloc(pass->mem, pass->places.placements, Placement, (unsigned)pass->place_capacity);
        pass->placed = talloc_realloc(pass->mem, pass->placed, Placed, (unsigned)pass->place_capacity);
    }
    const LiveRow *row = liveset_find(pass->scheduler->liveset, pass->input.workers[worker].name);
    const size_t task = candidate_task(candidate, member);
    pass->placed[pass->placed_count++] = (Placed){candidate->job, task, worker};
    pass->places.placements[pass->places.placements_count++] = (Placement){
        .job = candidate->job->spec.id,
        .task = task_number(&candidate->job->tasks[task]),
        .attempt = attempt,
        .worker = pass->input.workers[worker].name,
        .incarnation = row != NULL ? row->incarnation : 0,
        .assured = assured,
        .saved = saved,
    };
}

/* Gives the capacity of the first count chosen workers back. */
static void take_back(Pass *pass, const StepSpec *step, const int *where, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        PlanWorker *worker = &pass->input.workers[where[i]];
        worker->free = resources_more(worker->free, step->resources);
        spread_add(pass, (size_t)where[i], -1);
    }
}

/* Chooses a worker for every member, on one rack when it is named. What is chosen is taken out of the free
 * capacity; nothing is unless all members find a worker. */
static bool choose_all(Pass *pass, const Candidate *candidate, const PlanNeed *need, bool *excluded, const char *rack,
                       int *where, uint64_t *percent)
{
    const StepSpec *step = &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
    *percent = 100;
    for (size_t i = 0; i < candidate->count; i++) {
        const int at = choose_for(pass, candidate->job, candidate_task(candidate, i), need, excluded, rack);
        if (at < 0) {
            take_back(pass, step, where, i);
            return false;
        }
        const uint64_t its = choose_far_percent(pass, step, (size_t)at);
        if (its > *percent)
            *percent = its;
        pass->input.workers[at].free = resources_less(pass->input.workers[at].free, step->resources);
        spread_add(pass, (size_t)at, 1);
        where[i] = at;
    }
    return true;
}

/* A gang that is faster on one rack tries each rack, that of its data first, then all workers together. */
static bool choose_racks(Pass *pass, const Candidate *candidate, const PlanNeed *need, bool *excluded, int *where,
                         uint64_t *percent)
{
    const StepSpec *step = &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
    if (candidate->count > 1 && step->same_rack) {
        if (step->near[0] != '\0' && choose_all(pass, candidate, need, excluded, step->near, where, percent))
            return true;
        for (size_t i = 0; i < pass->input.worker_count; i++) {
            const char *rack = pass->input.workers[i].rack;
            bool seen = rack[0] == '\0' || strcmp(rack, step->near) == 0;
            for (size_t k = 0; k < i && !seen; k++)
                seen = strcmp(pass->input.workers[k].rack, rack) == 0;
            if (!seen && choose_all(pass, candidate, need, excluded, rack, where, percent))
                return true;
        }
    }
    return choose_all(pass, candidate, need, excluded, NULL, where, percent);
}

/* Whether the r-loss plan still holds with the candidate on these workers. */
static bool assures(Pass *pass, const Candidate *candidate, const PlanNeed *need, const int *where)
{
    if (!pass->plan_required) /* the configuration names no loss: the result of the last check, made for status */
        return pass->scheduler->plan.possible;
    if (pass->checks >= pass->checks_max)
        return false;
    const size_t before = pass->input.task_count;
    for (size_t i = 0; i < candidate->count; i++)
        pass_task_add(pass, &candidate->job->spec, need, (size_t)where[i]);
    const bool survives = pass_survives_losses(pass);
    if (!survives)
        pass->input.task_count = before;
    return survives;
}

static void place_all(Pass *pass, const Candidate *candidate, const int *where, bool assured)
{
    uint64_t attempt = 0;
    const char *saved = "";
    for (size_t i = 0; i < candidate->count; i++) {
        const JobTask *task = &candidate->job->tasks[candidate_task(candidate, i)];
        if (task->attempt >= attempt)
            attempt = task->attempt + 1;
        /* the checkpoint of an attempt that was lost with its worker is known from heartbeats alone */
        const char *reported_checkpoint = task->attempt > 0 ? checkpoint_find(pass->scheduler, candidate->job->spec.id,
                                                                              task_number(task), task->attempt)
                                                            : "";
        if (saved[0] == '\0')
            saved = reported_checkpoint[0] != '\0' ? reported_checkpoint : task->saved;
    }
    for (size_t i = 0; i < candidate->count; i++) {
        place_add(pass, candidate, i, (size_t)where[i], attempt, saved, assured);
    }
    if (candidate->job->spec.protection == PROTECTION_PROTECTED && !assured)
        pass->scheduler->counts.unassured += candidate->count;
}

/* Whether as much capacity, or less, has found no worker in this pass. Free capacity only shrinks in a pass, so it
 * finds none now. */
static bool known_full(const Pass *pass, const PlanNeed *need)
{
    for (size_t i = 0; i < pass->full_count; i++)
        if (resources_fits(pass->full[i].resources, need->resources) && strcmp(pass->full[i].kind, need->kind) == 0)
            return true;
    return false;
}

static void full_add(Pass *pass, const Candidate *candidate, const StepSpec *step, const PlanNeed *need, bool reserved)
{
    /* a need with more constraints than capacity may fail where another finds a worker */
    if (reserved || step->apart > 0 || need->label_count > 0 || candidate->count > 1 || pass->full_count == FULL_MOST)
        return;
    pass->full[pass->full_count++] = *need;
}

bool place_one(Pass *pass, const Candidate *candidate)
{
    const JobSpec *spec = &candidate->job->spec;
    const uint64_t step_at = candidate->job->tasks[candidate->first].step;
    const StepSpec *step = &spec->steps[step_at];
    const PlanNeed need = pass_need(candidate->job, step_at);
    void *mem = talloc_new(pass->mem);
    int *where = talloc_array(mem, int, (unsigned)candidate->count);
    bool *excluded = talloc_zero_array(mem, bool, (unsigned)pass->input.worker_count);
    const bool reserved = reservation_exclude(pass, candidate, excluded), full = known_full(pass, &need);
    uint64_t percent = 100;
    const bool found = !full && choose_racks(pass, candidate, &need, excluded, where, &percent);
    bool fits = found, assured = false;
    if (!found) {
        if (!full)
            full_add(pass, candidate, step, &need, reserved);
        reserve_for(pass, candidate, &need, excluded);
        preempt_for(pass, candidate);
        reservation_want(pass, candidate, step);
    } else if (choose_waits(pass, candidate, step, &need, percent)) {
        fits = false;
    } else if (spec->protection == PROTECTION_PROTECTED) {
        assured = assures(pass, candidate, &need, where);
        /* work that no plan can include is started all the same after ASSURE_WAIT_MS, and restarts at once */
        if (!assured && pass->plan_required)
            fits = candidate->restart || pass->clock.log_ms - candidate->since_ms >= ASSURE_WAIT_MS;
    }
    if (fits)
        place_all(pass, candidate, where, assured);
    else if (found)
        take_back(pass, step, where, candidate->count);
    talloc_free(mem);
    return fits;
}
