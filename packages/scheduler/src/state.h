#ifndef SCHEDULER_SRC_STATE_H
#define SCHEDULER_SRC_STATE_H

#include "base/log_event.h"
#include "base/map.h"
#include "scheduler/scheduler.h"

/* The scheduler's memory between passes, and its way to the controller. */
struct Scheduler {
    Loop *loop;
    Recorder *recorder;
    const Table *table;
    Liveset *liveset;
    Orphans *orphans;
    const Bounds *bounds;
    SchedulerLeader leader;
    Map *saved;           /* tasks to their checkpoints */
    size_t saved_kept;    /* of them when they were last looked through */
    Map *scores;          /* names of workers to Score */
    struct Paces *paces;  /* progress of running attempts */
    Estimates *estimates; /* how long work takes, as seen by this leader */
    Queue *queue;
    Map *kept;               /* names of cells to reservations */
    int64_t place_from_ms;   /* nothing is placed before this; this and the next in ms, own clock */
    int64_t pass_gap_ms;     /* between two passes */
    int64_t preempt_from_ms; /* no preemption for a latency target before this */
    int64_t stop_look_ms;    /* attempts that go on better elsewhere are looked for again from then on */
    int64_t gangs_repair_ms; /* gangs that are not whole are looked for again from then on */
    int64_t plan_look_ms;    /* where no loss is to be survived, the plan is looked at again from then on */
    uint64_t updates;        /* grows with whatever the planner should look at */
    Signal wake;             /* raised with it */
    uint64_t policy_failures_notified;
    SchedulerPlan plan; /* of the last look */
    SchedulerCounts counts;
};

/* SchedulerLeader's functions, see there. */
bool scheduler_leads(const Scheduler *scheduler);
bool scheduler_decides(const Scheduler *scheduler);
int64_t scheduler_won_ms(const Scheduler *scheduler);
/* Waits. */
Status scheduler_order(const Scheduler *scheduler, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                       ChangeResult *result);
const Policy *scheduler_policy(const Scheduler *scheduler, const ConfigCell *cell);

/* ms, own clock: when any lease that an earlier leader may have granted has ended. */
int64_t scheduler_lease_end_ms(const Scheduler *scheduler);

#endif
