#ifndef STATE_TABLE_H
#define STATE_TABLE_H

#include "state/versions.h"
#include "replication/replication.h"

/* The state that the ordered log builds up: jobs, workers, configuration,
 * drains. Only delivery changes it, and delivery never waits, so whoever reads
 * it without waiting sees one moment of it.
 *
 * The users' habit is that tables are immutable snapshots swapped whole. The
 * configuration here is one. The jobs are not: ten thousands of tasks would be
 * copied for each of some forty changes a second. */
typedef struct Table Table;

/* Told after each change has been delivered, within the delivery; does not wait. body
 * is the change unpacked, of the shape that CHANGE_LIST names; null: it can't be read,
 * or is of a later release. */
typedef void (*TableFn)(void *arg, const Record *change, const void *body, const ChangeResult *result);

Table *table_new(void *mem);
void table_watch(Table *table, TableFn fn, void *arg);
/* For replication_new. */
ReplicationState table_state(Table *table);

/* Jobs. Pointers are valid until the next wait. */
const Job *table_job(const Table *table, const char *id);
/* All jobs in the order of acceptance. */
size_t table_jobs(const Table *table, Job *const **jobs);
/* Those that have not ended. */
size_t table_active(const Table *table, Job *const **jobs);
uint64_t table_last_number(const Table *table);
/* Log time of the oldest that a FORGET would drop: the first end of a job, or a word
 * of an unknown one; INT64_MAX: nothing. */
int64_t table_oldest_ms(const Table *table);

/* Workers, in the order of their names, on mem. */
size_t table_workers(const Table *table, void *mem, const Worker ***workers);
const Worker *table_worker(const Table *table, const char *name);
/* Grows with each change that concerns the worker's orders; 0 when unknown. */
uint64_t table_orders(const Table *table, const char *worker);
/* Told of the worker whenever that grows, within the delivery; does not wait. */
typedef void (*TableOrdersFn)(void *arg, const char *worker);
void table_orders_watch(Table *table, TableOrdersFn fn, void *arg);

/* Told of an attempt that is about to leave its worker without a word of the worker's
 * agent: it may still run there. Within the delivery; does not wait. */
typedef void (*TableLeftFn)(void *arg, const Job *job, const JobTask *task);
void table_left_watch(Table *table, TableLeftFn fn, void *arg);

/* A task on a worker: placed, running or stopping there. */
typedef struct TaskOn {
    Job *job;
    size_t task; /* its index */
} TaskOn;

/* All of one worker, in no order. */
size_t table_on(const Table *table, const char *worker, const TaskOn **on);
/* The workers that have a task on them, from 0, in no order; null past the last. */
const char *table_busy(const Table *table, size_t at);

/* What is in use by the tasks on a worker, and by all of a cell or of one of its
 * tenants, wherever they are. */
Room table_used_on(const Table *table, const char *worker);
Room table_used_by(const Table *table, const char *cell);
Room table_used_by_tenant(const Table *table, const char *cell, const char *tenant);

/* Configuration: the newest, and those that can be read back. */
const Versions *table_versions(const Table *table);
/* Grows whenever the whole state is replaced: what is remembered of a version of
 * an earlier one may be of another document. */
uint64_t table_loads(const Table *table);

bool table_drained(const Table *table, const char *zone);
/* Emptied, and what runs there is to be moved. */
bool table_drain_moves(const Table *table, const char *zone);
/* The stamp of the newest order for the zone; 0: none. */
int64_t table_drain_stamp(const Table *table, const char *zone);
/* Null: there was none. */
const ZoneDrain *table_drain_newest(const Table *table, const char *zone);
size_t table_drains(const Table *table, void *mem, const char ***zones);

/* What an order for a zone is to the state. */
typedef enum DrainKnown {
    DRAIN_NEW,       /* it may be taken */
    DRAIN_TAKEN,     /* it has been delivered: it is sent again */
    DRAIN_OVERTAKEN, /* it has not been, and others have since its base: it never will be */
    DRAIN_FORGOTTEN, /* others have since its base, and it may be one that is not remembered */
} DrainKnown;
DrainKnown table_drain_known(const Table *table, const ZoneDrain *drain);

/* Waiting tasks (not on a worker, not ended) of a cell. */
size_t table_waiting(const Table *table, const char *cell);
/* Jobs of a queue that have not ended. */
size_t table_waiting_in(const Table *table, const char *cell, const char *queue);

#endif
