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

/* What this node has done as leader since the process began, besides the scheduler's and the callers' counts;
 * X(name). retold: changes that repairs submitted again. */
#define CONTROLLER_COUNT_LIST(X) \
    X(repairs)                   \
    X(retold)

typedef struct ControllerCounts {
#define X(name) uint64_t name;
    CONTROLLER_COUNT_LIST(X)
#undef X
} ControllerCounts;

/* All counts as status and metrics show them, in this order; X(owner, name, name outside). */
#define CONTROLLER_SHOWN_COUNT_LIST(X)          \
    X(scheduler, passes, "passes")              \
    X(scheduler, placed, "placed")              \
    X(scheduler, unassured, "unassured")        \
    X(scheduler, plan_checks, "planChecks")     \
    X(scheduler, plan_refusals, "planRefusals") \
    X(scheduler, lost, "lost")                  \
    X(scheduler, preempted, "pushed")           \
    X(own, repairs, "repairs")                  \
    X(own, retold, "retold")                    \
    X(callers, refused, "refused")              \
    X(callers, crowded, "crowded")              \
    X(scheduler, reserved, "kept")              \
    X(scheduler, moved, "moved")                \
    X(scheduler, slowed, "slowed")              \
    X(callers, unproven, "unproven")            \
    X(callers, unknown_keys, "unknownKeys")

/* One controller process. Invariants:
 *  - only a node for which replication_leading is true decides, answers callers or gives orders, and it checks the
 *    clock before each;
 *  - while repairing is true nothing is decided and no caller learns of a job;
 *  - nothing is placed before the scheduler's place_from_ms: by then the leases of all attempts that the log may have
 *    lost have ended, or every agent has listed its attempts. */
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
    Map *agent_sessions;                    /* names of workers to AgentSession */
    struct AttemptUpdates *attempt_updates; /* those that wait to be committed */
    Map *alerts;                            /* the active ones */
    uint64_t alert_checks;                  /* made so far */
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    bool leaving;           /* draining */
    int64_t started_ms;     /* own clock */
    bool repairing;         /* changes that the disks may have lost are being gathered and committed again */
    uint64_t repair_number; /* of the newest repair; an earlier one gives up */
    ControllerCounts counts;
};

#endif
