#ifndef CONTROLLER_SRC_ALERTS_H
#define CONTROLLER_SRC_ALERTS_H

#include "state.h"

/* What an operator should look at: X(name, word, what to do). A word never changes its meaning;
 * the list of alerts in docs/operating.md says the same. */
#define ALERT_LIST(X)                                                                                                     \
    X(VOTER_OUT, "seat-out",                                                                                              \
      "no further loss of a controller is survived: look at its machine, disk and network, or start an empty controller") \
    X(LOSSES_FEW, "losses-few",                                                                                           \
      "fewer losses of a controller are borne than the settings ask: start a controller with an empty disk")              \
    X(VOTER_SLOW, "seat-slow", "its disk takes long to sync: look at the disk")                                           \
    X(DISK_REFUSES, "disk-refuses", "its disk refuses writes: free space on it, or replace the machine")                  \
    X(PLAN_BROKEN, "plan-broken",                                                                                         \
      "after this loss some protected work would wait for capacity: add capacity, or ask for less")                       \
    X(UNASSURED, "unassured", "protected work runs that no plan covers: add capacity, or let it preempt other work")      \
    X(PROTECTED_WAITS, "protected-waits",                                                                                 \
      "lost protected work waits for capacity: add capacity, or cancel other work")                                       \
    X(WORKER_LOST, "worker-lost", "its agent's lease has lapsed: look at the machine and its agent")                      \
    X(WORKER_RESTS, "worker-rests", "it fails or slows its work while claiming health: look at the machine")              \
    X(POLICY_FAILS, "policy-fails", "first come goes first meanwhile: correct the policy's text")                         \
    X(REPAIRING, "repairing", "what the disks lost is being sent again: wait; then look at the disks")                    \
    X(ZONE_EMPTIED, "zone-emptied", "it gets no new work: take it back when its work is done")

/* ... of worker-lost, where its agent lives and hears nothing of the worker. */
#define WORKER_SILENT_TODO "its agent lives and does not hear it: look at the worker's process"

typedef enum Alert {
#define X(name, word, todo) ALERT_##name,
    ALERT_LIST(X)
#undef X
        ALERT_COUNT
} Alert;

const char *alert_word(Alert alert);
/* Checks all causes; alerts become active, and those whose cause is gone end. */
void alerts_check(Controller *controller);
/* [{"alert", "subject", "forMs", "todo"}], the oldest first; owned by the caller. */
json_object *alerts_show(const Controller *controller);
/* How many of them are active. */
size_t alerts_count(const Controller *controller, Alert alert);
/* Spawns the task that checks now and then. */
void alerts_start(Controller *controller);

#endif
