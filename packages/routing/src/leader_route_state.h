#ifndef ROUTING_SRC_LEADER_ROUTE_STATE_H
#define ROUTING_SRC_LEADER_ROUTE_STATE_H

#include "routing/leader_route.h"

/* The state of the route to the leader: which next hop is in use, and what was last heard
 * along it. Its use (leader_route.c) and the search for another hop (leader_route_search.c)
 * are built on it.
 *
 *   state     event                                          next state
 *   LOST      a hop answers the search: the leader itself    DIRECT
 *   LOST      a hop answers the search: another controller   RELAYED
 *   LOST      a new leader is heard of, with its address     DIRECT
 *   DIRECT    the route fails; the leader has no address;    LOST
 *             this process has lost the leadership
 *   DIRECT    a new leader is heard of, with its address     DIRECT
 *   RELAYED   the leader itself answers again                DIRECT
 *   RELAYED   a new leader is heard of, with its address     DIRECT
 *   RELAYED   the route fails; the relay has left            LOST
 */
typedef enum LeaderRouteState {
    LEADER_ROUTE_LOST,   /* no next hop is known */
    LEADER_ROUTE_DIRECT, /* the next hop is the leader */
    LEADER_ROUTE_RELAYED /* the next hop is another controller, which reaches the leader */
} LeaderRouteState;

#define LEADER_ROUTE_PING_MS \
    600 /* ms; a running process answers a request that needs no commit within this, also under load */

/* Invariants:
 *  - generation grows whenever the next hop, or the leader, becomes another one;
 *  - at is the next hop in use: 0 the leader itself, N the Nth other controller; it means
 *    nothing while lost_ms is not INT64_MAX;
 *  - searching says that the searching coroutine runs, which it does in LEADER_ROUTE_LOST, once a
 *    leader has been heard of, and in LEADER_ROUTE_RELAYED. */
struct LeaderRoute {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    LeaderRouteLeads leads;
    const void *arg;
    uint64_t generation;
    uint64_t term; /* of the leader that the route leads to */
    size_t at;
    int64_t lost_ms;   /* since when there has been no next hop; INT64_MAX: there is one */
    int64_t outage_ms; /* how long the route is expected to stay lost, by earlier losses */
    bool searching;
    int64_t heard_ms;
    int64_t served_ms; /* INT64_MIN: never */
    int64_t missed_ms; /* since when no leader has been heard to serve; INT64_MAX: it serves */
    Signal moved;
};

/* The state; it is derived from lost_ms and at, and stored nowhere else. */
LeaderRouteState leader_route_state(const LeaderRoute *leader_route);
/* Begins a new generation: wakes whoever waits on the route. */
void leader_route_move_on(LeaderRoute *leader_route);
/* The at-th hop is the next hop from now on; a new generation. */
void leader_route_enter_hop(LeaderRoute *leader_route, size_t at);
/* No next hop is known from now on; a new generation. */
void leader_route_enter_lost(LeaderRoute *leader_route);
/* As leader_route_take and leader_route_failed, which also start the search. Both are false when there is
 * nothing to take, or to drop. */
bool leader_route_take_hop(LeaderRoute *leader_route, LeaderHop *taken);
bool leader_route_drop_hop(LeaderRoute *leader_route, const LeaderHop *taken);
/* Whether this process leads. */
bool leader_route_own_lead(const LeaderRoute *leader_route);
/* No leader serves, from now on unless that was known before. */
void leader_route_miss(LeaderRoute *leader_route);
/* The nth hop as it would be taken now: 0 the leader itself, N the Nth of the other
 * controllers that are heard of and don't leave. False: there is no such hop, or it is this
 * process. */
bool leader_route_hop(const LeaderRoute *leader_route, size_t nth, LeaderHop *taken);
/* Waits, wait_ms at most. Whether the hop answers a read that needs no commit. OK: *serves
 * says whether the leader serves. Learns who leads from a refusal. */
Status leader_route_ping(LeaderRoute *leader_route, const LeaderHop *taken, int64_t wait_ms, bool *serves);

#endif
