/* Callbacks that pass the events of a fleet's nodes and callers to its checker. */
#include "fleet.h"

static void on_plans(void *arg, const char *name, uint64_t term)
{
    checker_leader_plans(((FleetNode *)arg)->fleet->checker, name, term);
}

static void on_started(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       Resources resources)
{
    checker_started(((FleetNode *)arg)->fleet->checker, worker, job, task, attempt, resources);
}

static void on_ended(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     AttemptStatus word)
{
    checker_ended(((FleetNode *)arg)->fleet->checker, worker, job, task, attempt, word);
}

static void on_known(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     AttemptStatus word)
{
    checker_end_acknowledged(((FleetNode *)arg)->fleet->checker, worker, job, task, attempt, word);
}

static void on_booted(void *arg, const char *worker)
{
    checker_worker_booted(((FleetNode *)arg)->fleet->checker, worker);
}

static void on_held(void *arg, const char *worker, int64_t left_ms)
{
    const FleetNode *node = arg;
    checker_lease_granted(node->fleet->checker, worker, sim_now_ms(node->fleet->world) + left_ms);
}

static void on_resumed(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       const char *saved)
{
    checker_resumed(((FleetNode *)arg)->fleet->checker, worker, job, task, attempt, saved);
}

static void on_notified(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt)
{
    checker_stop_ordered(((FleetNode *)arg)->fleet->checker, worker, job, task, attempt);
}

static void on_sent(void *arg, const char *id)
{
    checker_sent(((Fleet *)arg)->checker, id);
}

static void on_accepted(void *arg, const char *id)
{
    checker_accepted(((Fleet *)arg)->checker, id);
}

static void on_refused(void *arg, const char *id, int code)
{
    (void)code;
    checker_refused(((Fleet *)arg)->checker, id);
}

static void on_job_ended(void *arg, const char *id, const char *phase)
{
    checker_job_ended(((Fleet *)arg)->checker, id, phase);
}

static void on_unknown(void *arg, const char *id)
{
    checker_job_unknown(((Fleet *)arg)->checker, id);
}

static void on_cancelled(void *arg, const char *id)
{
    checker_cancelled(((Fleet *)arg)->checker, id);
}

ControllerObserver fleet_controller_watch(FleetNode *node)
{
    return (ControllerObserver){node, on_plans};
}

StandWorkerCallbacks fleet_worker_watch(FleetNode *node)
{
    return (StandWorkerCallbacks){node, on_started, on_ended, on_known, on_booted, on_held, on_resumed, on_notified};
}

CallerCallbacks fleet_caller_watch(Fleet *fleet)
{
    return (CallerCallbacks){fleet, on_sent, on_accepted, on_refused, on_job_ended, on_unknown, on_cancelled};
}
