#ifndef HEARTBEAT_LIVESET_H
#define HEARTBEAT_LIVESET_H

#include "heartbeat/messages.h"

/* One worker as the leader sees it. Invariant: until_ms is never earlier than
 * the end of any lease that this or an earlier leader may have answered. */
typedef struct LiveRow {
    const char *name;
    uint64_t incarnation;
    uint64_t number;  /* of the newest heartbeat or telling received */
    int64_t until_ms; /* its lease has lapsed after this, by the leader's clock */
    int64_t heard_ms; /* its last heartbeat under this leader; INT64_MIN: none */
    bool worker_live;
    bool leaving;
    bool settled;
    int64_t joined_ms;
    Room others;            /* room in use by what is not ours */
    bool losing;            /* its loss is decided but not delivered: it gets no order until then */
    int64_t leave_until_ms; /* leaving: what runs there may run until then at least; 0: not told */
} LiveRow;

/* The liveset: the leader's, rebuilt by each new one. */
typedef struct Liveset Liveset;

Liveset *liveset_new(void *mem);
/* A new leader: nobody is lost before until_ms, nobody has been heard yet. */
void liveset_reset(Liveset *liveset, int64_t until_ms, const char *const *workers, size_t count);
/* Takes a heartbeat that is answered with a lease of lease_ms; the row's until_ms covers it
 * on the agent's clock and on the worker's.
 * DUPLICATE_WORKER: another incarnation that is not the newer one. */
Status liveset_heartbeat(Liveset *liveset, const HeartbeatAsk *heartbeat, int64_t now_ms, int64_t lease_ms,
                         bool *list_counts);
/* A telling counts as newer than all heartbeats numbered before it. */
void liveset_told(Liveset *liveset, const char *agent, uint64_t incarnation, uint64_t number);
void liveset_losing(Liveset *liveset, const char *worker, bool losing);
const LiveRow *liveset_find(const Liveset *liveset, const char *name);
/* Whether the worker may be given work now. */
bool live_row_ready(const LiveRow *row, int64_t now_ms);
/* Rows in the order of names, on mem. */
size_t liveset_rows(const Liveset *liveset, void *mem, const LiveRow ***rows);

#endif
