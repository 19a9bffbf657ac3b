#ifndef HEARTBEAT_ORPHANS_H
#define HEARTBEAT_ORPHANS_H

/* Orphaned attempts: those that may still run on a worker though the state table does not place
 * them there any more, because another attempt of the task finished, or because its owner allows
 * copies. The capacity they use is not free until the worker's agent has reported that they are
 * over. The list is in the leader's memory alone; a new leader learns of them from the first
 * heartbeats, before which it places nothing.
 *
 * Used by the controller while it leads. Times are ms on its steady clock; nothing here waits. */

#include "heartbeat/messages.h"
#include "state/table.h"

typedef struct Orphans Orphans;

/* Empty, on mem. */
Orphans *orphans_new(void *mem);
/* Forgets all: a new leader knows of none. */
void orphans_reset(Orphans *orphans);
/* An attempt of the task may still run on the worker, or the order for it may arrive there until
 * until_ms. job and task are only read. */
void orphans_add(Orphans *orphans, const char *worker, const Job *job, const JobTask *task, uint64_t attempt,
                 int64_t until_ms);
/* Takes a heartbeat, which lists all attempts that may run there: a listed one that the table has elsewhere or
 * not at all is orphaned, and an orphaned one is over that is not listed and whose order can't arrive any more. */
void orphans_heartbeat(Orphans *orphans, const Table *table, const HeartbeatAsk *heartbeat, int64_t now_ms);
/* The agent has reported an attempt's end: it and older ones of the task are over there. */
void orphans_end(Orphans *orphans, const AttemptUpdate *update);
/* Sums up the capacity that orphaned attempts use on the worker (out). False: one of unknown size is
 * among them, and the sum means nothing. */
bool orphans_resources(const Orphans *orphans, const char *worker, Resources *resources);
/* Calls fn with the cell, the tenant and the demand of each orphaned attempt on the worker whose job the table had. */
typedef void (*OrphanFn)(void *arg, const char *cell, const char *tenant, Resources resources);
void orphans_each(const Orphans *orphans, const char *worker, OrphanFn fn, void *arg);

#endif
