#ifndef ROUTING_SRC_WAYSTATE_H
#define ROUTING_SRC_WAYSTATE_H

#include "routing/ways.h"

/* The state of the route to the leader: which next hop is in use, and what was last heard
 * along it. Its use (ways.c) and the search for another (waysearch.c) stand above it.
 *
 *   state        event                                          next state
 *   WAYS_LOST    a hop answers the search: the leader itself    WAYS_DIRECT
 *   WAYS_LOST    a hop answers the search: another controller   WAYS_RELAYED
 *   WAYS_LOST    a new leader is heard of, with its address     WAYS_DIRECT
 *   WAYS_DIRECT  the route fails; the leader has no address;    WAYS_LOST
 *                this process has lost the leadership
 *   WAYS_DIRECT  a new leader is heard of, with its address     WAYS_DIRECT
 *   WAYS_RELAYED the leader itself answers again                WAYS_DIRECT
 *   WAYS_RELAYED a new leader is heard of, with its address     WAYS_DIRECT
 *   WAYS_RELAYED the route fails; the relay has left            WAYS_LOST
 */
typedef enum WaysState {
    WAYS_LOST,   /* no next hop is known */
    WAYS_DIRECT, /* the next hop is the leader */
    WAYS_RELAYED /* the next hop is another controller, which reaches the leader */
} WaysState;

#define WAYS_PING_MS 600 /* ms; a living process answers a question that needs no commit in this, also in a crowd */

/* Invariants:
 *  - turn grows whenever the next hop, or the leader, becomes another one;
 *  - at is the next hop in use: 0 the leader itself, N the Nth other controller; it means
 *    nothing while lost_ms is not INT64_MAX;
 *  - looking says that the searching coroutine runs, which it does in WAYS_LOST, once a
 *    leader has been heard of, and in WAYS_RELAYED. */
struct Ways {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    WaysLeads leads;
    const void *arg;
    uint64_t turn;
    uint64_t term; /* of the leader that the route leads to */
    size_t at;
    int64_t lost_ms; /* since when there has been no next hop; INT64_MAX: there is one */
    bool looking;
    int64_t heard_ms;
    int64_t served_ms; /* INT64_MIN: never */
    int64_t missed_ms; /* since when no leader has been heard to serve; INT64_MAX: it serves */
    Signal moved;
};

/* The state; it is derived from lost_ms and at, and stored nowhere else. */
WaysState ways_state(const Ways *ways);
/* A new turn: whoever waits on the route is woken. */
void ways_move_on(Ways *ways);
/* The at-th hop is the next hop from now on; a new turn. */
void ways_enter_hop(Ways *ways, size_t at);
/* No next hop is known from now on; a new turn. */
void ways_enter_lost(Ways *ways);
/* As ways_take and ways_failed, which also start the search. Both are false when there is
 * nothing to take, or to drop. */
bool ways_take_hop(Ways *ways, WaysTaken *taken);
bool ways_drop_hop(Ways *ways, const WaysTaken *taken);
/* Whether this process leads. */
bool ways_own_lead(const Ways *ways);
/* No leader is heard to serve, from now on unless it is so already. */
void ways_miss(Ways *ways);
/* The nth hop as it would be taken now: 0 the leader itself, N the Nth of the other
 * controllers that are heard of and don't leave. False: there is no such hop, or it is this
 * process. */
bool way_at(const Ways *ways, size_t nth, WaysTaken *taken);
/* Waits, wait_ms at most. Whether the hop answers a read that needs no commit. OK: *serves
 * says whether the leader serves. What the answer tells of the leader is taken in. */
Status ways_ping(Ways *ways, const WaysTaken *taken, int64_t wait_ms, bool *serves);

#endif
