/* The state of a controller process, shared by the sources of this package. */
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

#define DISK_TEXT_BYTES 20 /* Buffer size in bytes for a disk's id in hexadecimal digits */

/* Counters of this node's work as leader since the process started, besides those of the scheduler and of the callers'
 * service: X(name). resubmitted: changes that repairs submitted again. */
#define CONTROLLER_COUNT_LIST(X) \
    X(repairs)                   \
    X(resubmitted)

typedef struct ControllerCounts {
#define X(name) uint64_t name;
    CONTROLLER_COUNT_LIST(X)
#undef X
} ControllerCounts;

/* All counters that the status and the metrics show, in this order: X(owner, name, name in the output). */
#define CONTROLLER_SHOWN_COUNT_LIST(X)          \
    X(scheduler, passes, "passes")              \
    X(scheduler, placed, "placed")              \
    X(scheduler, unassured, "unassured")        \
    X(scheduler, plan_checks, "planChecks")     \
    X(scheduler, plan_refusals, "planRefusals") \
    X(scheduler, lost, "lost")                  \
    X(scheduler, preempted, "pushed")           \
    X(own, repairs, "repairs")                  \
    X(own, resubmitted, "retold")               \
    X(callers, refused, "refused")              \
    X(callers, crowded, "crowded")              \
    X(scheduler, reserved, "kept")              \
    X(scheduler, moved, "moved")                \
    X(scheduler, slowed, "slowed")              \
    X(callers, unproven, "unproven")            \
    X(callers, unknown_keys, "unknownKeys")

/* One controller process. Invariants:
 *  - Only a node for which replication_leading is true makes decisions, answers callers or gives orders, and it
 *    checks the clock before each of these.
 *  - While repairing is true, nothing is decided and callers learn nothing about jobs.
 *  - No task is placed before the scheduler's place_from_ms. By then the leases of all attempts that the log may
 *    have lost have expired, or every agent has listed its attempts. */
struct Controller {
    Loop *loop;
    Recorder *recorder;
    const Settings *settings;
    ControllerObserver watch;
    Rpc *rpc;
    Members *members;
    Replication *replication;
    Table *table;
    RepairBuffer *repair_buffer;
    Forwarder *forwarder;
    ConfigWatch *config_watch; /* Fetches the configuration from the leader while this node has no vote */
    PieceSource piece_source;
    Trace *trace;
    Liveset *liveset;
    Orphans *orphans;
    InForce *in_force;
    Scheduler *scheduler;
    CallerService *callers;
    Map *agent_sessions;                    /* AgentSession by worker name */
    struct AttemptUpdates *attempt_updates; /* Updates that wait to be committed */
    Map *alerts;                            /* ActiveAlert by alert and subject */
    uint64_t alert_checks;                  /* Number of checks made so far */
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    bool leaving;           /* True once the node drains */
    int64_t started_ms;     /* Start time by this node's clock, in ms */
    bool repairing;         /* True while changes that the disks may have lost are collected and committed again */
    uint64_t repair_number; /* Number of the newest repair; an older one stops */
    ControllerCounts counts;
};

#endif
