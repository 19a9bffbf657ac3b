#ifndef MODEL_SRC_WORKER_MODEL_H
#define MODEL_SRC_WORKER_MODEL_H

#include "book.h"
#include "ledger.h"

/* Members of a gang under one attempt number, or one task by itself. They work from the
 * moment when all are there, at the pace of the slowest, and end as one.
 * Invariant: freed with its last member. */
typedef struct Crew {
    struct WorkerModels *worker_models;
    uint64_t attempt, needed;
    struct WorkerModelRun *members[128];
    size_t count;
    bool begun;
    int64_t work_us, done_us; /* work to be done; done until last_ms */
    int64_t from_ms;          /* what of it was saved before */
    int64_t last_ms, rate;    /* work us in each ms */
    int64_t fail_us;          /* a member fails by itself there */
    struct WorkerModelRun *failing;
} Crew;

/* A run on a worker. Times are true ones but those of the lease, which are the worker's. */
typedef struct WorkerModelRun {
    struct WorkerModelRun *next, *next_live;
    struct WorkerModel *worker_model;
    BookTask *task;
    uint64_t attempt;
    Crew *crew;
    int64_t began_ms, stop_at_ms; /* 0: it is not being stopped */
} WorkerModelRun;

typedef struct WorkerModelEnd {
    WorkerModelEnded told;
    BookTask *task;
    bool lapsed_since; /* the lease was over since: nobody need take note of it */
} WorkerModelEnd;

/* A stand-in for a worker: it does what it is told, keeps what it runs only as long as
 * it is held, and tells each end until it is seen. Invariant: runs, ends and highest
 * live as long as its process. */
typedef struct WorkerModel {
    struct WorkerModels *worker_models;
    TopologyNode *side;
    int machine, number;
    uint64_t life;
    char boot[24], rack[24];
    const char *kind, *zone, *label;
    Room room;
    int64_t speed, slow_times; /* percent; times */
    int64_t grey_percent;      /* so many of its attempts fail */
    bool hangs;                /* nothing on it comes forward */
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
    Map *highest; /* task to the highest round stopped or ended here */
    Signal work, news;
    bool news_open;
} WorkerModel;

typedef struct WorkerModels {
    Topology *topology;
    Book *book;
    Ledger *ledger;
    WorkerModel list[SIDES_MAX];
    size_t count;
    uint64_t boots;
} WorkerModels;

WorkerModels *worker_models_new(void *mem, Book *book, Ledger *ledger);
void worker_models_start(WorkerModels *worker_models);
void worker_model_start(WorkerModel *worker_model);
/* The process ends at once; power: nobody is told. */
void worker_model_crash(WorkerModel *worker_model, bool power);
/* It says that it leaves, and does so after that span. */
void worker_model_leave(WorkerModel *worker_model, int64_t after_ms);
void worker_model_slow(WorkerModel *worker_model, int64_t times);
void worker_model_hang(WorkerModel *worker_model, bool hangs);
/* Crews of its runs look anew at how fast they are. */
void worker_model_pace(WorkerModel *worker_model);

/* --- what it runs ------------------------------------------------------------------------- */
/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t worker_model_saved_ms(const WorkerModelRun *run, bool all);
/* The run is no more, without an end: out of all lists. */
void worker_model_run_drop(WorkerModelRun *run);
/* The run has come to this end, which is listed until it is seen. */
void worker_model_run_end(WorkerModelRun *run, AttemptWord word);
/* A task of its process: what comes due. */
void worker_model_work_main(void *arg);
/* An answer to a heartbeat that was sent then, by the worker's clock. */
void worker_model_orders_take(WorkerModel *worker_model, const WorkerModelOrders *orders, int64_t sent_ms);

/* --- crews and what they use -------------------------------------------------------------------------------- */
/* The part of a worker's capacity that its runs use. */
Room worker_model_used(const WorkerModel *worker_model);
/* The run takes its place in the crew of its attempt. */
void crew_join(WorkerModels *worker_models, WorkerModelRun *run, int64_t from_ms);
void crew_leave(WorkerModelRun *run);
/* What it has done until now. */
void crew_advance(Crew *crew);
void crew_pace(Crew *crew);
/* When something is due next; INT64_MAX: nothing. */
int64_t crew_next_ms(const Crew *crew);
int64_t crew_progress_ms(const Crew *crew);

/* --- rules at a worker ---------------------------------------------------------------------- */
/* Everything that must hold when a task is about to start. False: it is of no job at all. */
bool start_check(WorkerModel *worker_model, const WorkerModelStart *start);
/* An end has been listed, and has been taken note of. */
void end_noted(WorkerModel *worker_model, const WorkerModelEnd *end);
/* A member of a gang has ended because the others did not come. */
void alone_check(const WorkerModelRun *run);

#endif
