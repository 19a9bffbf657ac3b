#ifndef HEARTBEAT_LIVESET_H
#define HEARTBEAT_LIVESET_H

/* The live set (the paper's liveset): the workers whose lease runs, as the leader sees it. It is in
 * the leader's memory alone; a new leader rebuilds it from heartbeats, and takes nobody for lost
 * until every lease that an earlier leader granted has lapsed. A worker that is not live any more
 * has stopped its work by itself, so it is safe to restart that elsewhere.
 *
 * Used by the controller while it leads. Times are ms on its steady clock; nothing here waits. */

#include "base/arrivals.h"
#include "heartbeat/messages.h"

/* One worker, with its agent.
 * Invariants: until_ms never falls under one leader, and is never earlier than the end of a lease
 * that this or an earlier leader granted; number never falls within one incarnation. */
typedef struct LiveRow {
    const char *name;
    uint64_t incarnation;   /* of its agent */
    uint64_t number;        /* of the newest heartbeat or report received; older ones are out of date */
    int64_t until_ms;       /* its lease has lapsed after this */
    int64_t heard_ms;       /* its last heartbeat under this leader; INT64_MIN: none */
    bool worker_live;       /* its agent hears from it */
    bool leaving;           /* graceful shutdown: it is given nothing new */
    bool settled;           /* the agent's list of what runs is complete */
    int64_t joined_ms;      /* its agent's first heartbeat in this incarnation */
    Resources others;       /* capacity in use by others than our attempts */
    bool losing;            /* its loss is decided but not delivered: it gets no order until then */
    int64_t leave_until_ms; /* leaving: what runs there may run until then at least; 0: not known */
    Arrivals heartbeats;    /* how soon its agent sends the next one after an answer */
} LiveRow;

typedef struct Liveset Liveset;

/* Empty, on mem. Workers not heard of yet are taken to have lapsed. */
Liveset *liveset_new(void *mem);
/* Starts over, for a new leader: the named workers, and any heard of later, count as having a
 * lease until until_ms, and as not heard from yet. Rows read before are invalid. */
void liveset_reset(Liveset *liveset, int64_t until_ms, const char *const *workers, size_t count);
/* Takes a heartbeat that will be answered with a lease of lease_ms; until_ms of its row then covers
 * that lease on a slow clock. list_counts (out): the heartbeat is the newest and its list of what
 * runs is complete.
 * DUPLICATE_WORKER: of an older incarnation while the newer one's lease runs; changes nothing. */
Status liveset_heartbeat(Liveset *liveset, const HeartbeatAsk *heartbeat, int64_t now_ms, int64_t lease_ms,
                         bool *list_counts);
/* The agent has sent a report under this number: heartbeats with lower ones are out of date. */
void liveset_report_sent(Liveset *liveset, const char *agent, uint64_t incarnation, uint64_t number);
/* A heartbeat of the worker, which liveset_heartbeat has taken, waits for its answer from here on ... */
void liveset_asked(Liveset *liveset, const char *worker, int64_t now_ms);
/* ... and has been answered: an agent sends its next one at once. */
void liveset_answered(Liveset *liveset, const char *worker, int64_t now_ms);
/* The worker's loss is decided (true), or has been delivered (false). */
void liveset_losing(Liveset *liveset, const char *worker, bool losing);
/* The worker's row, valid until liveset_reset; null: not heard of. */
const LiveRow *liveset_find(const Liveset *liveset, const char *name);
/* Whether the worker may be given work now: live, heard within three heartbeats, and neither
 * leaving nor being declared lost. */
bool live_row_ready(const LiveRow *row, int64_t now_ms);
/* Whether its next heartbeat should have come by now, judged by how long it took until now: the worker is likely cut
 * off, frozen or dead, long before its lease lapses. It may be wrong: a hint for what is decided anew, never a reason
 * to restart what runs there. */
bool live_row_overdue(const LiveRow *row, int64_t now_ms);
/* All rows in the order of names (out; the array is on mem, the rows are the live set's); returns
 * their number. */
size_t liveset_rows(const Liveset *liveset, void *mem, const LiveRow ***rows);

#endif
