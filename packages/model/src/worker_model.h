#ifndef MODEL_SRC_WORKER_MODEL_H
#define MODEL_SRC_WORKER_MODEL_H

#include "job_records.h"
#include "model/model.h"
#include "sent_documents.h"

/* A worker group: the members of a gang with the same attempt number, or a single task. The members work once all
 * have started, at the pace of the slowest, and end together.
 *
 * Invariant: freed with its last member. */
typedef struct WorkerGroup {
    struct WorkerModels *worker_models;
    /* needed: number of members required to begin. */
    uint64_t attempt, needed;
    struct WorkerModelRun *members[128];
    size_t count;
    bool begun;
    int64_t work_us, done_us;       /* work in total, and done until last_ms */
    int64_t from_ms;                /* progress that was restored from a checkpoint */
    int64_t last_ms, rate;          /* work done per ms, in us */
    int64_t fail_us;                /* progress at which a member fails; INT64_MAX: none does */
    struct WorkerModelRun *failing; /* the member that fails */
} WorkerGroup;

/* An attempt that runs on a worker. Times are by the world's clock; those of the lease are by the worker's clock. */
typedef struct WorkerModelRun {
    struct WorkerModelRun *next, *next_live;
    struct WorkerModel *worker_model;
    TaskRecord *task;
    uint64_t attempt;
    WorkerGroup *worker_group;
    int64_t began_ms, stop_at_ms; /* stop_at_ms 0: it is not being stopped */
} WorkerModelRun;

/* An ended attempt that has not been acknowledged. */
typedef struct WorkerModelEnd {
    WorkerModelEnded reported;
    TaskRecord *task;
    bool lapsed_after; /* the lease has expired since: the acknowledgement is not checked */
} WorkerModelEnd;

/* A worker model: carries out its orders, runs attempts only while it has a lease, and reports each end until the
 * end is acknowledged.
 *
 * Invariant: runs, ends and highest last as long as its process. */
typedef struct WorkerModel {
    struct WorkerModels *worker_models;
    TopologyNode *agent_node; /* machine of its agent */
    int machine, number;
    uint64_t incarnation; /* number of its current process */
    char boot[24], rack[24];
    const char *kind, *zone, *label;
    Resources resources;
    int64_t speed, slow_factor; /* speed in percent; slow_factor: factor by which work is slowed down */
    int64_t failure_percent;    /* percentage of its attempts that fail */
    bool hangs;                 /* its attempts make no progress */
    bool up;
    bool leaving;
    bool departs;                      /* it has announced its end without leaving first, and runs on */
    int64_t leave_at_ms, leave_ack_ms; /* when it leaves; when its leaving was acknowledged, 0: not yet */
    bool leave_ack_in_touch;           /* the machine that acknowledged was in touch */
    /* State of its current process. */
    void *mem;
    Loop *loop;
    uint64_t sequence, fence, end_number;
    int64_t lease_until_ms;
    WorkerModelRun *runs;
    WorkerModelEnd *ends;
    size_t end_count;
    Map *highest;         /* for each task, the highest attempt that was stopped or ended here */
    Signal work, updates; /* an attempt may be due; a heartbeat is due immediately */
    bool update_open;     /* there is something to report */
} WorkerModel;

/* All workers. boots: number of processes started. */
typedef struct WorkerModels {
    Topology *topology;
    JobRecords *records;
    SentDocuments *sent_documents;
    WorkerModel list[AGENTS_MAX];
    size_t count;
    uint64_t boots;
    int64_t late_ms; /* when a heartbeat was last held up, or arrived late; 0: none was */
} WorkerModels;

WorkerModels *worker_models_new(void *mem, JobRecords *records, SentDocuments *sent_documents);
/* Starts all workers, or one that is not running. */
void worker_models_start(WorkerModels *worker_models);
void worker_model_start(WorkerModel *worker_model);
/* Ends the process immediately. power: its machine loses power, so that its peers are not notified. */
void worker_model_crash(WorkerModel *worker_model, bool power);
/* Reports that the worker drains, and shuts it down after after_ms. */
void worker_model_leave(WorkerModel *worker_model, int64_t after_ms);
/* Sets the factor by which the worker's tasks are slowed down. */
void worker_model_slow(WorkerModel *worker_model, int64_t slow_factor);
/* Sets whether the worker's tasks make no progress. */
void worker_model_hang(WorkerModel *worker_model, bool hangs);
/* Recomputes the pace of its groups. */
void worker_model_update_pace(WorkerModel *worker_model);

/* --- late heartbeats (late_heartbeat.c) ------------------------------------------------------ */
/* Draws whether this heartbeat arrives late. If so, it is delivered later, whatever happens to its sender meanwhile,
 * and true is returned: the worker gets no answer. */
bool late_heartbeat_drawn(WorkerModel *worker_model, const HttpCall *call);

/* --- attempts ------------------------------------------------------------------------------ */
/* Returns the progress in the latest checkpoint, made after each save_ms of work; all: in a last checkpoint of all
 * work done. */
int64_t worker_model_saved_ms(const WorkerModelRun *run, bool all);
/* Removes the run from all lists without recording an end. */
void worker_model_run_drop(WorkerModelRun *run);
/* Ends the run with this word; the end is listed until it is acknowledged. */
void worker_model_run_end(WorkerModelRun *run, AttemptStatus word);
/* Main function of a coroutine: ends runs that are due. */
void worker_model_work_main(void *arg);
/* Applies the answer to a heartbeat that was sent at sent_ms by the worker's clock. */
void worker_model_apply_orders(WorkerModel *worker_model, const WorkerModelAnswer *orders, int64_t sent_ms);

/* --- worker groups ------------------------------------------------------------------------- */
/* Returns the resources in use by the worker's runs. */
Resources worker_model_used(const WorkerModel *worker_model);
/* Adds the run to the group of its attempt, which is created if necessary. */
void worker_group_join(WorkerModels *worker_models, WorkerModelRun *run, int64_t from_ms);
/* Removes the run from its group. */
void worker_group_leave(WorkerModelRun *run);
/* Updates done_us to the present. */
void worker_group_advance(WorkerGroup *worker_group);
/* Recomputes the rate. */
void worker_group_update_rate(WorkerGroup *worker_group);
/* Time at which the group next has an attempt that ends; INT64_MAX: never. */
int64_t worker_group_next_ms(const WorkerGroup *worker_group);
/* Progress of the work, including restored progress. */
int64_t worker_group_progress_ms(const WorkerGroup *worker_group);

/* --- rules at a worker ---------------------------------------------------------------------- */
/* Checks all rules for the start of a task. Returns false if the task belongs to no job. */
bool check_start(WorkerModel *worker_model, const WorkerModelStart *start);
/* Checks an end that the product has acknowledged. */
void check_acknowledged_end(WorkerModel *worker_model, const WorkerModelEnd *end);
/* Checks the end of a gang's member whose other members did not start. */
void check_isolated_end(const WorkerModelRun *run);

#endif
