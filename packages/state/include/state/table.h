#ifndef STATE_TABLE_H
#define STATE_TABLE_H

#include "replication/replication.h"
#include "state/versions.h"

/* The replicated state machine: jobs, tasks, workers, zones and configuration versions, built from the log entries
 * (state/change.h). Every voter holds one and delivers the same entries in the same order. Delivery depends on nothing
 * but the entry and the state, so all voters reach the same state.
 *
 * Only delivery modifies the state, and delivery never suspends its coroutine, so a reader that does not suspend its
 * own sees a consistent state. No function here suspends the coroutine.
 *
 * The operators' configuration is an immutable snapshot that is replaced as a whole (config/config.h). Jobs are
 * modified in place: copy-on-write would copy tens of thousands of tasks for each of some forty changes a second. */
typedef struct Table Table;

/* Called within the delivery, after the change has been applied; must not suspend the coroutine. body is the unpacked
 * payload, with the shape that CHANGE_LIST gives, and is valid during the call; null when the payload can't be decoded.
 * Changes of unknown kinds, which a later release may have written, are not reported. */
typedef void (*TableChangeFn)(void *arg, const Record *change, const void *body, const ChangeResult *result);

/* Creates an empty state, owned by mem. */
Table *table_new(void *mem);
/* Sets the observer of changes and replaces the previous one. */
void table_watch(Table *table, TableChangeFn fn, void *arg);
/* Returns the deliver, save and load callbacks for replication_new. load replaces the entire state and thereby
 * invalidates every pointer obtained from it. */
ReplicationState table_state(Table *table);

/* --- jobs. Pointers are valid until the coroutine is next suspended. */

/* Returns the job with this id; null when it is unknown. */
const Job *table_job(const Table *table, const char *id);
/* Gets all jobs in the order of acceptance and returns their number. */
size_t table_jobs(const Table *table, Job *const **jobs);
/* Gets the jobs that have not ended, in the same order, and returns their number. */
size_t table_active_jobs(const Table *table, Job *const **jobs);
/* Returns the number of the job accepted last; 0: none yet. */
uint64_t table_last_number(const Table *table);
/* Returns whether the cancellation is recorded for a job that is not known yet (JOB_CANCEL). */
bool table_early_cancel_known(const Table *table, const JobCancel *cancel);
/* Returns the number of recorded early cancellations, at most EARLY_CANCELS_MAX. */
size_t table_early_cancels(const Table *table);
/* Returns the log time, in ms, of the oldest item that a FORGET can drop: the end of a job, the report of an orphaned
 * attempt (one that completed a task of an unknown job), or an early cancellation. INT64_MAX: there is none. */
int64_t table_oldest_droppable_ms(const Table *table);
/* Returns the number of waiting tasks (not on a worker, not ended) of a cell. */
size_t table_waiting_tasks(const Table *table, const char *cell);
/* Returns the number of jobs of a queue that have not ended. */
size_t table_queue_active_jobs(const Table *table, const char *cell, const char *queue);

/* --- workers */

/* Gets all known workers, sorted by name, and returns their number. The array is owned by mem, the rows by the
 * table. */
size_t table_workers(const Table *table, void *mem, const Worker ***workers);
/* Returns the worker with this name; null when it is unknown. */
const Worker *table_worker(const Table *table, const char *name);
/* Returns a counter that grows with each change of the worker's orders (the attempts that should be running on it); 0:
 * it never had any. */
uint64_t table_orders_version(const Table *table, const char *worker);
/* Called with the worker's name whenever its counter grows, within the delivery; must not suspend the coroutine. */
typedef void (*TableOrdersFn)(void *arg, const char *worker);
void table_watch_orders(Table *table, TableOrdersFn fn, void *arg);

/* Called with a task just before the leader takes its attempt off the worker without a report of the worker's agent, so
 * that the attempt may still be running there. Called within the delivery; must not suspend the coroutine. */
typedef void (*TableTaskTakenFn)(void *arg, const Job *job, const JobTask *task);
void table_watch_taken_tasks(Table *table, TableTaskTakenFn fn, void *arg);

/* A reference to a task on a worker: placed, running or stopping there. */
typedef struct TaskOnWorker {
    Job *job;
    size_t task; /* index in job->tasks */
} TaskOnWorker;

/* Gets the tasks on one worker, in no particular order, and returns their number. Valid until the next delivery. */
size_t table_tasks_on(const Table *table, const char *worker, const TaskOnWorker **on);
/* Returns the name of the at-th worker with a task on it, counted from 0 in no particular order; null past the last. */
const char *table_busy_worker(const Table *table, size_t at);

/* Capacity in use by the tasks on one worker, and by the tasks on any worker of a cell or of one of its tenants. */
Resources table_used_on(const Table *table, const char *worker);
Resources table_used_by(const Table *table, const char *cell);
Resources table_used_by_tenant(const Table *table, const char *cell, const char *tenant);

/* --- the operators' configuration */

/* Returns the versions of the configuration. The pointer is valid until the state is replaced (table_load_count). */
const Versions *table_versions(const Table *table);
/* Returns a counter that grows whenever the entire state is replaced: after that a version number may denote another
 * document. */
uint64_t table_load_count(const Table *table);

/* --- zones */

/* The state of a zone, set by the newest order for it (ZONE_DRAIN). An order can change any state to any other:
 *
 *     ZONE_OPEN      no order yet, or one with drained=0
 *     ZONE_DRAINING  drained=1, move=0: no new work; running tasks finish in the zone
 *     ZONE_MOVING    drained=1, move=1: no new work; running tasks are restarted elsewhere */
typedef enum ZoneState {
    ZONE_OPEN,
    ZONE_DRAINING,
    ZONE_MOVING,
} ZoneState;

ZoneState table_zone_state(const Table *table, const char *zone);
/* Returns whether the zone gets no new work. */
bool table_zone_is_drained(const Table *table, const char *zone);
/* Returns whether the tasks running in the zone are to be moved as well. */
bool table_zone_is_moving(const Table *table, const char *zone);
/* Returns the stamp of the newest order for the zone; 0: none. */
int64_t table_drain_stamp(const Table *table, const char *zone);
/* Returns the newest order for the zone; null when there is none. Valid until the next delivery. */
const ZoneDrain *table_newest_drain(const Table *table, const char *zone);
/* Gets the drained zones, sorted by name in an array owned by mem, and returns their number. */
size_t table_drained_zones(const Table *table, void *mem, const char ***zones);

/* Whether an order for a zone has been delivered or still can be. */
typedef enum DrainStatus {
    DRAIN_NEW,        /* the order can be delivered */
    DRAIN_DELIVERED,  /* the order has been delivered: this is a retry */
    DRAIN_SUPERSEDED, /* never delivered, and refused from now on: an order newer than its base has been delivered */
    DRAIN_FORGOTTEN,  /* an order newer than its base has been delivered, and this may be one no longer remembered */
} DrainStatus;
DrainStatus table_drain_status(const Table *table, const ZoneDrain *drain);

#endif
