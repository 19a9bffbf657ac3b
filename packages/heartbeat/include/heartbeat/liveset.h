#ifndef HEARTBEAT_LIVESET_H
#define HEARTBEAT_LIVESET_H

/* The live set (the liveset of XenServer's HA design): the workers whose lease is valid, as known to the leader. It
 * exists only in the leader's memory; a new leader rebuilds it from heartbeats, and declares no worker lost before
 * every lease granted by an earlier leader has expired. A worker that is no longer live has stopped its work by itself,
 * so it is safe to restart that work elsewhere.
 *
 * Used by the controller while it leads. Times are ms on its steady clock; no function here suspends the coroutine. */

#include "base/arrivals.h"
#include "heartbeat/messages.h"

/* One worker, with its agent.
 * Invariants: until_ms never decreases under one leader, and is never earlier than the end of a lease that this or an
 * earlier leader granted; number never decreases within one incarnation. */
typedef struct LiveRow {
    const char *name;          /* of the worker */
    uint64_t incarnation;      /* of the agent */
    uint64_t number;           /* of the newest heartbeat or report received; messages with lower ones are outdated */
    int64_t until_ms;          /* its lease has expired after this time */
    int64_t last_heartbeat_ms; /* when its last heartbeat under this leader arrived; INT64_MIN: none has */
    bool worker_live;          /* its agent receives messages from it */
    bool leaving;              /* graceful shutdown: it gets no new work */
    bool settled;              /* the agent's list of running attempts is complete */
    int64_t joined_ms;         /* when the agent's first heartbeat in this incarnation arrived */
    Resources other_usage;     /* capacity in use by others than this system's attempts */
    bool loss_pending;         /* its loss is decided but not yet delivered: it gets no order until then */
    bool
        description_pending; /* the worker's new description is not delivered yet: nothing is placed there until then */
    int64_t leave_until_ms;  /* if leaving: attempts there may run at least until this time; 0: not known */
    Arrivals heartbeats;     /* statistics of the time from an answer to the agent's next heartbeat */
} LiveRow;

/* All workers that this leader knows. */
typedef struct Liveset Liveset;

/* Returns an empty live set, allocated on mem. The leases of unknown workers count as expired. */
Liveset *liveset_new(void *mem);
/* Resets the live set for a new leader: the named workers, and any that become known later, count as having a lease
 * until until_ms and as having sent no heartbeat. Rows obtained earlier become invalid. */
void liveset_reset(Liveset *liveset, int64_t until_ms, const char *const *workers, size_t count);
/* Processes a heartbeat that will be answered with a lease of lease_ms; until_ms of the row then covers that lease on a
 * slow clock. list_counts (out): the heartbeat is the newest one and its list of running attempts is complete.
 * DUPLICATE_WORKER: the heartbeat is of an older incarnation while the lease of the newer one is valid; changes
 * nothing. */
Status liveset_heartbeat(Liveset *liveset, const HeartbeatAsk *heartbeat, int64_t now_ms, int64_t lease_ms,
                         bool *list_counts);
/* Records that the agent has sent a report with this number: heartbeats with lower numbers are outdated. */
void liveset_report_sent(Liveset *liveset, const char *agent, uint64_t incarnation, uint64_t number);
/* Records that a heartbeat of the worker, already processed by liveset_heartbeat, awaits its answer from now on. */
void liveset_heartbeat_waiting(Liveset *liveset, const char *worker, int64_t now_ms);
/* Records that the heartbeat has been answered: the agent sends its next one immediately. */
void liveset_heartbeat_answered(Liveset *liveset, const char *worker, int64_t now_ms);
/* Records that the worker's loss is decided (true) or has been delivered (false). */
void liveset_set_loss_pending(Liveset *liveset, const char *worker, bool losing);
/* Records whether the worker describes itself otherwise than the state table does. */
void liveset_set_description_pending(Liveset *liveset, const char *worker, bool pending);
/* The worker's row, valid until liveset_reset; NULL: the worker is unknown. */
const LiveRow *liveset_find(const Liveset *liveset, const char *name);
/* Whether the worker may be given work now: its lease is valid, it is live, its agent sent a heartbeat within the last
 * three intervals and has a complete list of running attempts, its description is in the state table, and the worker is
 * neither leaving nor being declared lost. */
bool live_row_ready(const LiveRow *row, int64_t now_ms);
/* Whether the next heartbeat is overdue, judged by the usual time between heartbeats. The worker is then probably
 * disconnected, frozen or dead, long before its lease expires. This is only a hint for new decisions and may be wrong;
 * it is never a reason to restart what runs on the worker. */
bool live_row_overdue(const LiveRow *row, int64_t now_ms);
/* Sets *rows to all rows in the order of names; the array is allocated on mem, the rows are owned by the live set.
 * Returns their number. */
size_t liveset_rows(const Liveset *liveset, void *mem, const LiveRow ***rows);

#endif
