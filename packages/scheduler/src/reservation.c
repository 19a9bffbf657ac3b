/* Reservations of workers. Without them, a task (or gang) that fits on an empty worker, but not into the capacity that
 * any worker has free now, would be overtaken by small tasks for ever. After a wait (reservation_wait_ms), the workers
 * that suit it and are expected to have enough capacity soonest are reserved for it: nothing new starts there except
 * candidates that rank above it in its cell, restarts of protected work, and tasks that end before the capacity is
 * free. One candidate of a cell has a reservation at a time, and only a bounded share of the fleet is reserved.
 *
 * Reservations are held in the leader's memory only; a new leader makes its own. */
#include "reservation.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "capacity_forecast.h"
#include "settings/features.h"
#include "worker_choice.h"

/* The workers reserved for one candidate of a cell. */
typedef struct Reservation {
    const char *job;
    size_t task; /* index of the candidate's first task */
    double rank;
    int64_t since_ms;
    size_t worker_count;
    const char *workers[RESERVATION_MEMBERS_MAX];
    /* by worker: when it is expected to have enough capacity, in ms from the start of this pass */
    int64_t until_ms[RESERVATION_MEMBERS_MAX];
} Reservation;

static bool is_reserved_for(const Reservation *reservation, const Candidate *candidate)
{
    return strcmp(reservation->job, candidate->job->spec.id) == 0 && reservation->task == candidate->first;
}

/* Whether a candidate of this rank is so late that its job has no value any more: nothing waits for it. */
static bool is_too_late(double rank)
{
    return rank <= TARGET_WORTHLESS_RANK / 2;
}

/* The number of workers reserved in all cells. */
static size_t reservation_workers(const Scheduler *scheduler, void *mem)
{
    const char **cells;
    const size_t count = map_keys(scheduler->reservations, mem, &cells);
    size_t workers = 0;
    for (size_t i = 0; i < count; i++)
        workers += ((const Reservation *)map_get(scheduler->reservations, cells[i]))->worker_count;
    return workers;
}

/* Drops the reservation of the cell. why: for the log line. */
static void reservation_drop(Scheduler *scheduler, const char *cell, const char *why)
{
    Reservation *reservation = map_get(scheduler->reservations, cell);
    recorder_write(scheduler->recorder, RECORDER_NOTE, loop_now_ms(scheduler->loop),
                   "%zu workers are reserved for %s no longer: %s", reservation->worker_count, reservation->job, why);
    map_remove(scheduler->reservations, cell);
    talloc_free(reservation);
}

void reservation_begin(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    const char **cells;
    const size_t cell_count = map_keys(scheduler->reservations, pass->mem, &cells);
    for (size_t c = 0; c < cell_count; c++) {
        Reservation *reservation = map_get(scheduler->reservations, cells[c]);
        const Job *job = table_job(scheduler->table, reservation->job);
        const bool waits =
            job != NULL && reservation->task < job->tasks_count && job->tasks[reservation->task].phase == TASK_WAITING;
        if (!waits || !ready_queue_rank(pass->ready_queue, job, reservation->task, &reservation->rank)) {
            reservation_drop(scheduler, cells[c], "its task is not waiting any more");
            continue;
        }
        if (is_too_late(reservation->rank)) {
            reservation_drop(scheduler, cells[c], "its job has no value any more");
            continue;
        }
        for (size_t i = 0; i < reservation->worker_count; i++) {
            const size_t at = pass_worker_index(pass, reservation->workers[i]);
            if (at == SIZE_MAX || pass->input.workers[at].resources.cpu_milli == 0) {
                reservation_drop(scheduler, cells[c], "a worker may not be given work");
                break;
            }
            reservation->until_ms[i] =
                forecast_free_ms(pass, at, job->spec.steps[job->tasks[reservation->task].step].resources);
        }
    }
}

bool reservation_exclude(const Pass *pass, const Candidate *candidate, bool *excluded)
{
    bool any = false;
    void *mem = talloc_new(NULL);
    const char **cells;
    const size_t count = map_keys(pass->scheduler->reservations, mem, &cells);
    for (size_t c = 0; c < count; c++) {
        const Reservation *reservation = map_get(pass->scheduler->reservations, cells[c]);
        const bool ranks_above =
            strcmp(candidate->job->spec.cell, cells[c]) == 0 && candidate->rank > reservation->rank;
        if (is_reserved_for(reservation, candidate) || ranks_above || candidate->restart)
            continue;
        for (size_t i = 0; i < reservation->worker_count; i++) {
            const size_t at = pass_worker_index(pass, reservation->workers[i]);
            /* a task that ends before the reserved capacity is free takes nothing from the reservation */
            const bool ends_before =
                candidate->estimate_ms > 0 && reservation->until_ms[i] < INT64_MAX &&
                candidate->estimate_ms * 5 / 4 + RESERVATION_WAIT_MIN_MS < reservation->until_ms[i];
            if (at != SIZE_MAX && !ends_before)
                excluded[at] = any = true;
        }
    }
    talloc_free(mem);
    return any;
}

/* How many members of the candidate can be on the worker once all that will end there has ended. pass->spread describes
 * the step. */
