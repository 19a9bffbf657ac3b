#ifndef HEARTBEAT_ORPHANS_H
#define HEARTBEAT_ORPHANS_H

/* Orphaned attempts: attempts that may still run on a worker although the state table no longer places them there,
 * because another attempt of the task finished or because the job's owner allows copies. The capacity that they use is
 * not free until the worker's agent has reported their end. The list exists only in the leader's memory; a new leader
 * learns of them from the first heartbeats, before which it places nothing.
 *
 * Used by the controller while it leads. Times are ms on its steady clock; no function here suspends the coroutine. */

#include "heartbeat/messages.h"
#include "state/table.h"

/* The orphaned attempts on all workers. */
typedef struct Orphans Orphans;

/* Returns an empty list, allocated on mem. */
Orphans *orphans_new(void *mem);
/* Removes all orphaned attempts, for a new leader, which knows of none. */
void orphans_reset(Orphans *orphans);
/* Adds an attempt of the task that may still run on the worker, or whose order may arrive there until until_ms. job and
 * task are read during the call only. */
void orphans_add(Orphans *orphans, const char *worker, const Job *job, const JobTask *task, uint64_t attempt,
                 int64_t until_ms);
/* Processes a heartbeat, which lists all attempts that may run on the worker. A listed attempt that the table has
 * elsewhere or not at all becomes orphaned. An orphaned attempt that a complete list (settled) lacks, and whose order
 * can no longer arrive, has ended and is removed. */
void orphans_heartbeat(Orphans *orphans, const Table *table, const HeartbeatAsk *heartbeat, int64_t now_ms);
/* Processes an agent's report that an attempt has ended: it and older attempts of the task are removed on that worker.
 */
void orphans_end(Orphans *orphans, const AttemptUpdate *update);
/* Sets *resources to the capacity that orphaned attempts use on the worker. Returns false if one of them is of unknown
 * size; the sum is then not valid. */
bool orphans_resources(const Orphans *orphans, const char *worker, Resources *resources);
/* An orphaned attempt: its job's id, the number of its task, the cell and the tenant of the job, and what it uses.
 * Texts are borrowed. */
typedef struct OrphanInfo {
    const char *job;
    uint64_t task;
    const char *cell, *tenant;
    Resources resources;
} OrphanInfo;
typedef void (*OrphanFn)(void *arg, const OrphanInfo *orphan);
/* Calls fn for each orphaned attempt on the worker whose job is known. */
void orphans_each(const Orphans *orphans, const char *worker, OrphanFn fn, void *arg);

#endif
