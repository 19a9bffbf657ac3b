#ifndef ROUTING_LEADER_PATHS_H
#define ROUTING_LEADER_PATHS_H

#include "routing/messages.h"
#include "member/members.h"

/* The route to the leader from this process: the next hop is the leader itself, or another
 * controller that still reaches it. Used by the forwarder and by the configuration watch;
 * both report what they see, so that one coroutine searches for another next hop and nobody
 * else tries meanwhile.
 *
 * It also knows when the leader was last heard to serve, so that readiness costs no question.
 * Times are those of the loop's clock, in ms. */
typedef struct LeaderPaths LeaderPaths;

/* Whether this process leads now. Null: it never does. */
typedef bool (*LeaderPathsLeads)(const void *arg);

/* Lives on mem; loop, RPC endpoint and members outlive it. No next hop is known at first. */
LeaderPaths *leader_paths_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderPathsLeads leads,
                              const void *arg);
/* Starts to follow who leads, as the membership is notified of it. */
void leader_paths_start(LeaderPaths *leader_paths);

/* The next hop, as it was taken. Invariant: turn is that of the route then; the route has
 * been replaced since when its turn is another one. */
typedef struct LeaderPathTaken {
    uint64_t turn;
    bool own;   /* this process leads: nobody is asked */
    bool relay; /* the process asked is no leader and relays the request to it */
    char address[ADDRESS_MAX];
    PeerLife peer; /* the incarnation that is meant there */
} LeaderPathTaken;

/* Takes the next hop. False: none is known now; the search for one has been started. */
bool leader_paths_take(LeaderPaths *leader_paths, LeaderPathTaken *taken);
/* Whether the route is still the one that was taken. */
bool leader_paths_current(const LeaderPaths *leader_paths, const LeaderPathTaken *taken);
/* Raised when the route is replaced or lost. It lives as long as ways. */
Signal *leader_paths_moved(LeaderPaths *leader_paths);
/* Since when no next hop has been known; INT64_MAX while one is, or this process leads. */
int64_t leader_paths_lost_ms(const LeaderPaths *leader_paths);

/* Waits, some hundred ms at most. Whether the next hop that was taken still answers. */
bool leader_paths_alive(LeaderPaths *leader_paths, const LeaderPathTaken *taken);
/* The next hop that was taken has failed: another is searched for. Nothing is done when the
 * route has been replaced since. */
void leader_paths_failed(LeaderPaths *leader_paths, const LeaderPathTaken *taken);
/* Something came back along the route that was taken. serves: from a leader that serves. */
void leader_paths_heard(LeaderPaths *leader_paths, const LeaderPathTaken *taken, bool serves);
/* When something last came back along the route in use; INT64_MIN: never. */
int64_t leader_paths_heard_ms(const LeaderPaths *leader_paths);
/* Takes in who leads, as a process that does not lead said with its refusal. */
void leader_paths_notified(LeaderPaths *leader_paths, const ForwardAnswer *answer);
/* Whether a leader serves: one was heard to, and has not been missed for longer than a
 * change of leader takes. */
bool leader_paths_serve(const LeaderPaths *leader_paths);

#endif
