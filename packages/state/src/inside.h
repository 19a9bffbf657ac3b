#ifndef STATE_SRC_INSIDE_H
#define STATE_SRC_INSIDE_H

#include "base/map.h"
#include "state/table.h"

/* What the table knows of a worker's orders. Invariants: name is the table's own, and
 * tasks point at it; on holds exactly the tasks whose worker it is, and each of them
 * knows its place there. A row is never dropped. */
typedef struct WorkerOn {
    const char *name;
    uint64_t version;
    TaskOn *on;
    size_t count, room;
    Room used;      /* by them */
    size_t busy_at; /* its place among the busy ones; of no meaning when count is 0 */
} WorkerOn;

/* Waiting tasks of a cell. */
typedef struct CellSum {
    size_t waiting;
} CellSum;

/* Jobs of a queue that have not ended. */
typedef struct QueueSum {
    size_t jobs;
} QueueSum;

/* A task told as finished well of a job that is not known (any more, or yet):
 * the disks lost the job, and its caller will hand it in again. */
#define ORPHAN_FIELDS(X) \
    X(TXT, job, 0)       \
    X(U64, task, 0)      \
    X(U64, attempt, 0)   \
    X(I64, at_ms, 0)
SHAPE(Orphan, ORPHAN_FIELDS)

/* One order for a zone that was delivered. order "": it had no name, or it stands
 * for all up to its stamp that are not remembered any more. */
#define ZONE_ORDER_FIELDS(X) \
    X(TXT, zone, 0)          \
    X(TXT, order, 0)         \
    X(I64, stamp, 0)
SHAPE(ZoneOrder, ZONE_ORDER_FIELDS)

/* Invariants: rows are sorted by stamp and the last one's is the newest order's; at
 * most the first stands for several. */
typedef struct ZoneOrders {
    ZoneDrain newest;
    size_t count;
    ZoneOrder rows[ZONE_ORDERS_MAX];
} ZoneOrders;

/* Jobs in an order of their own. */
typedef struct JobList {
    Job **jobs;
    size_t count, room;
} JobList;

/* Invariants: by_id and order hold the same jobs; active holds those that have not
 * ended, ended the others; order and active are sorted by number, ended by when they
 * ended; sorted holds the same workers as workers, by name. */
struct Table {
    void *mem; /* holds everything below; a loaded state replaces it whole */
    Map *by_id;
    JobList order, active, ended;
    uint64_t last_number;
    Map *workers;
    Worker **sorted;
    size_t sorted_count, sorted_room;
    Map *on;         /* worker name to WorkerOn */
    WorkerOn **busy; /* exactly those with a task on them, in no order */
    size_t busy_count, busy_room;
    Map *cells;
    Map *used;       /* "cell", and "cell/tenant", to the Room that its tasks on workers use */
    Map *queues;     /* "cell/queue" to QueueSum */
    Orphan *orphans; /* each owned by the table; forgotten as ended jobs are */
    size_t orphan_count;
    Map *drains; /* zone to ZoneOrders */
    Versions *versions;
    uint64_t loads;
    TableFn fn;
    void *arg;
    TableOrdersFn orders_fn;
    void *orders_arg;
    TableLeftFn left_fn;
    void *left_arg;
};

void table_clear(Table *table);

/* --- lists of jobs */

void job_list_add(void *mem, JobList *list, Job *job);
/* Its place in a list sorted by number; count when it is not there. */
size_t job_list_find(const JobList *list, const Job *job);

/* --- workers and what is on them */

WorkerOn *worker_on(Table *table, const char *worker);
void orders_touch(Table *table, const char *worker);
void on_add(Table *table, Job *job, JobTask *task);
void on_drop(Table *table, const JobTask *task);

/* --- jobs and tasks */

/* spec and terms are copied; the tasks are as they begin, in the order of turns. */
Job *job_new(void *mem, const JobSpec *spec, const JobTerms *terms);
/* Adds a job whose memory is its own to all lists. */
void job_enter(Table *table, Job *job);
/* The job ended: from the active to the ended ones. */
void job_leave_active(Table *table, Job *job);
/* A text that hangs on the job. */
void task_text(Job *job, const char **at, const char *text);

/* Every change of a task's phase goes through here. told: the agent of the worker that
 * it leaves told of it, and needs no telling. */
void task_turn(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms, bool told);
/* What waits of it never starts, what runs is stopped. */
void job_stop_tasks(Table *table, Job *job, int64_t at_ms);
/* Ends the job once no task of it runs or waits. */
void job_settle(Table *table, Job *job, int64_t at_ms);

/* --- gangs. The tasks of a task's gang; of any other task itself alone. */

typedef struct Gang {
    JobTask *tasks;
    size_t count;
} Gang;
Gang gang_of(Job *job, const JobTask *task);
/* A member's round is over: the others stop, and all are planned again. */
void gang_break(Table *table, Job *job, const JobTask *task, int64_t at_ms);

/* --- attempts. What became of one that did not finish well. */

typedef struct AttemptEnd {
    AttemptWord word;
    const char *saved; /* empty: nothing told */
    bool told;         /* by its worker's agent */
    int64_t at_ms;
} AttemptEnd;
void attempt_over(Table *table, Job *job, JobTask *task, const AttemptEnd *end);
/* Counts a failed round, of a gang once whichever of its members failed. Attempts are
 * counted as they rise: the same told again counts for nothing. */
void attempt_miss(Job *job, JobTask *task, uint64_t attempt);
/* Whether the task has had all the attempts it gets. */
bool attempts_spent(const Job *job, const JobTask *task);
void job_fail(Table *table, Job *job, JobTask *task, int64_t at_ms);
/* It finished well in that attempt, and its gang with it. */
void attempt_done(Table *table, Job *job, JobTask *task, uint64_t attempt, const char *teller, int64_t at_ms);
/* What its attempts have come to; a gang's is one. */
void saved_set(Job *job, JobTask *task, const char *saved);

/* --- orphans */

void orphan_add(Table *table, const char *job, uint64_t task, uint64_t attempt, int64_t at_ms);
/* What of the job finished well before the disks forgot it stays finished. */
void orphans_take(Table *table, Job *job, int64_t at_ms);
void orphans_forget(Table *table, int64_t before_ms);

/* --- one function for each change; table.c lists them */

void deliver_job_add(Table *table, const Record *change, const JobAdd *add, ChangeResult *result);
void deliver_job_cancel(Table *table, const Record *change, const JobCancel *cancel, ChangeResult *result);
void deliver_job_end(Table *table, const Record *change, const JobEnd *end, ChangeResult *result);
void deliver_forget(Table *table, const Record *change, const Forget *forget, ChangeResult *result);
void deliver_place(Table *table, const Record *change, const PlaceList *list, ChangeResult *result);
void deliver_stop(Table *table, const Record *change, const StopList *list, ChangeResult *result);
void deliver_assure(Table *table, const Record *change, const StopList *list, ChangeResult *result);
void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result);
void deliver_worker_set(Table *table, const Record *change, const Worker *set, ChangeResult *result);
void deliver_worker_lost(Table *table, const Record *change, const WorkerLost *lost, ChangeResult *result);
void deliver_worker_left(Table *table, const Record *change, const WorkerLeft *left, ChangeResult *result);
void deliver_zone_drain(Table *table, const Record *change, const ZoneDrain *drain, ChangeResult *result);
/* Of a saved state, in their order, after the newest of each zone. */
void zone_orders_load(Table *table, const ZoneOrder *rows, size_t count);

/* --- saving and loading */

Bytes table_save(void *arg, void *mem);
Status table_load(void *arg, Bytes bytes);

#endif
