/* What the nodes and callers of a fleet tell its checker. */
#include "fleet.h"

static void onPlans(void *arg, const char *name, uint64_t epoch)
{
    checkerPlans(((FleetNode *)arg)->fleet->checker, name, epoch);
}

static void onStarted(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, Room room)
{
    checkerStarted(((FleetNode *)arg)->fleet->checker, worker, job, task, round, room);
}

static void onEnded(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word)
{
    checkerEnded(((FleetNode *)arg)->fleet->checker, worker, job, task, round, word);
}

static void onKnown(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word)
{
    checkerKnown(((FleetNode *)arg)->fleet->checker, worker, job, task, round, word);
}

static void onBooted(void *arg, const char *worker)
{
    checkerBooted(((FleetNode *)arg)->fleet->checker, worker);
}

static void onHeld(void *arg, const char *worker, int64_t left_ms)
{
    const FleetNode *node = arg;
    checkerHeld(node->fleet->checker, worker, sim_now_ms(node->fleet->world) + left_ms);
}

static void onResumed(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round, const char *saved)
{
    checkerResumed(((FleetNode *)arg)->fleet->checker, worker, job, task, round, saved);
}

static void onTold(void *arg, const char *worker, const char *job, uint64_t task, uint64_t round)
{
    checkerTold(((FleetNode *)arg)->fleet->checker, worker, job, task, round);
}

static void onSent(void *arg, const char *id)
{
    checkerSent(((Fleet *)arg)->checker, id);
}

static void onAccepted(void *arg, const char *id)
{
    checkerAccepted(((Fleet *)arg)->checker, id);
}

static void onRefused(void *arg, const char *id, int code)
{
    (void)code;
    checkerRefused(((Fleet *)arg)->checker, id);
}

static void onJobEnded(void *arg, const char *id, const char *phase)
{
    checkerJobEnded(((Fleet *)arg)->checker, id, phase);
}

static void onUnknown(void *arg, const char *id)
{
    checkerUnknown(((Fleet *)arg)->checker, id);
}

static void onCancelled(void *arg, const char *id)
{
    checkerCancelled(((Fleet *)arg)->checker, id);
}

CoreWatch fleetCoreWatch(FleetNode *node)
{
    return (CoreWatch){node, onPlans};
}

StandWorkerWatch fleetWorkerWatch(FleetNode *node)
{
    return (StandWorkerWatch){node, onStarted, onEnded, onKnown, onBooted, onHeld, onResumed, onTold};
}

CallerWatch fleetCallerWatch(Fleet *fleet)
{
    return (CallerWatch){fleet, onSent, onAccepted, onRefused, onJobEnded, onUnknown, onCancelled};
}
