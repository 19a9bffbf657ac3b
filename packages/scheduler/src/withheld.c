/* Withheld capacity, and when it gives way. */
#include "withheld.h"

#include <string.h>

#include "capacity_forecast.h"

/* Below this share of use, no work may stand still beside capacity that it fits into. The rule is a half; the rest is
 * for attempts that have ended and are not reported yet. */
#define FREE_FLEET_PERCENT 60

/* The smaller of both amounts, component by component. */
static Resources resources_min(Resources a, Resources b)
{
    return resources_subtract(a, resources_subtract(a, b));
}

void withheld_eject(Pass *pass, size_t worker)
{
    PlanWorker *row = &pass->input.workers[worker];
    if (row->resources.cpu_milli == 0)
        return;
    pass->ejected[worker] = row->resources;
    pass->withheld[worker] = row->free;
    pass->ejected_count++;
    row->resources = row->free = (Resources){0};
}

void withheld_reserve(Pass *pass, size_t worker, Resources resources)
{
    PlanWorker *row = &pass->input.workers[worker];
    const Resources taken = resources_min(resources, row->free);
    row->free = resources_subtract(row->free, taken);
    pass->withheld[worker] = resources_add(pass->withheld[worker], taken);
}

/* --- whether other workers can run it soon ---------------------------------------------------- */

/* The number of the candidate's members that can be on the worker once what ends within a first ejection has ended. */
static size_t members_soon(const Pass *pass, const Candidate *candidate, const PlanNeed *need, size_t worker)
{
    const JobTask *first = &candidate->job->tasks[candidate->first];
    const StepSpec *step = &candidate->job->spec.steps[first->step];
    size_t limit = candidate->count, count = 0;
    if (step->apart > 0) {
        const size_t staying =
            forecast_staying_tasks(pass, worker, candidate->job, first->step, first->turn, EJECTION_MIN_MS);
        const size_t places = step->apart > staying ? (size_t)step->apart - staying : 0;
        limit = places < limit ? places : limit;
    }
    Resources resources = forecast_capacity(pass, worker, EJECTION_MIN_MS);
    for (; count < limit && resources_fits(need->resources, resources); count++)
        resources = resources_subtract(resources, need->resources);
    return count;
}

/* Whether all members of the candidate can soon be on workers that are neither ejected nor reserved for others. */
static bool fits_elsewhere_soon(const Pass *pass, const Candidate *candidate, const PlanNeed *need,
                                const bool *excluded)
{
    size_t members = 0;
    for (size_t i = 0; i < pass->input.worker_count && members < candidate->count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (!excluded[i] && resources_fits(need->resources, worker->resources) && plan_meets_constraints(worker, need))
            members += members_soon(pass, candidate, need, i);
    }
    return members >= candidate->count;
}

/* --- whether its job stands still -------------------------------------------------------------- */

/* Whether the workers of this kind (empty: all) have much free capacity, ejected ones included. The result for the last
 * kind that was asked for is kept: starts of this pass matter little. */
static bool fleet_has_capacity(Pass *pass, const char *kind)
{
    if (pass->free_kind != NULL && strcmp(pass->free_kind, kind) == 0)
        return pass->free_fleet;
    Resources all = {0}, used = {0};
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (kind[0] != '\0' && strcmp(worker->kind, kind) != 0)
            continue;
        const Resources whole = resources_max(worker->resources, pass->ejected[i]);
        all = resources_add(all, whole);
        used = resources_add(used, resources_subtract(whole, resources_add(worker->free, pass->withheld[i])));
    }
    pass->free_kind = kind;
    pass->free_fleet = resources_scaled_share(used, all, 100) < FREE_FLEET_PERCENT;
    return pass->free_fleet;
}

/* Whether no task of the candidate's job is on a worker, or will be by a start of this pass. Each lasting task counts
 * by itself. */
static bool stands_still(const Pass *pass, const Candidate *candidate)
{
    const Job *job = candidate->job;
    if (job->spec.lasting)
        return true;
    if (job->sums.open > job->sums.waiting)
        return false;
    for (size_t i = 0; i < pass->start_count; i++)
        if (pass->starts[i].job == job)
            return false;
    return true;
}

/* --- admission ----------------------------------------------------------------------------------- */

/* Whether a worker of which capacity is withheld could run the candidate. */
static bool withheld_meets(const Pass *pass, const PlanNeed *need, const bool *excluded)
{
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const PlanWorker *worker = &pass->input.workers[i];
        if (resources_fits(need->resources, resources_add(worker->free, pass->withheld[i])) &&
            (excluded[i] || !resources_fits(need->resources, worker->free)) && plan_meets_constraints(worker, need))
            return true;
    }
    return false;
}

static Withheld decide(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded)
{
    const bool all = stands_still(pass, candidate) && fleet_has_capacity(pass, need->kind);
    if ((!all && pass->ejected_count == 0) || !withheld_meets(pass, need, excluded))
        return WITHHELD_NONE;
    if (all)
        return WITHHELD_ALL;
    return fits_elsewhere_soon(pass, candidate, need, excluded) ? WITHHELD_NONE : WITHHELD_EJECTED;
}

Withheld withheld_admit(Pass *pass, const Candidate *candidate, const PlanNeed *need, const bool *excluded)
{
    const int64_t from_ms = candidate->since_ms + EJECTED_WAIT_MS;
    if (pass->clock.log_ms < from_ms) {
        pass->next_ms = from_ms < pass->next_ms ? from_ms : pass->next_ms;
        return WITHHELD_NONE;
    }
    const Withheld given = decide(pass, candidate, need, excluded);
    for (size_t i = 0; i < pass->input.worker_count && given != WITHHELD_NONE; i++) {
        PlanWorker *worker = &pass->input.workers[i];
        const bool ejected = pass->ejected[i].cpu_milli > 0;
        if (!ejected && given != WITHHELD_ALL)
            continue;
        worker->free = resources_add(worker->free, pass->withheld[i]);
        if (ejected)
            worker->resources = pass->ejected[i];
    }
    pass->admitted = given;
    return given;
}

void withheld_end(Pass *pass)
{
    for (size_t i = 0; i < pass->input.worker_count && pass->admitted != WITHHELD_NONE; i++) {
        PlanWorker *worker = &pass->input.workers[i];
        const bool ejected = pass->ejected[i].cpu_milli > 0;
        if (!ejected && pass->admitted != WITHHELD_ALL)
            continue;
        pass->withheld[i] = ejected ? worker->free : resources_min(pass->withheld[i], worker->free);
        worker->free = resources_subtract(worker->free, pass->withheld[i]);
        if (ejected)
            worker->resources = (Resources){0};
    }
    pass->admitted = WITHHELD_NONE;
}
