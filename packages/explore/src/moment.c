/* Moments: steps of the protocol at which a failure is most likely to expose a fault. Acts that begin or end at a
 * moment, not only at a fixed time, hit the point where knowledge gained in one step may be outdated in the next. */
#include <talloc.h>

#include "moment.h"

#define MOMENT_DELAY_MAX_MS 8 /* maximum delay of an act after its moment: the time of one or two messages */

/* A call to be made once, at a moment or at a time limit. Kept until the run ends. */
typedef struct MomentWait {
    struct MomentWait *next;
    Moment moment;
    void (*run)(void *);
    void *arg;
    bool raised;   /* the moment has occurred, and the call is scheduled */
    bool finished; /* the call has been made */
} MomentWait;

static void run_once(void *arg)
{
    MomentWait *wait = arg;
    if (wait->finished)
        return;
    wait->finished = true;
    wait->run(wait->arg);
}

void moment_await(Explore *explore, Moment moment, int64_t max_wait_ms, void (*run)(void *), void *arg)
{
    const int64_t deadline_ms = sim_now_ms(explore->world) + max_wait_ms;
    if (moment == MOMENT_NONE) {
        sim_schedule(explore->world, deadline_ms, run, arg);
        return;
    }
    MomentWait *wait = talloc_zero(explore, MomentWait);
    *wait = (MomentWait){explore->moment_waits, moment, run, arg, false, false};
    explore->moment_waits = wait;
    sim_schedule(explore->world, deadline_ms, run_once, wait);
}

void moment_raise(Explore *explore, Moment moment)
{
    for (MomentWait *wait = explore->moment_waits; wait != NULL; wait = wait->next)
        if (wait->moment == moment && !wait->raised && !wait->finished) {
            wait->raised = true;
            sim_schedule(explore->world,
                         sim_now_ms(explore->world) + (int64_t)(sim_random(explore->world) % MOMENT_DELAY_MAX_MS),
                         run_once, wait);
        }
}

void moment_observe(Explore *explore, Node *node, const ReplicationInspection *inspection)
{
    if (inspection->phase == REPLICATION_ELECTING && node->phase_before != REPLICATION_ELECTING)
        moment_raise(explore, MOMENT_ELECTION);
    if (inspection->phase == REPLICATION_LEADING && node->phase_before != REPLICATION_LEADING)
        moment_raise(explore, MOMENT_LEADS);
    if (inspection->list_index > node->voters_index_before && inspection->list_index > inspection->commit_index)
        moment_raise(explore, MOMENT_LIST);
    node->phase_before = inspection->phase;
}
