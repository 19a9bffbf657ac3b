#ifndef CONTROLLER_SRC_STATE_H
#define CONTROLLER_SRC_STATE_H

#include "base/log_event.h"
#include "base/map.h"
#include "heartbeat/liveset.h"
#include "heartbeat/orphans.h"
#include "callers/callers.h"
#include "controller/controller.h"
#include "routing/config_watch.h"
#include "routing/forward.h"
#include "inforce/in_force.h"
#include "scheduler/scheduler.h"

#define DISK_TEXT 20 /* bytes; a disk's id in hexadecimal digits */

/* What leaders have done since the process began, but for the scheduler's and the callers' parts; X(name). */
#define CONTROLLER_COUNT_LIST(X) \
    X(repairs)                   \
    X(retold)

typedef struct ControllerCounts {
#define X(name) uint64_t name;
    CONTROLLER_COUNT_LIST(X)
#undef X
} ControllerCounts;

/* All counts as status and metrics show them, in this order; X(owner, name, outside). */
#define CONTROLLER_SHOWN_COUNT_LIST(X)          \
    X(scheduler, passes, "passes")              \
    X(scheduler, placed, "placed")              \
    X(scheduler, unassured, "unassured")        \
    X(scheduler, plan_checks, "planChecks")     \
    X(scheduler, plan_refusals, "planRefusals") \
    X(scheduler, lost, "lost")                  \
    X(scheduler, pushed, "pushed")              \
    X(own, repairs, "repairs")                  \
    X(own, retold, "retold")                    \
    X(callers, refused, "refused")              \
    X(callers, crowded, "crowded")              \
    X(scheduler, kept, "kept")                  \
    X(scheduler, moved, "moved")                \
    X(scheduler, slowed, "slowed")              \
    X(callers, unproven, "unproven")

/* One controller process. Invariants:
 *  - only a node for which replication_leading is true decides, answers callers or gives orders, and it looks at the
 *    clock before each;
 *  - while repairing is true nothing is decided and nobody is told of a job;
 *  - nothing is placed before the scheduler's place_from_ms, which is when the leases of all that the log may
 *    have forgotten have ended, or every agent has told what it has. */
struct Controller {
    Loop *loop;
    Recorder *recorder;
    const Settings *settings;
    ControllerWatch watch;
    Rpc *rpc;
    Members *members;
    Replication *replication;
    Table *table;
    RepairBuffer *repair_buffer;
    Forwarder *forwarder;
    ConfigWatch *config_watch; /* asks for the configuration while this node has no vote */
    PieceSource piece_source;
    Trace *trace;
    Liveset *liveset;
    Orphans *orphans;
    InForce *in_force;
    Scheduler *scheduler;
    CallerService *callers;
    Map *lines;                      /* names of workers to AgentSession */
    struct AttemptUpdates *reported; /* gathers what attempts came to */
    Map *alerts;                     /* those that stand */
    uint64_t alert_looks;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    bool leaving;
    int64_t started_ms;
    bool repairing;       /* what the disks lost is being told again */
    uint64_t repair_turn; /* of the newest repair; an earlier one gives up */
    ControllerCounts counts;
};

#endif
