#ifndef STATE_SRC_TABLE_INTERNAL_H
#define STATE_SRC_TABLE_INTERNAL_H

/* The data of the state table, shared by the sources of this package. Each source has a header and depends only on
 * those above it in this list:
 *
 *     job_list        lists of jobs
 *     worker_tasks    the tasks on each worker
 *     phase           every change of a task's or a job's phase
 *     gang, attempt   effect of the end of an attempt on its gang and its task
 *     orphan          completed tasks of unknown jobs
 *     early_cancel    cancellations of unknown jobs
 *     deliver*        one function for each kind of change (deliver.h)
 *     state_snapshot  saving the state as a snapshot and loading it
 *     table           the empty state, the getters, and the dispatch of changes */

#include "base/map.h"
#include "job_list.h"
#include "state/table.h"

/* The tasks and the orders of a worker. Invariants: name is owned by the row, and JobTask.worker points to it; tasks
 * holds exactly the tasks on this worker, each with its index in JobTask.on_at. A row is never dropped. */
typedef struct WorkerTasks {
    const char *name;
    uint64_t orders_version; /* number of changes of the orders, see table_orders_version */
    TaskOnWorker *tasks;
    size_t count, capacity; /* capacity: number of allocated slots */
    Resources used;         /* capacity in use by the tasks */
    size_t busy_index;      /* index in Table.busy; undefined while count is 0 */
} WorkerTasks;

/* Number of waiting tasks of a cell. */
typedef struct CellSum {
    size_t waiting;
} CellSum;

/* Number of jobs of a queue that have not ended. */
typedef struct QueueSum {
    size_t jobs;
} QueueSum;

/* An orphaned attempt: a report that a task of an unknown job is done. The disks lost the job, and its caller will
 * submit it again. */
#define ORPHAN_FIELDS(X) \
    X(TXT, job, 0)       \
    X(U64, task, 0)      \
    X(U64, attempt, 0)   \
    X(I64, at_ms, 0) /* log time of the report, in ms */
SHAPE(Orphan, ORPHAN_FIELDS)

/* A cancellation that was acknowledged while no job had its id; cell and tenant as in JobCancel. */
#define EARLY_CANCEL_FIELDS(X) \
    X(TXT, id, 0)              \
    X(TXT, cell, 0)            \
    X(TXT, tenant, 0)          \
    X(I64, at_ms, 0) /* log time of the newest cancellation, in ms */
SHAPE(EarlyCancel, EARLY_CANCEL_FIELDS)

/* A delivered order for a zone. order is empty when the order had no name, or when the row represents all orders up to
 * its stamp that are no longer remembered. */
#define ZONE_ORDER_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(TXT, order, 0)         \
    X(I64, stamp, 0)
SHAPE(ZoneOrder, ZONE_ORDER_FIELDS)

/* The orders for one zone. Invariants: rows are sorted by stamp, the last row belongs to the newest order, and only the
 * first row may represent several orders. */
typedef struct ZoneOrders {
    ZoneDrain newest;
    size_t count;
    ZoneOrder rows[ZONE_ORDERS_MAX];
} ZoneOrders;

/* The state table. Invariants: by_id and accepted hold the same jobs; active holds those that have not ended, and ended
 * the others; accepted and active are sorted by number, ended by the time of the end; sorted_workers holds the same
 * workers as workers, sorted by name. */
struct Table {
    void *mem;  /* talloc parent of everything below; replaced when a state is loaded */
    Map *by_id; /* job id to Job */
    JobList accepted, active, ended;
    uint64_t last_number;
    Map *workers; /* worker name to Worker */
    Worker **sorted_workers;
    size_t sorted_count, sorted_capacity;
    Map *worker_tasks;  /* worker name to WorkerTasks */
    WorkerTasks **busy; /* the workers with a task on them, in no particular order */
    size_t busy_count, busy_capacity;
    Map *cells;      /* cell name to CellSum */
    Map *used;       /* "cell" and "cell/tenant" to the Resources that its tasks use on workers */
    Map *queues;     /* "cell/queue" to QueueSum */
    Orphan *orphans; /* dropped by FORGET, as ended jobs are; the texts are owned by mem */
    size_t orphan_count;
    Map *early_cancel_keys;      /* id and scope to EarlyCancel, see early_cancel.c */
    EarlyCancel **early_cancels; /* the same rows, in no particular order; dropped by FORGET */
    size_t early_cancel_count, early_cancel_capacity;
    Map *zone_orders; /* zone name to ZoneOrders */
    Versions *versions;
    uint64_t loads; /* number of times the state was replaced */
    /* Observers; they remain when a state is loaded. */
    TableChangeFn change_fn;
    void *change_arg;
    TableOrdersFn orders_fn;
    void *orders_arg;
    TableTaskTakenFn taken_fn;
    void *taken_arg;
};

#endif
