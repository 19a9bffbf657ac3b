/* The functions for users of the route: the next hop, reports of failures, and tracking of the leader. */
#include "routing/leader_route.h"

#include <talloc.h>

#include "leader_route_search.h"

/* Time after the loss of a leader during which the next one is expected soon, so that this process remains ready for
 * callers, in ms */
#define LEADER_ROUTE_GRACE_MS 2000

LeaderRoute *leader_route_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderRouteLeads leads,
                              const void *arg)
{
    LeaderRoute *leader_route = talloc_zero(mem, LeaderRoute);
    *leader_route = (LeaderRoute){.loop = loop,
                                  .rpc = rpc,
                                  .members = members,
                                  .leads = leads,
                                  .arg = arg,
                                  .lost_since_ms = loop_now_ms(loop),
                                  .expected_outage_ms = OUTAGE_EXPECTED_MS,
                                  .last_answer_ms = INT64_MIN,
                                  .last_served_ms = INT64_MIN,
                                  .not_serving_since_ms = loop_now_ms(loop)};
    return leader_route;
}

/* --- tracking the leader ---------------------------------------------------------------- */

/* Handles a new leader, also the first: the next hop is the leader itself until that fails. */
static void follow_leader(LeaderRoute *leader_route)
{
    if (members_leader_term(leader_route->members) == leader_route->term)
        return; /* no new term; also while none is known: the first member that is reached names the leader */
    leader_route->term = members_leader_term(leader_route->members);
    if (members_leader_address(leader_route->members) != NULL) {
        leader_route_enter_hop(leader_route, 0);
        return;
    }
    leader_route_record_not_serving(leader_route);
    if (leader_route_state(leader_route) == LEADER_ROUTE_LOST)
        leader_route_begin_generation(leader_route);
    else
        leader_route_enter_lost(leader_route);
    leader_route_search(leader_route); /* the leader's address may become known later */
}

static void follow_leader_main(void *arg)
{
    LeaderRoute *leader_route = arg;
    while (!loop_stopping(leader_route->loop)) {
        follow_leader(leader_route);
        signal_wait(leader_route->loop, members_leader_signal(leader_route->members), INT64_MAX);
    }
}

void leader_route_start(LeaderRoute *leader_route)
{
    loop_spawn(leader_route->loop, "leader-route", follow_leader_main, leader_route);
}

/* --- use --------------------------------------------------------------------------------- */

bool leader_route_next_hop(LeaderRoute *leader_route, LeaderHop *hop)
{
    if (leader_route_hop_in_use(leader_route, hop))
        return true;
    if (leader_route->term != 0)
        leader_route_search(leader_route);
    return false;
}

void leader_route_report_failure(LeaderRoute *leader_route, const LeaderHop *hop)
{
    if (leader_route_discard_hop(leader_route, hop))
        leader_route_search(leader_route);
}

Signal *leader_route_changed_signal(LeaderRoute *leader_route)
{
    return &leader_route->changed;
}

int64_t leader_route_lost_since_ms(const LeaderRoute *leader_route)
{
    return leader_route_self_leads(leader_route) ? INT64_MAX : leader_route->lost_since_ms;
}

int64_t leader_route_expected_ms(const LeaderRoute *leader_route)
{
    const int64_t now_ms = loop_now_ms(leader_route->loop), lost_since_ms = leader_route_lost_since_ms(leader_route);
    if (lost_since_ms == INT64_MAX)
        return now_ms;
    const int64_t usual_ms = lost_since_ms + leader_route->expected_outage_ms,
                  doubled_ms = now_ms + (now_ms - lost_since_ms);
    const int64_t found_ms = usual_ms > doubled_ms ? usual_ms : doubled_ms;
    return found_ms < now_ms + ELECTION_MS ? found_ms : now_ms + ELECTION_MS;
}

int64_t leader_route_last_answer_ms(const LeaderRoute *leader_route)
{
    return leader_route->last_answer_ms;
}

bool leader_route_leader_serves(const LeaderRoute *leader_route)
{
    return leader_route->last_served_ms != INT64_MIN &&
           (leader_route->not_serving_since_ms == INT64_MAX ||
            loop_now_ms(leader_route->loop) - leader_route->not_serving_since_ms <= LEADER_ROUTE_GRACE_MS);
}
