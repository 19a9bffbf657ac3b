#ifndef MODEL_SRC_WORKER_MODEL_H
#define MODEL_SRC_WORKER_MODEL_H

#include "job_records.h"
#include "sent_documents.h"

/* A worker group: the members of a gang under one attempt number, or one task by itself. They work once all are
 * there, at the pace of the slowest, and end as one. Invariant: freed with its last member. */
typedef struct WorkerGroup {
    struct WorkerModels *worker_models;
    uint64_t attempt, needed;
    struct WorkerModelRun *members[128];
    size_t count;
    bool begun;
    int64_t work_us, done_us; /* work to be done; done until last_ms */
    int64_t from_ms;          /* progress restored from a checkpoint */
    int64_t last_ms, rate;    /* work done in each ms, in us */
    int64_t fail_us;          /* a member fails by itself there */
    struct WorkerModelRun *failing;
} WorkerGroup;

/* An attempt that runs on a worker. Times are by the world's clock, those of the lease by the worker's. */
typedef struct WorkerModelRun {
    struct WorkerModelRun *next, *next_live;
    struct WorkerModel *worker_model;
    TaskRecord *task;
    uint64_t attempt;
    WorkerGroup *worker_group;
    int64_t began_ms, stop_at_ms; /* 0: it is not being stopped */
} WorkerModelRun;

typedef struct WorkerModelEnd {
    WorkerModelEnded reported;
    TaskRecord *task;
    bool lapsed_since; /* the lease has lapsed since: no acknowledgement is owed */
} WorkerModelEnd;

/* A worker model: it carries out its orders, runs attempts only while it has a lease, and reports each end until
 * it is acknowledged. Invariant: runs, ends and highest last as long as its process. */
typedef struct WorkerModel {
    struct WorkerModels *worker_models;
    TopologyNode *side;
    int machine, number;
    uint64_t life;
    char boot[24], rack[24];
    const char *kind, *zone, *label;
    Resources resources;
    int64_t speed, slow_times; /* percent; times */
    int64_t grey_percent;      /* percentage of its attempts that fail */
    bool hangs;                /* nothing on it makes progress */
    bool up;
    bool leaving;
    int64_t leave_at_ms, leave_ack_ms;
    bool leave_ack_touch; /* the machine that acknowledged was in touch */
    /* of the process */
    void *mem;
    Loop *loop;
    uint64_t sequence, fence, end_number;
    int64_t lease_until_ms;
    WorkerModelRun *runs;
    WorkerModelEnd *ends;
    size_t end_count;
    Map *highest; /* by task, the highest attempt that was stopped or ended here */
    Signal work, updates;
    bool update_open;
} WorkerModel;

typedef struct WorkerModels {
    Topology *topology;
    JobRecords *records;
    SentDocuments *sent_documents;
    WorkerModel list[SIDES_MAX];
    size_t count;
    uint64_t boots;
} WorkerModels;

WorkerModels *worker_models_new(void *mem, JobRecords *records, SentDocuments *sent_documents);
void worker_models_start(WorkerModels *worker_models);
void worker_model_start(WorkerModel *worker_model);
/* The process ends at once; power: its peers are not told. */
void worker_model_crash(WorkerModel *worker_model, bool power);
/* It reports that it drains, and shuts down after that span. */
void worker_model_leave(WorkerModel *worker_model, int64_t after_ms);
void worker_model_slow(WorkerModel *worker_model, int64_t times);
void worker_model_hang(WorkerModel *worker_model, bool hangs);
/* Its groups compute their pace anew. */
void worker_model_pace(WorkerModel *worker_model);

/* --- what it runs ------------------------------------------------------------------------- */
/* Progress that is saved: a checkpoint after each save_ms of work; all of it at a stop. */
int64_t worker_model_saved_ms(const WorkerModelRun *run, bool all);
/* Drops the run from all lists without an end. */
void worker_model_run_drop(WorkerModelRun *run);
/* The run has ended so; the end is listed until it is acknowledged. */
void worker_model_run_end(WorkerModelRun *run, AttemptStatus word);
/* A task of its process: acts on what is due. */
void worker_model_work_main(void *arg);
/* Takes the answer to a heartbeat that was sent at sent_ms by the worker's clock. */
void worker_model_orders_take(WorkerModel *worker_model, const WorkerModelOrders *orders, int64_t sent_ms);

/* --- worker groups and what they use --------------------------------------------------------------------------------
 */
/* The part of a worker's capacity that its runs use. */
Resources worker_model_used(const WorkerModel *worker_model);
/* The run joins the group of its attempt. */
void worker_group_join(WorkerModels *worker_models, WorkerModelRun *run, int64_t from_ms);
void worker_group_leave(WorkerModelRun *run);
/* Counts the work done until now. */
void worker_group_advance(WorkerGroup *worker_group);
void worker_group_pace(WorkerGroup *worker_group);
/* When something is due next; INT64_MAX: nothing. */
int64_t worker_group_next_ms(const WorkerGroup *worker_group);
int64_t worker_group_progress_ms(const WorkerGroup *worker_group);

/* --- rules at a worker ---------------------------------------------------------------------- */
/* Checks all that must hold when a task starts. False: it is of no job at all. */
bool start_check(WorkerModel *worker_model, const WorkerModelStart *start);
/* Checks an end that the product has acknowledged. */
void end_noted(WorkerModel *worker_model, const WorkerModelEnd *end);
/* Checks the end of a gang's member whose others did not come. */
void isolated_check(const WorkerModelRun *run);

#endif
