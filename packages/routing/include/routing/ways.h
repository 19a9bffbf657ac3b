#ifndef ROUTING_WAYS_H
#define ROUTING_WAYS_H

#include "routing/messages.h"
#include "member/members.h"

/* How the leader is reached from here: directly, or through another controller that still
 * reaches it. One way is in use; it is left when it fails, and while it is not known
 * whether another leads anywhere, one task looks and nobody else tries.
 *
 * Also when the leader was last heard to serve, so that readiness costs no question. */
typedef struct Ways Ways;

/* Whether this process leads now. Null: it never does. */
typedef bool (*WaysLeads)(const void *arg);

Ways *ways_new(void *mem, Loop *loop, Rpc *rpc, Members *members, WaysLeads leads, const void *arg);
void ways_start(Ways *ways);

/* One way, as it was taken. Invariant: turn names the state of the ways in which it
 * was the one in use; they have moved on when theirs is another. */
typedef struct WaysTaken {
    uint64_t turn;
    bool own;   /* this process leads: nobody is asked */
    bool relay; /* the one asked carries it on */
    char address[ADDRESS_MAX];
    PeerLife peer; /* who is meant there */
} WaysTaken;

/* False: no way is known now. */
bool ways_take(Ways *ways, WaysTaken *taken);
bool ways_current(const Ways *ways, const WaysTaken *taken);
/* Raised when the ways move on. */
Signal *ways_moved(Ways *ways);
/* Since when no way has been known; INT64_MAX while one is. */
int64_t ways_lost_ms(const Ways *ways);

/* Waits. Whether whoever stands at the way's end still answers. */
bool ways_alive(Ways *ways, const WaysTaken *taken);
/* The way has failed: another is looked for. */
void ways_failed(Ways *ways, const WaysTaken *taken);
/* Something came back along it. serves: from a leader that serves. */
void ways_heard(Ways *ways, const WaysTaken *taken, bool serves);
/* When something last came back along the way in use. */
int64_t ways_heard_ms(const Ways *ways);
/* Who leads, as one who is no leader told with his refusal. */
void ways_told(Ways *ways, const ForwardAnswer *answer);
/* A leader that serves was heard of, and nothing to the contrary for so long. */
bool ways_serve(const Ways *ways);

#endif
