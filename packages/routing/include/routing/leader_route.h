#ifndef ROUTING_LEADER_ROUTE_H
#define ROUTING_LEADER_ROUTE_H

#include "member/members.h"
#include "routing/messages.h"

/* The route from this process to the leader: the next hop is the leader itself, or another controller that still
 * reaches it. Used by the forwarder and by the configuration watch; both report failures and answers, and a single
 * coroutine searches for another next hop when one is needed.
 *
 * The route also records when the leader last reported that it serves, so that a readiness check needs no request.
 * Times are in ms, by the loop's clock. */
typedef struct LeaderRoute LeaderRoute;

/* Returns whether this process leads now. A null function stands for a process that never leads. */
typedef bool (*LeaderRouteLeads)(const void *arg);

/* Allocated on mem; loop, RPC endpoint and members must outlive it. arg is passed to leads. No next hop is known at
 * first. */
LeaderRoute *leader_route_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderRouteLeads leads,
                              const void *arg);
/* Starts to track which process leads, as the membership reports it (members_leader_signal). */
void leader_route_start(LeaderRoute *leader_route);

/* A next hop of the route. Invariant: generation is the route's when this hop was returned; if the route's generation
 * differs, the route has been replaced since. */
typedef struct LeaderHop {
    uint64_t generation;
    bool self;  /* this process leads: the request is served here */
    bool relay; /* the process at the address does not lead and relays the request to the leader */
    char address[ADDRESS_MAX];
    PeerIdentity peer; /* the process that is expected at the address */
} LeaderHop;

/* Returns the present next hop in *hop. False: no next hop is known; the search for one has been started, if a leader
 * was ever known. */
bool leader_route_next_hop(LeaderRoute *leader_route, LeaderHop *hop);
/* Whether the route has not been replaced since it returned hop. */
bool leader_route_is_current(const LeaderRoute *leader_route, const LeaderHop *hop);
/* Raised when the route is replaced or lost; owned by the route. */
Signal *leader_route_changed_signal(LeaderRoute *leader_route);
/* Time since which no next hop has been known; INT64_MAX: one is known, or this process leads. */
int64_t leader_route_lost_since_ms(const LeaderRoute *leader_route);
/* Time at which a next hop is expected to be known; the present time if one is known. It is the later of two
 * estimates: the usual duration of a loss after this one began, by earlier losses; and as far ahead of now as the loss
 * has lasted. It is never more than ELECTION_MS ahead. */
int64_t leader_route_expected_ms(const LeaderRoute *leader_route);

/* Suspends the coroutine, for a few hundred ms at most. Returns whether the hop still answers. */
bool leader_route_check_hop(LeaderRoute *leader_route, const LeaderHop *hop);
/* Reports that the hop has failed: the search for another one starts. Has no effect if the route has been replaced
 * since it returned hop. */
void leader_route_report_failure(LeaderRoute *leader_route, const LeaderHop *hop);
/* Records an answer that came through hop. serves: the answer came from a leader that serves. */
void leader_route_record_answer(LeaderRoute *leader_route, const LeaderHop *hop, bool serves);
/* Time of the last recorded answer; INT64_MIN: none yet. */
int64_t leader_route_last_answer_ms(const LeaderRoute *leader_route);
/* Records the leader that a process which does not lead named in its refusal. */
void leader_route_learn_leader(LeaderRoute *leader_route, const ForwardAnswer *answer);
/* Whether a leader serves: one has reported so, and if none serves at present, then for no longer than a change of
 * leader takes. */
bool leader_route_leader_serves(const LeaderRoute *leader_route);

#endif
