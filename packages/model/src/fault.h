#ifndef MODEL_SRC_FAULT_H
#define MODEL_SRC_FAULT_H

#include "model/model.h"
#include "operator.h"

/* The kinds of faults in a day. Where controller is set, the fault disables controllers: at most as many at the same
 * time as the losses that must be tolerated. planned: planned work rather than a failure. X(name, name outside,
 * controller, planned, meaning) */
#define FAULT_LIST(X)                                                                                 \
    X(CONTROLLER_KILL, "coreKill", true, false, "a core's process is killed")                         \
    X(CONTROLLER_POWER, "corePower", true, false, "a core loses power")                               \
    X(CONTROLLER_FREEZE, "coreFreeze", true, false, "a core stands still")                            \
    X(CONTROLLER_CUT, "coreCut", true, false, "a core is cut off from the other cores")               \
    X(CONTROLLER_ISOLATED, "coreAlone", true, false, "a core is cut off from all")                    \
    X(DISK_SLOW, "diskSlow", true, false, "a core's disk is slow")                                    \
    X(CONTROLLER_WIPE, "coreWipe", true, false, "a core returns with an empty disk")                  \
    X(CONTROLLER_REPLACE, "coreReplace", true, false, "a core is replaced by an empty one elsewhere") \
    X(ACK_POWER, "ackPower", true, false, "whoever acknowledged something loses power")               \
    X(ACK_WIPE, "ackWipe", true, false, "... and its disk")                                           \
    X(ZONE_OFF, "zoneOff", true, false, "a zone loses power")                                         \
    X(ENTRY_POINT_KILL, "gateKill", false, false, "a gate's process is killed")                       \
    X(ENTRY_POINT_FREEZE, "gateFreeze", false, false, "a gate stands still")                          \
    X(ENTRY_POINT_CUT, "gateCut", false, false, "a gate is cut off")                                  \
    X(SIDE_KILL, "sideKill", false, false, "agents are killed")                                       \
    X(SIDE_FREEZE, "sideFreeze", false, false, "agents stand still")                                  \
    X(SIDE_CUT, "sideCut", false, false, "agents are cut off, their workers run on")                  \
    X(SIDE_OFF, "sideOff", false, false, "machines with worker and agent lose power")                 \
    X(WORKER_MODEL_CRASH, "handCrash", false, false, "workers crash and come back")                   \
    X(WORKER_MODEL_GONE, "handGone", false, false, "workers are lost for good")                       \
    X(WORKER_MODEL_SLOW, "handSlow", false, false, "workers turn slow")                               \
    X(WORKER_MODEL_GREY, "handGrey", false, false, "workers fail part of what they run")              \
    X(WORKER_MODEL_HANG, "handHang", false, false, "nothing on some workers comes forward")           \
    X(WORKER_MODEL_LEAVE, "handLeave", false, true, "workers leave in order")                         \
    X(WORKER_MODEL_SPOT, "handSpot", false, false, "workers leave at short notice")                   \
    X(BURST, "burst", false, false, "many jobs of a kind come at once")                               \
    X(POISON, "poison", false, true, "jobs come that can never be done")                              \
    X(ROLL, "roll", true, true, "machines are stopped and started in turn")                           \
    X(CHANGE, "change", false, true, "the document changes")                                          \
    X(STORM, "storm", false, true, "documents come in quick succession")                              \
    X(RACE, "race", false, true, "two operators change it at once")                                   \
    X(SPOILT, "spoilt", false, true, "invalid documents are sent")                                    \
    X(BIG, "big", false, true, "the document grows")                                                  \
    X(ZONE_DRAIN, "zoneDrain", false, true, "a zone is emptied and taken back")

typedef enum FaultKind {
#define X(name, outside, controller, planned, meaning) FAULT_##name,
    FAULT_LIST(X)
#undef X
        FAULT_COUNT
} FaultKind;

/* Returns the outer name of a kind, its meaning, and the kind of a name. */
const char *fault_name(FaultKind kind);
const char *fault_meaning(FaultKind kind);
FaultKind fault_by_name(const char *name); /* FAULT_COUNT: unknown name */

/* A running day: all parts that faults act on. */
typedef struct Day {
    Topology *topology;
    JobRecords *records;
    SentDocuments *sent_documents;
    WorkerModels *worker_models;
    Listener *listener;
    Callers *callers;
    Operator *operator;
} Day;

/* One fault. Its targets are drawn from its own random source. */
typedef struct Fault {
    Day *day;
    FaultKind kind;
    int64_t at_ms, for_ms; /* start, in ms since traffic started, and duration */
    RandomSource random_source;
    char target[16]; /* target named by the script; empty: drawn */
    /* Affected machines and workers, to be restored at the end. */
    TopologyNode *nodes[AGENTS_MAX];
    WorkerModel *struck_workers[AGENTS_MAX];
    size_t count;
    const char *zone;
} Fault;

/* Whether faults of the kind disable controllers. */
bool fault_disables_controllers(FaultKind kind);
/* Injects the fault; fault_end restores what it affected. */
void fault_begin(Fault *fault);
void fault_end(Fault *fault);

#endif
