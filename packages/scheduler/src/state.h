#ifndef SCHEDULER_SRC_STATE_H
#define SCHEDULER_SRC_STATE_H

#include "base/log_event.h"
#include "base/map.h"
#include "scheduler/scheduler.h"

/* The scheduler's data that lasts from one pass to the next, and the controller's functions. Times are in ms of this
 * node's steady clock unless noted. */
struct Scheduler {
    Loop *loop;
    Recorder *recorder;
    const Table *table;
    Liveset *liveset;
    Orphans *orphans;
    const ClusterSettings *cluster_settings;
    SchedulerLeader leader;
    Map *checkpoints;                     /* task (checkpoint_key) to Checkpoint */
    size_t checkpoints_left_by_sweep;     /* number of checkpoints left by the last sweep */
    Map *scores;                          /* worker name to WorkerScore */
    struct ProgressTable *progress_table; /* progress of running attempts */
    Estimates *estimates;                 /* run times, corrected by what this leader has seen */
    Queue *queue;
    Map *reservations;        /* cell name to Reservation */
    Map *inherited;           /* "cell/tenant" to Resources: what may run by order of an earlier leader; may be null */
    int64_t inherited_won_ms; /* won_ms of the leadership that inherited was computed in */
    int64_t place_from_ms;    /* nothing is placed before this */
    int64_t pass_gap_ms;      /* pause between two passes */
    int64_t preempt_from_ms;  /* no preemption for a latency target before this */
    int64_t restart_check_ms; /* next check for attempts to restart on other workers */
    int64_t gangs_repair_ms;  /* next check for incomplete gangs */
    int64_t plan_check_ms;    /* next check of the plan, where the configuration names no loss */
    uint64_t changes;         /* incremented by everything that the planner's task must react to */
    Signal wake;              /* raised whenever changes grows */
    uint64_t policy_failures_seen;
    SchedulerPlan plan; /* as last checked */
    SchedulerCounts counts;
};

/* Wrappers around the functions of SchedulerLeader, which documents them (leader.c). */
bool scheduler_leads(const Scheduler *scheduler);
bool scheduler_decides(const Scheduler *scheduler);
int64_t scheduler_won_ms(const Scheduler *scheduler);
/* Suspends the coroutine. */
Status scheduler_submit(const Scheduler *scheduler, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                        ChangeResult *result);
const Policy *scheduler_policy(const Scheduler *scheduler, const ConfigCell *cell);

/* When every lease that an earlier leader may have granted has expired, in ms of this node's steady clock. */
int64_t scheduler_lease_end_ms(const Scheduler *scheduler);

#endif
