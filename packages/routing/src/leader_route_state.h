#ifndef ROUTING_SRC_LEADER_ROUTE_STATE_H
#define ROUTING_SRC_LEADER_ROUTE_STATE_H

#include "routing/leader_route.h"

/* The state of the route to the leader: which next hop is in use, and when it last answered. The functions for users of
 * the route (leader_route.c) and the search for another hop (leader_route_search.c) are built on it.
 *
 *   state     event                                            next state
 *   LOST      the leader itself answers the search             DIRECT
 *   LOST      another controller answers the search            RELAYED
 *   LOST      a new leader becomes known, with its address     DIRECT
 *   DIRECT    the route fails; the leader's address is         LOST
 *             unknown; this process has lost the leadership
 *   DIRECT    a new leader becomes known, with its address     DIRECT
 *   RELAYED   the leader itself answers again                  DIRECT
 *   RELAYED   a new leader becomes known, with its address     DIRECT
 *   RELAYED   the route fails; the relay has left              LOST
 */
typedef enum LeaderRouteState {
    LEADER_ROUTE_LOST,   /* no next hop is known */
    LEADER_ROUTE_DIRECT, /* the next hop is the leader */
    LEADER_ROUTE_RELAYED /* the next hop is another controller, which reaches the leader */
} LeaderRouteState;

/* Timeout of a ping, in ms; a running process answers a request without a commit within it, even under load */
#define LEADER_ROUTE_PING_MS 600

/* Invariants:
 *  - generation increases whenever the next hop or the leader changes;
 *  - hop_index is the next hop in use: 0 is the leader itself, N the Nth other controller; it has no meaning while
 *    lost_since_ms is not INT64_MAX;
 *  - searching is true while the search coroutine runs, which it does in LEADER_ROUTE_LOST, once a leader has
 *    been known, and in LEADER_ROUTE_RELAYED. */
struct LeaderRoute {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    LeaderRouteLeads leads;
    const void *arg; /* passed to leads */
    uint64_t generation;
    uint64_t term; /* term of the leader that the route leads to; 0: no leader known yet */
    size_t hop_index;
    int64_t lost_since_ms;      /* time since which no next hop has been known; INT64_MAX: one is known */
    int64_t expected_outage_ms; /* expected duration of a loss, from earlier losses */
    bool searching;
    int64_t last_answer_ms;       /* time of the last answer; INT64_MIN: none yet */
    int64_t last_served_ms;       /* time of the last answer from a leader that serves; INT64_MIN: none yet */
    int64_t not_serving_since_ms; /* time since which no leader is known to serve; INT64_MAX: one serves */
    Signal changed;               /* raised with each new generation */
};

/* The state, derived from lost_since_ms and hop_index. */
LeaderRouteState leader_route_state(const LeaderRoute *leader_route);
/* Begins a new generation and wakes all coroutines that wait for a change of the route. */
void leader_route_begin_generation(LeaderRoute *leader_route);
/* Makes hop number hop_index the next hop; begins a new generation. */
void leader_route_enter_hop(LeaderRoute *leader_route, size_t hop_index);
/* Enters LEADER_ROUTE_LOST: no next hop is known from now on; begins a new generation. */
void leader_route_enter_lost(LeaderRoute *leader_route);
/* As leader_route_next_hop, but does not start the search. Enters LEADER_ROUTE_LOST if the hop in use no longer exists.
 */
bool leader_route_hop_in_use(LeaderRoute *leader_route, LeaderHop *hop);
/* As leader_route_report_failure, but does not start the search. False: hop is not the one in use, and nothing changed.
 */
bool leader_route_discard_hop(LeaderRoute *leader_route, const LeaderHop *hop);
/* Whether this process leads. */
bool leader_route_self_leads(const LeaderRoute *leader_route);
/* Records that no leader serves, from now on unless that was recorded before. */
void leader_route_record_not_serving(LeaderRoute *leader_route);
/* Returns the nth hop: 0 is the leader itself, N the Nth of the other controllers that are reachable and not leaving.
 * False: there is no such hop, or it is this process. */
bool leader_route_hop(const LeaderRoute *leader_route, size_t nth, LeaderHop *hop);
/* Suspends the coroutine, for wait_ms at most. Sends the hop a read that needs no commit. If it returns STATUS_OK,
 * *serves is set to whether the leader serves. A leader that a refusal names is recorded. */
Status leader_route_ping(LeaderRoute *leader_route, const LeaderHop *hop, int64_t wait_ms, bool *serves);

#endif
