/* Moments: steps of the protocol at which a failure hurts most, so that acts of the adversary begin or end just there
 * and not by the clock alone: what was learnt in one step may be out of date in the next. */
#include <talloc.h>

#include "moment.h"

#define MOMENT_LATE_MS 8 /* ms; an act comes so long after its moment at most: one or two messages */

/* Something to be run once, at a moment or when it has been waited for too long. Kept as long as the run. */
typedef struct Awaiting {
    struct Awaiting *next;
    Moment moment;
    void (*run)(void *);
    void *arg;
    bool raised; /* the moment has come, and its run is scheduled */
    bool over;   /* it has run */
} Awaiting;

static void run_once(void *arg)
{
    Awaiting *awaiting = arg;
    if (awaiting->over)
        return;
    awaiting->over = true;
    awaiting->run(awaiting->arg);
}

void moment_await(Explore *explore, Moment moment, int64_t most_ms, void (*run)(void *), void *arg)
{
    const int64_t late_ms = sim_now_ms(explore->world) + most_ms;
    if (moment == MOMENT_NONE) {
        sim_schedule(explore->world, late_ms, run, arg);
        return;
    }
    Awaiting *awaiting = talloc_zero(explore, Awaiting);
    *awaiting = (Awaiting){explore->awaiting, moment, run, arg, false, false};
    explore->awaiting = awaiting;
    sim_schedule(explore->world, late_ms, run_once, awaiting);
}

void moment_raise(Explore *explore, Moment moment)
{
    for (Awaiting *awaiting = explore->awaiting; awaiting != NULL; awaiting = awaiting->next)
        if (awaiting->moment == moment && !awaiting->raised && !awaiting->over) {
            awaiting->raised = true;
            sim_schedule(explore->world,
                         sim_now_ms(explore->world) + (int64_t)(sim_random(explore->world) % MOMENT_LATE_MS), run_once,
                         awaiting);
        }
}

void moment_observe(Explore *explore, Node *node, const ReplicationInspection *window)
{
    if (window->phase == REPLICATION_ELECTING && node->phase_before != REPLICATION_ELECTING)
        moment_raise(explore, MOMENT_ELECTION);
    if (window->phase == REPLICATION_LEADING && node->phase_before != REPLICATION_LEADING)
        moment_raise(explore, MOMENT_LEADS);
    if (window->list_index > node->list_before && window->list_index > window->commit_index)
        moment_raise(explore, MOMENT_LIST);
    node->phase_before = window->phase;
}
