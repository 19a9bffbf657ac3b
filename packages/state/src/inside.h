#ifndef STATE_SRC_INSIDE_H
#define STATE_SRC_INSIDE_H

/* The data of the state table, shared by the sources of this package. Each source has a header and uses only those
 * before it in this order:
 *
 *     job_list        lists of jobs
 *     on_worker       the tasks on each worker
 *     phase           every change of a task's or a job's phase
 *     gang, attempt   what the end of one attempt means to a gang, and to its task
 *     orphan          finished tasks of unknown jobs
 *     deliver*        one function for each kind of change (deliver.h)
 *     saved           the state as a snapshot and back
 *     table           the empty state, its getters, and the dispatch of changes */

#include "base/map.h"
#include "job_list.h"
#include "state/table.h"

/* A worker's tasks and orders. Invariants: name is owned by the row, and tasks point to it; on has exactly the tasks
 * whose worker it is, and each of them has its index there in on_at. A row is never dropped. */
typedef struct WorkerOn {
    const char *name;
    uint64_t version; /* counts changes of the orders, see table_orders */
    TaskOn *on;
    size_t count, capacity; /* capacity: slots allocated */
    Resources used;         /* capacity in use by them */
    size_t busy_at;         /* its index in Table.busy; meaningless while count is 0 */
} WorkerOn;

/* Waiting tasks of a cell. */
typedef struct CellSum {
    size_t waiting;
} CellSum;

/* Jobs of a queue that have not ended. */
typedef struct QueueSum {
    size_t jobs;
} QueueSum;

/* An orphaned attempt: a task reported done of a job that is not known (any more, or yet).
 * The disks lost the job, and its caller will submit it again. */
#define ORPHAN_FIELDS(X) \
    X(TXT, job, 0)       \
    X(U64, task, 0)      \
    X(U64, attempt, 0)   \
    X(I64, at_ms, 0) /* ms; log time of the report */
SHAPE(Orphan, ORPHAN_FIELDS)

/* One order for a zone that was delivered. order "": it had no name, or the row stands for all orders up to its stamp
 * that are no longer remembered. */
#define ZONE_ORDER_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(TXT, order, 0)         \
    X(I64, stamp, 0)
SHAPE(ZoneOrder, ZONE_ORDER_FIELDS)

/* The orders for one zone. Invariants: rows are sorted by stamp and the last one's is the
 * newest order's; at most the first stands for several. */
typedef struct ZoneOrders {
    ZoneDrain newest;
    size_t count;
    ZoneOrder rows[ZONE_ORDERS_MAX];
} ZoneOrders;

/* Invariants: by_id and order hold the same jobs; active holds those that have not
 * ended, ended the others; order and active are sorted by number, ended by when they
 * ended; sorted holds the same workers as workers, by name. */
struct Table {
    void *mem;  /* talloc parent of everything below; a loaded state replaces it whole */
    Map *by_id; /* a job's id to Job */
    JobList order, active, ended;
    uint64_t last_number;
    Map *workers; /* a worker's name to Worker */
    Worker **sorted;
    size_t sorted_count, sorted_capacity;
    Map *on;         /* a worker's name to WorkerOn */
    WorkerOn **busy; /* exactly those with a task on them, in no order */
    size_t busy_count, busy_capacity;
    Map *cells;      /* a cell's name to CellSum */
    Map *used;       /* "cell", and "cell/tenant", to the Resources that its tasks on workers use */
    Map *queues;     /* "cell/queue" to QueueSum */
    Orphan *orphans; /* each owned by the table; forgotten as ended jobs are */
    size_t orphan_count;
    Map *drains; /* a zone's name to ZoneOrders */
    Versions *versions;
    uint64_t loads; /* how often the state was replaced */
    /* the watchers, which stay when a state is loaded */
    TableFn fn;
    void *arg;
    TableOrdersFn orders_fn;
    void *orders_arg;
    TableLeftFn left_fn;
    void *left_arg;
};

#endif
