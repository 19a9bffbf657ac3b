/* The route as others use it: taking the next hop, giving it up, and following the leader. */
#include "routing/ways.h"

#include <talloc.h>

#include "waysearch.h"

#define WAYS_GRACE_MS 2000 /* ms; a leader lost so long ago is still expected to be followed by another at once */

Ways *ways_new(void *mem, Loop *loop, Rpc *rpc, Members *members, WaysLeads leads, const void *arg)
{
    Ways *ways = talloc_zero(mem, Ways);
    *ways = (Ways){.loop = loop,
                   .rpc = rpc,
                   .members = members,
                   .leads = leads,
                   .arg = arg,
                   .lost_ms = loop_now_ms(loop),
                   .heard_ms = INT64_MIN,
                   .served_ms = INT64_MIN,
                   .missed_ms = loop_now_ms(loop)};
    return ways;
}

/* --- following the leader --------------------------------------------------------------- */

/* Another leader, or the first: it is reached directly until that fails. */
static void leader_new(Ways *ways)
{
    if (members_leader_term(ways->members) == ways->term)
        return; /* also before any is known: whoever is met tells of the leader */
    ways->term = members_leader_term(ways->members);
    if (members_leader_address(ways->members) != NULL) {
        ways_enter_hop(ways, 0);
        return;
    }
    ways_miss(ways);
    if (ways_state(ways) == WAYS_LOST)
        ways_move_on(ways);
    else
        ways_enter_lost(ways);
    ways_search(ways); /* its address may become known later */
}

static void leader_main(void *arg)
{
    Ways *ways = arg;
    while (!loop_stopping(ways->loop)) {
        leader_new(ways);
        signal_wait(ways->loop, members_leader_signal(ways->members), INT64_MAX);
    }
}

void ways_start(Ways *ways)
{
    loop_spawn(ways->loop, "ways", leader_main, ways);
}

/* --- in use ------------------------------------------------------------------------------ */

bool ways_take(Ways *ways, WaysTaken *taken)
{
    if (ways_take_hop(ways, taken))
        return true;
    if (ways->term != 0)
        ways_search(ways);
    return false;
}

void ways_failed(Ways *ways, const WaysTaken *taken)
{
    if (ways_drop_hop(ways, taken))
        ways_search(ways);
}

Signal *ways_moved(Ways *ways)
{
    return &ways->moved;
}

int64_t ways_lost_ms(const Ways *ways)
{
    return ways_own_lead(ways) ? INT64_MAX : ways->lost_ms;
}

int64_t ways_heard_ms(const Ways *ways)
{
    return ways->heard_ms;
}

bool ways_serve(const Ways *ways)
{
    return ways->served_ms != INT64_MIN &&
           (ways->missed_ms == INT64_MAX || loop_now_ms(ways->loop) - ways->missed_ms <= WAYS_GRACE_MS);
}
