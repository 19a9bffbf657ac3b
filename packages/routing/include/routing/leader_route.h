#ifndef ROUTING_LEADER_ROUTE_H
#define ROUTING_LEADER_ROUTE_H

#include "member/members.h"
#include "routing/messages.h"

/* The route to the leader from this process: the next hop is the leader itself, or another
 * controller that still reaches it. Used by the forwarder and by the configuration watch;
 * both report failures and answers, and a single coroutine searches for another next hop
 * when one is needed.
 *
 * It also records when the leader last said that it serves, so that readiness checks cost no request.
 * Times are those of the loop's clock, in ms. */
typedef struct LeaderRoute LeaderRoute;

/* Whether this process leads now. Null: it never does. */
typedef bool (*LeaderRouteLeads)(const void *arg);

/* Lives on mem; loop, RPC endpoint and members outlive it. No next hop is known at first. */
LeaderRoute *leader_route_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderRouteLeads leads,
                              const void *arg);
/* Starts to follow who leads, as the membership knows it (members_leader_signal). */
void leader_route_start(LeaderRoute *leader_route);

/* The next hop, as it was taken from the route. Invariant: generation is that of the route then; when the route's is
 * another one, the route has been replaced since. */
typedef struct LeaderHop {
    uint64_t generation;
    bool own;   /* this process leads: no other is asked */
    bool relay; /* the process asked is no leader and relays the request to it */
    char address[ADDRESS_MAX];
    PeerIdentity peer; /* the process that is meant at the address */
} LeaderHop;

/* Takes the next hop. False: none is known now; the search for one has been started. */
bool leader_route_take(LeaderRoute *leader_route, LeaderHop *taken);
/* Whether the route is still the one that was taken. */
bool leader_route_current(const LeaderRoute *leader_route, const LeaderHop *taken);
/* Raised when the route is replaced or lost. It lives as long as the route. */
Signal *leader_route_moved(LeaderRoute *leader_route);
/* Since when no next hop has been known; INT64_MAX: one is known, or this process leads. */
int64_t leader_route_lost_ms(const LeaderRoute *leader_route);
/* When a next hop should be known again, in ms, by how long that took after earlier losses; once that has passed, after
 * as long again as there has been none, but never more than ELECTION_MS from now. Now, where one is known. */
int64_t leader_route_found_ms(const LeaderRoute *leader_route);

/* Waits, some hundred ms at most. Whether the next hop that was taken still answers. */
bool leader_route_alive(LeaderRoute *leader_route, const LeaderHop *taken);
/* The next hop that was taken has failed: another is searched for. Nothing is done when the
 * route has been replaced since. */
void leader_route_failed(LeaderRoute *leader_route, const LeaderHop *taken);
/* Something came back along the route that was taken. serves: from a leader that serves. */
void leader_route_heard(LeaderRoute *leader_route, const LeaderHop *taken, bool serves);
/* When something last came back along the route in use; INT64_MIN: never. */
int64_t leader_route_heard_ms(const LeaderRoute *leader_route);
/* Learns who leads from the refusal of a process that does not. */
void leader_route_learn(LeaderRoute *leader_route, const ForwardAnswer *answer);
/* Whether a leader serves: one has said so, and if none serves now, not for longer than a change of leader takes. */
bool leader_route_serve(const LeaderRoute *leader_route);

#endif
