#ifndef ROUTING_SRC_LEADER_PATH_STATE_H
#define ROUTING_SRC_LEADER_PATH_STATE_H

#include "routing/leader_paths.h"

/* The state of the route to the leader: which next hop is in use, and what was last heard
 * along it. Its use (ways.c) and the search for another (waysearch.c) stand above it.
 *
 *   state        event                                          next state
 *   LEADER_PATHS_LOST    a hop answers the search: the leader itself    LEADER_PATHS_DIRECT
 *   LEADER_PATHS_LOST    a hop answers the search: another controller   LEADER_PATHS_RELAYED
 *   LEADER_PATHS_LOST    a new leader is heard of, with its address     LEADER_PATHS_DIRECT
 *   LEADER_PATHS_DIRECT  the route fails; the leader has no address;    LEADER_PATHS_LOST
 *                this process has lost the leadership
 *   LEADER_PATHS_DIRECT  a new leader is heard of, with its address     LEADER_PATHS_DIRECT
 *   LEADER_PATHS_RELAYED the leader itself answers again                LEADER_PATHS_DIRECT
 *   LEADER_PATHS_RELAYED a new leader is heard of, with its address     LEADER_PATHS_DIRECT
 *   LEADER_PATHS_RELAYED the route fails; the relay has left            LEADER_PATHS_LOST
 */
typedef enum LeaderPathsState {
    LEADER_PATHS_LOST,   /* no next hop is known */
    LEADER_PATHS_DIRECT, /* the next hop is the leader */
    LEADER_PATHS_RELAYED /* the next hop is another controller, which reaches the leader */
} LeaderPathsState;

#define LEADER_PATHS_PING_MS \
    600 /* ms; a living process answers a question that needs no commit in this, also in a crowd */

/* Invariants:
 *  - turn grows whenever the next hop, or the leader, becomes another one;
 *  - at is the next hop in use: 0 the leader itself, N the Nth other controller; it means
 *    nothing while lost_ms is not INT64_MAX;
 *  - looking says that the searching coroutine runs, which it does in LEADER_PATHS_LOST, once a
 *    leader has been heard of, and in LEADER_PATHS_RELAYED. */
struct LeaderPaths {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    LeaderPathsLeads leads;
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
LeaderPathsState leader_paths_state(const LeaderPaths *leader_paths);
/* A new turn: whoever waits on the route is woken. */
void leader_paths_move_on(LeaderPaths *leader_paths);
/* The at-th hop is the next hop from now on; a new turn. */
void leader_paths_enter_hop(LeaderPaths *leader_paths, size_t at);
/* No next hop is known from now on; a new turn. */
void leader_paths_enter_lost(LeaderPaths *leader_paths);
/* As leader_paths_take and leader_paths_failed, which also start the search. Both are false when there is
 * nothing to take, or to drop. */
bool leader_paths_take_hop(LeaderPaths *leader_paths, LeaderPathTaken *taken);
bool leader_paths_drop_hop(LeaderPaths *leader_paths, const LeaderPathTaken *taken);
/* Whether this process leads. */
bool leader_paths_own_lead(const LeaderPaths *leader_paths);
/* No leader is heard to serve, from now on unless it is so already. */
void leader_paths_miss(LeaderPaths *leader_paths);
/* The nth hop as it would be taken now: 0 the leader itself, N the Nth of the other
 * controllers that are heard of and don't leave. False: there is no such hop, or it is this
 * process. */
bool leader_path_at(const LeaderPaths *leader_paths, size_t nth, LeaderPathTaken *taken);
/* Waits, wait_ms at most. Whether the hop answers a read that needs no commit. OK: *serves
 * says whether the leader serves. What the answer tells of the leader is taken in. */
Status leader_paths_ping(LeaderPaths *leader_paths, const LeaderPathTaken *taken, int64_t wait_ms, bool *serves);

#endif
