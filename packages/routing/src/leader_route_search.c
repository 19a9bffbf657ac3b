/* The search for a next hop to the leader. A search is early for SEARCH_EARLY_MS after the loss of the route, then
 * late. */
#include "leader_route_search.h"

#define SEARCH_EARLY_MS 1000       /* after a handover a new leader is found within this time, in ms */
#define SEARCH_EARLY_PING_MS 120   /* early: time that each hop has to answer, in ms */
#define SEARCH_LATE_PING_MS 300    /* late: time that each hop has to answer, in ms */
#define SEARCH_EARLY_BACKOFF_MS 25 /* early: delay before all hops are tried again, in ms */
#define SEARCH_LATE_BACKOFF_MS 150 /* late: delay before all hops are tried again, in ms */
#define RELAY_CHECK_MS 5000 /* while a relay is used: interval between attempts to reach the leader directly, in ms */

/* Suspends the coroutine. Tries every hop once. Returns true if one leads to the leader. */
static bool search_once(LeaderRoute *leader_route)
{
    LeaderHop hop;
    const bool late = loop_now_ms(leader_route->loop) - leader_route->lost_since_ms >= SEARCH_EARLY_MS;
    for (size_t nth = 0;; nth++) {
        if (!leader_route_hop(leader_route, nth, &hop)) {
            if (nth == 0)
                continue; /* the leader is unknown, or it was this process */
            return false;
        }
        const uint64_t generation = leader_route->generation;
        bool serves;
        const Status status =
            leader_route_ping(leader_route, &hop, late ? SEARCH_LATE_PING_MS : SEARCH_EARLY_PING_MS, &serves);
        if (leader_route->generation != generation)
            return false; /* another leader became known meanwhile */
        if (status == STATUS_OK) {
            leader_route_enter_hop(leader_route, nth);
            leader_route_record_answer(leader_route, &(LeaderHop){.generation = leader_route->generation}, serves);
            return true;
        }
    }
}

/* Suspends the coroutine. Returns to the leader itself if it answers again, else checks that the relay still does. */
static void relay_check(LeaderRoute *leader_route)
{
    LeaderHop hop;
    bool serves;
    const uint64_t generation = leader_route->generation;
    if (leader_route_hop(leader_route, 0, &hop) &&
        leader_route_ping(leader_route, &hop, LEADER_ROUTE_PING_MS, &serves) == STATUS_OK &&
        leader_route->generation == generation)
        leader_route_enter_hop(leader_route, 0);
    else if (leader_route_hop_in_use(leader_route, &hop) && !leader_route_check_hop(leader_route, &hop))
        leader_route_discard_hop(leader_route, &hop);
}

static void search_main(void *arg)
{
    LeaderRoute *leader_route = arg;
    while (!loop_stopping(leader_route->loop) && leader_route_state(leader_route) != LEADER_ROUTE_DIRECT) {
        if (leader_route_state(leader_route) == LEADER_ROUTE_RELAYED) {
            signal_wait(leader_route->loop, &leader_route->changed, loop_now_ms(leader_route->loop) + RELAY_CHECK_MS);
            if (leader_route_state(leader_route) == LEADER_ROUTE_RELAYED)
                relay_check(leader_route);
        } else if (!search_once(leader_route) && leader_route_state(leader_route) == LEADER_ROUTE_LOST) {
            const int64_t now_ms = loop_now_ms(leader_route->loop);
            const bool early = now_ms - leader_route->lost_since_ms < SEARCH_EARLY_MS;
            signal_wait(leader_route->loop, &leader_route->changed,
                        now_ms + (early ? SEARCH_EARLY_BACKOFF_MS : SEARCH_LATE_BACKOFF_MS));
        }
    }
    leader_route->searching = false;
}

void leader_route_search(LeaderRoute *leader_route)
{
    if (leader_route->searching)
        return;
    leader_route->searching = true;
    loop_spawn(leader_route->loop, "leader-search", search_main, leader_route);
}
