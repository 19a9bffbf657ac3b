#ifndef STATE_TABLE_H
#define STATE_TABLE_H

#include "replication/replication.h"
#include "state/versions.h"

/* The replicated state machine: jobs, tasks, workers, zones and versions of the
 * configuration, as the log's entries (state/change.h) build them up. Every voter holds
 * one and delivers the same entries in the same order; delivery depends on the entry and
 * the state alone, so all come to the same state.
 *
 * Only delivery changes it, and delivery never waits, so whoever reads it without waiting
 * sees one moment of it. No function here waits.
 *
 * The operators' configuration is an immutable snapshot that is swapped as a whole (config/config.h). The jobs are
 * changed in place: tens of thousands of tasks would be copied for each of some forty changes a second. */
typedef struct Table Table;

/* Called after each change has been delivered, within the delivery; must not wait. body
 * is the payload unpacked, of the shape that CHANGE_LIST names, and valid during the call;
 * null: it can't be read, or is of a later release. */
typedef void (*TableFn)(void *arg, const Record *change, const void *body, const ChangeResult *result);

/* An empty state on mem, which owns it. */
Table *table_new(void *mem);
/* Sets the one watcher; a later one replaces it. */
void table_watch(Table *table, TableFn fn, void *arg);
/* Deliver, save and load, for replication_new. load replaces the whole state: every pointer that
 * was got from it before is invalid then. */
ReplicationState table_state(Table *table);

/* --- jobs. Pointers are valid until the next wait. */

/* Null: not known. */
const Job *table_job(const Table *table, const char *id);
/* All jobs in the order of acceptance; the count is returned. */
size_t table_jobs(const Table *table, Job *const **jobs);
/* Those that have not ended, likewise. */
size_t table_active(const Table *table, Job *const **jobs);
/* The number of the job accepted last; 0: none has been. */
uint64_t table_last_number(const Table *table);
/* Log time, in ms, of the oldest thing that a FORGET would drop: the end of a job, or the report of an orphaned attempt
 * (one that finished a task of an unknown job); INT64_MAX: nothing. */
int64_t table_oldest_ms(const Table *table);
/* Waiting tasks (not on a worker, not ended) of a cell. */
size_t table_waiting(const Table *table, const char *cell);
/* Jobs of a queue that have not ended. */
size_t table_waiting_in(const Table *table, const char *cell, const char *queue);

/* --- workers */

/* All known workers in the order of their names; the array is on mem, the rows are the
 * table's. The count is returned. */
size_t table_workers(const Table *table, void *mem, const Worker ***workers);
/* Null: not known. */
const Worker *table_worker(const Table *table, const char *name);
/* A counter that grows with each change of the worker's orders (the attempts that should
 * be running there); 0: it never had any. */
uint64_t table_orders(const Table *table, const char *worker);
/* Called with the worker whenever that counter grows, within the delivery; must not wait. */
typedef void (*TableOrdersFn)(void *arg, const char *worker);
void table_orders_watch(Table *table, TableOrdersFn fn, void *arg);

/* Called with a task whose attempt is about to be over by decision of the leader, without a report of the worker's
 * agent: it may still run on the worker. Within the delivery; must not wait. */
typedef void (*TableLeftFn)(void *arg, const Job *job, const JobTask *task);
void table_left_watch(Table *table, TableLeftFn fn, void *arg);

/* A task on a worker: placed, running or stopping there. */
typedef struct TaskOn {
    Job *job;
    size_t task; /* its index */
} TaskOn;

/* All of one worker, in no order; the count is returned. Valid until the next delivery. */
size_t table_tasks_on(const Table *table, const char *worker, const TaskOn **on);
/* The workers that have a task on them, at 0, 1, ..., in no order; null past the last. */
const char *table_busy(const Table *table, size_t at);

/* Capacity in use by the tasks on a worker, and by all of a cell or of one of its
 * tenants, wherever they are. */
Resources table_used_on(const Table *table, const char *worker);
Resources table_used_by(const Table *table, const char *cell);
Resources table_used_by_tenant(const Table *table, const char *cell, const char *tenant);

/* --- the operators' configuration */

/* Its versions. The pointer is valid until the state is replaced (table_loads). */
const Versions *table_versions(const Table *table);
/* Grows whenever the whole state is replaced: after that a version number may belong to another document. */
uint64_t table_loads(const Table *table);

/* --- zones */

/* The state of a zone, as the newest order for it (ZONE_DRAIN) says. An order can change it from any state to any
 * other:
 *
 *     ZONE_OPEN      no order yet, or one with drained=0
 *     ZONE_DRAINING  drained=1, move=0: no new work; what runs there ends there
 *     ZONE_MOVING    drained=1, move=1: no new work; what runs there is restarted elsewhere */
typedef enum ZoneState {
    ZONE_OPEN,
    ZONE_DRAINING,
    ZONE_MOVING,
} ZoneState;

ZoneState table_zone(const Table *table, const char *zone);
/* Whether the zone gets no new work. */
bool table_drained(const Table *table, const char *zone);
/* Whether what runs there is to be moved, too. */
bool table_drain_moves(const Table *table, const char *zone);
/* The stamp of the newest order for the zone; 0: none. */
int64_t table_drain_stamp(const Table *table, const char *zone);
/* Null: there was none. Valid until the next delivery. */
const ZoneDrain *table_drain_newest(const Table *table, const char *zone);
/* The zones that are drained, in the order of their names, on mem; the count is returned. */
size_t table_drains(const Table *table, void *mem, const char ***zones);

/* Whether an order for a zone has been delivered, or still can be. */
typedef enum DrainKnown {
    DRAIN_NEW,       /* it may be delivered */
    DRAIN_TAKEN,     /* it has been delivered: this is a retry */
    DRAIN_OVERTAKEN, /* it has not been, and later orders than its base have: it never will be */
    DRAIN_FORGOTTEN, /* later orders than its base have been, and it may be one that is no longer remembered */
} DrainKnown;
DrainKnown table_drain_known(const Table *table, const ZoneDrain *drain);

#endif
