/* The route as others use it: taking the next hop, giving it up, and following the leader. */
#include "routing/leader_route.h"

#include <talloc.h>

#include "leader_route_search.h"

#define LEADER_ROUTE_GRACE_MS \
    2000 /* ms; for so long after a leader's loss the next one is expected at once, and callers may come */

LeaderRoute *leader_route_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderRouteLeads leads,
                              const void *arg)
{
    LeaderRoute *leader_route = talloc_zero(mem, LeaderRoute);
    *leader_route = (LeaderRoute){.loop = loop,
                                  .rpc = rpc,
                                  .members = members,
                                  .leads = leads,
                                  .arg = arg,
                                  .lost_ms = loop_now_ms(loop),
                                  .outage_ms = ELECTION_USUAL_MS,
                                  .heard_ms = INT64_MIN,
                                  .served_ms = INT64_MIN,
                                  .missed_ms = loop_now_ms(loop)};
    return leader_route;
}

/* --- following the leader --------------------------------------------------------------- */

/* Another leader, or the first: it is reached directly until that fails. */
static void leader_new(LeaderRoute *leader_route)
{
    if (members_leader_term(leader_route->members) == leader_route->term)
        return; /* also before any is known: the membership learns of the leader from the first member that it reaches
                 */
    leader_route->term = members_leader_term(leader_route->members);
    if (members_leader_address(leader_route->members) != NULL) {
        leader_route_enter_hop(leader_route, 0);
        return;
    }
    leader_route_miss(leader_route);
    if (leader_route_state(leader_route) == LEADER_ROUTE_LOST)
        leader_route_move_on(leader_route);
    else
        leader_route_enter_lost(leader_route);
    leader_route_search(leader_route); /* its address may become known later */
}

static void leader_main(void *arg)
{
    LeaderRoute *leader_route = arg;
    while (!loop_stopping(leader_route->loop)) {
        leader_new(leader_route);
        signal_wait(leader_route->loop, members_leader_signal(leader_route->members), INT64_MAX);
    }
}

void leader_route_start(LeaderRoute *leader_route)
{
    loop_spawn(leader_route->loop, "ways", leader_main, leader_route);
}

/* --- in use ------------------------------------------------------------------------------ */

bool leader_route_take(LeaderRoute *leader_route, LeaderHop *taken)
{
    if (leader_route_take_hop(leader_route, taken))
        return true;
    if (leader_route->term != 0)
        leader_route_search(leader_route);
    return false;
}

void leader_route_failed(LeaderRoute *leader_route, const LeaderHop *taken)
{
    if (leader_route_drop_hop(leader_route, taken))
        leader_route_search(leader_route);
}

Signal *leader_route_moved(LeaderRoute *leader_route)
{
    return &leader_route->moved;
}

int64_t leader_route_lost_ms(const LeaderRoute *leader_route)
{
    return leader_route_own_lead(leader_route) ? INT64_MAX : leader_route->lost_ms;
}

int64_t leader_route_found_ms(const LeaderRoute *leader_route)
{
    const int64_t now_ms = loop_now_ms(leader_route->loop), lost_ms = leader_route_lost_ms(leader_route);
    if (lost_ms == INT64_MAX)
        return now_ms;
    const int64_t usual_ms = lost_ms + leader_route->outage_ms, doubled_ms = now_ms + (now_ms - lost_ms);
    const int64_t found_ms = usual_ms > doubled_ms ? usual_ms : doubled_ms;
    return found_ms < now_ms + ELECTION_MS ? found_ms : now_ms + ELECTION_MS;
}

int64_t leader_route_heard_ms(const LeaderRoute *leader_route)
{
    return leader_route->heard_ms;
}

bool leader_route_serve(const LeaderRoute *leader_route)
{
    return leader_route->served_ms != INT64_MIN &&
           (leader_route->missed_ms == INT64_MAX ||
            loop_now_ms(leader_route->loop) - leader_route->missed_ms <= LEADER_ROUTE_GRACE_MS);
}
