#ifndef SCHEDULER_SCHEDULER_H
#define SCHEDULER_SCHEDULER_H

#include "base/recorder.h"
#include "heartbeat/liveset.h"
#include "heartbeat/orphans.h"
#include "plan/plan.h"
#include "settings/cluster_settings.h"
#include "queue/ready_queue.h"

/* The leader's scheduler: decides which task runs on which worker, which workers are lost, and which attempts are
 * preempted, moved or restarted on other workers, and keeps the r-loss plan possible (after r losses of workers, or
 * the loss of one zone or rack, there is capacity to restart all protected work).
 *
 * Used by the controller, on every node: each node has a scheduler, and only the leader's scheduler decides anything.
 * The controller notifies it of committed changes and of heartbeats; it reads the state table and the live set, and
 * changes the state in one way only: it submits changes through SchedulerLeader.submit.
 *
 * Invariants: nothing is decided unless SchedulerLeader.decides has just returned true; at most one decision is being
 * committed at a time, so each decision is based on a state that includes all earlier ones; no attempt is placed before
 * scheduler_place_from_ms. All of its own data is in memory; a new leader gathers it again. */
typedef struct Scheduler Scheduler;

/* The controller's functions that the scheduler calls. Only submit suspends the coroutine. All functions are set. */
typedef struct SchedulerLeader {
    void *arg; /* passed to each function */
    /* Whether this node is the leader, by its own clock. */
    bool (*leads)(void *arg);
    /* Whether this node is the leader and its state is complete, so that it may decide now. The simulator watches these
     * calls. */
    bool (*decides)(void *arg);
    /* When this node became leader, in ms of its steady clock. */
    int64_t (*won_ms)(void *arg);
    /* The log's time and the wall clock, in ms. */
    QueueClock (*clock)(void *arg);
    /* The configuration in force, never null, valid until the coroutine is next suspended. stamp (out): differs between
     * different configurations. */
    const Config *(*config)(void *arg, uint64_t *stamp);
    /* The policy of a cell; cell may be null. */
    QueuePolicy policy;
    /* The number of policy calls that failed. last (out): the text of the last failure, "" when there was none. */
    uint64_t (*policy_failures)(void *arg, const char **last);
    /* Suspends the coroutine. Has the change committed and delivered, like replication_submit. The packed change is
     * allocated on mem. */
    Status (*submit)(void *arg, void *mem, ChangeKind kind, const Shape *shape, const void *body, ChangeResult *result);
} SchedulerLeader;

/* The parameters of a scheduler; every pointer must outlive it. */
typedef struct SchedulerSettings {
    Loop *loop;
    Recorder *recorder;
    const Table *table; /* read only */
    Liveset *liveset;   /* the scheduler marks a worker in it while the worker's loss is being committed */
    Orphans *orphans;   /* the scheduler adds attempts that it gives up while their worker is silent */
    const ClusterSettings *cluster_settings;
    SchedulerLeader leader;
} SchedulerSettings;

/* Counts of what has been decided since the process started; X(name). unassured: protected tasks started outside of the
 * r-loss plan; lost: attempts lost with their workers; preempted: attempts preempted; reserved: reservations made;
 * moved: attempts stopped to empty a zone; slowed: attempts stopped to be restarted on another worker. */
#define SCHEDULER_COUNT_LIST(X) \
    X(passes)                   \
    X(placed)                   \
    X(unassured)                \
    X(plan_checks)              \
    X(plan_refusals)            \
    X(lost)                     \
    X(preempted)                \
    X(reserved)                 \
    X(moved)                    \
    X(slowed)

typedef struct SchedulerCounts {
#define X(name) uint64_t name;
    SCHEDULER_COUNT_LIST(X)
#undef X
} SchedulerCounts;

/* The result of the last check of the r-loss plan. */
typedef struct SchedulerPlan {
    bool possible;
    Loss broken_by_loss; /* the first loss that the plan can't survive; set where possible is false, like broken_by */
    char broken_by[ID_MAX + 1]; /* name of the worker, zone or rack */
} SchedulerPlan;

/* A scheduler owned by mem. Copies the settings. */
Scheduler *scheduler_new(void *mem, const SchedulerSettings *settings);
/* Spawns the planner's task, which runs until the loop stops. */
void scheduler_start(Scheduler *scheduler);
/* To be called when this node has become leader: drops the progress of attempts that was recorded in an earlier
 * leadership. */
void scheduler_reset(Scheduler *scheduler);
/* To be called when anything that decisions depend on has changed: the next pass starts soon. */
void scheduler_notify(Scheduler *scheduler);

/* The time, in ms of this node's steady clock, before which no attempt is placed, since the log may have lost a
 * placement whose attempt still runs. */
void scheduler_set_place_from(Scheduler *scheduler, int64_t from_ms);
int64_t scheduler_place_from_ms(const Scheduler *scheduler);

const SchedulerCounts *scheduler_counts(const Scheduler *scheduler);
const SchedulerPlan *scheduler_plan(const Scheduler *scheduler);
/* The input of the r-loss plan as of now: the workers in the order of their names, and the protected tasks. Owned by
 * mem. */
PlanInput planner_input(Scheduler *scheduler, void *mem);
/* The ready queue as of now, in the order that these policies give; arg is passed to policy. Owned by mem; valid until
 * the coroutine is next suspended. */
ReadyQueue *scheduler_ready_queue(Scheduler *scheduler, void *mem, QueuePolicy policy, void *arg);

#endif
