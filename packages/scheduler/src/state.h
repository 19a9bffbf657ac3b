#ifndef SCHEDULER_SRC_STATE_H
#define SCHEDULER_SRC_STATE_H

#include "base/log_event.h"
#include "base/map.h"
#include "scheduler/scheduler.h"

/* What the scheduler remembers between passes, and how it calls the controller. */
struct Scheduler {
    Loop *loop;
    Recorder *recorder;
    const Table *table;
    Liveset *liveset;
    Orphans *orphans;
    const Bounds *bounds;
    SchedulerLeader leader;
    Map *checkpoints;                     /* tasks to their checkpoints */
    size_t checkpoints_swept;             /* how many were left when they were last looked through */
    Map *scores;                          /* names of workers to Score */
    struct ProgressTable *progress_table; /* progress of running attempts */
    Estimates *estimates;                 /* how long work takes, as seen by this leader */
    Queue *queue;
    Map *reservations;        /* names of cells to Reservation */
    Map *inherited;           /* "cell/tenant" to Resources: what an earlier leader may have left running; or null */
    int64_t inherited_won_ms; /* won_ms of the lead that inherited was found in */
    int64_t place_from_ms;    /* nothing is placed before this; this and the following in ms, own clock */
    int64_t pass_gap_ms;      /* between two passes */
    int64_t preempt_from_ms;  /* no preemption for a latency target before this */
    int64_t restart_check_ms; /* attempts that go on better elsewhere are looked for again from then on */
    int64_t gangs_repair_ms;  /* gangs that are not whole are looked for again from then on */
    int64_t plan_check_ms;    /* where no loss is to be survived, the plan is checked again from then on */
    uint64_t changes;         /* grows with whatever the planner's task should react to */
    Signal wake;              /* raised with it */
    uint64_t policy_failures_seen;
    SchedulerPlan plan; /* as last checked */
    SchedulerCounts counts;
};

/* Calls of SchedulerLeader's functions, see there (leader.c). */
bool scheduler_leads(const Scheduler *scheduler);
bool scheduler_decides(const Scheduler *scheduler);
int64_t scheduler_won_ms(const Scheduler *scheduler);
/* Waits. */
Status scheduler_submit(const Scheduler *scheduler, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                        ChangeResult *result);
const Policy *scheduler_policy(const Scheduler *scheduler, const ConfigCell *cell);

/* ms, own clock: when any lease that an earlier leader may have granted has ended. */
int64_t scheduler_lease_end_ms(const Scheduler *scheduler);

#endif