static size_t members_when_free(const Pass *pass, const StepSpec *step, size_t worker)
{
    size_t limit = RESERVATION_MEMBERS_MAX, count = 0;
    const uint64_t on_worker = (uint64_t)pass->spread.on_worker[worker];
    if (step->apart > 0)
        limit = step->apart > on_worker ? (size_t)(step->apart - on_worker) : 0;
    Resources resources = forecast_capacity(pass, worker, INT64_MAX);
    for (; count < limit && resources_fits(step->resources, resources); count++)
        resources = resources_subtract(resources, step->resources);
    return count;
}

/* How long a candidate waits before workers are reserved for it; with a latency target, an eighth of its span, within
 * bounds. */
static int64_t reservation_wait_ms(const Candidate *candidate)
{
    const int64_t span_share = candidate->span_ms > 0 ? candidate->span_ms / 8 : RESERVATION_WAIT_MS;
    return span_share < RESERVATION_WAIT_MIN_MS ? RESERVATION_WAIT_MIN_MS
           : span_share < RESERVATION_WAIT_MS   ? span_share
                                                : RESERVATION_WAIT_MS;
}

/* The index of the worker to reserve next: the one expected to have enough capacity soonest; of equals, the one with
 * the smallest share of its capacity in use; then the first by name; -1: none is left. until_ms (out): when the worker
 * is expected to have enough. */
static int soonest_worker(const Pass *pass, const StepSpec *step, const PlanNeed *need, const bool *used,
                          int64_t *until_ms)
{
    const PlanInput *input = &pass->input;
    int best = -1;
    Resources best_busy = {0};
    for (size_t i = 0; i < input->worker_count; i++) {
        const PlanWorker *worker = &input->workers[i];
        if (used[i] || !plan_meets_constraints(worker, need) || members_when_free(pass, step, i) == 0)
            continue;
        const int64_t free_ms = forecast_free_ms(pass, i, need->resources);
        const Resources busy = resources_subtract(worker->resources, worker->free);
        const bool less = best >= 0 && resources_share(busy, worker->resources) <
                                           resources_share(best_busy, input->workers[best].resources);
        if (best < 0 || free_ms < *until_ms || (free_ms == *until_ms && less)) {
            best = (int)i;
            *until_ms = free_ms;
            best_busy = busy;
        }
    }
    return best;
}

/* Adds workers to the reservation until all members of the candidate fit on them, or until the fleet's share or the
 * reservation's list is used up; false: not all members fit. */
static bool workers_reserve(Pass *pass, const Candidate *candidate, const StepSpec *step, Reservation *reservation)
{
    const PlanInput *input = &pass->input;
    const PlanNeed need = pass_need(candidate->job, candidate->job->tasks[candidate->first].step);
    const size_t reserved_before = reservation_workers(pass->scheduler, pass->mem);
    const size_t worker_limit =
        input->worker_count / RESERVATION_WORKERS_DIVISOR > 0 ? input->worker_count / RESERVATION_WORKERS_DIVISOR : 1;
    bool *used = talloc_zero_array(pass->mem, bool, (unsigned)input->worker_count);
    size_t left = candidate->count;
    reservation_exclude(pass, candidate, used);
    spread_find(pass, candidate->job, candidate->first);
    while (left > 0 && reserved_before + reservation->worker_count < worker_limit &&
           reservation->worker_count < RESERVATION_MEMBERS_MAX) {
        int64_t until_ms = 0;
        const int best = soonest_worker(pass, step, &need, used, &until_ms);
        if (best < 0)
            break;
        used[best] = true;
        const size_t fitting = members_when_free(pass, step, (size_t)best);
        left = left > fitting ? left - fitting : 0;
        reservation->until_ms[reservation->worker_count] = until_ms;
        reservation->workers[reservation->worker_count++] = talloc_strdup(reservation, input->workers[best].name);
    }
    return left == 0;
}

void reservation_make(Pass *pass, const Candidate *candidate, const StepSpec *step)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t log_ms = pass->clock.log_ms;
    const char *cell = candidate->job->spec.cell;
    if (!feature_enabled(scheduler->cluster_settings, FEATURE_RESERVATIONS) ||
        log_ms - candidate->since_ms < reservation_wait_ms(candidate) || is_too_late(candidate->rank) ||
        map_get(scheduler->reservations, cell) != NULL)
        return;
    Reservation *reservation = talloc_zero(scheduler, Reservation);
    /* the candidate gets all the workers that it needs, or none */
    if (!workers_reserve(pass, candidate, step, reservation)) {
        talloc_free(reservation);
        return;
    }
    reservation->job = talloc_strdup(reservation, candidate->job->spec.id);
    reservation->task = candidate->first;
    reservation->rank = candidate->rank;
    reservation->since_ms = loop_now_ms(scheduler->loop);
    map_set(scheduler->reservations, cell, reservation);
    scheduler->counts.reserved++;
    recorder_write(scheduler->recorder, RECORDER_NOTE, reservation->since_ms,
                   "%zu workers from %s on are reserved for %s, which has waited %" PRId64 " ms",
                   reservation->worker_count, reservation->workers[0], reservation->job, log_ms - candidate->since_ms);
}
