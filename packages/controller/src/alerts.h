/* Alerts: conditions that an operator should look into. */
#ifndef CONTROLLER_SRC_ALERTS_H
#define CONTROLLER_SRC_ALERTS_H

#include "state.h"

/* All alerts: X(name, word, todo). todo: what the operator should do. The meaning of a word never changes;
 * docs/operating.md has the same list. */
#define ALERT_LIST(X)                                                                                                                  \
    X(VOTER_OUT, "seat-out",                                                                                                           \
      "the cluster cannot tolerate the loss of another controller: check its machine, disk and network, or start an empty controller") \
    X(LOSSES_FEW, "losses-few",                                                                                                        \
      "fewer controller losses can be tolerated than the settings require: start a controller with an empty disk")                     \
    X(VOTER_SLOW, "seat-slow", "its disk is slow to sync: check the disk")                                                             \
    X(DISK_REFUSES, "disk-refuses", "its disk refuses writes: free space on it, or replace the machine")                               \
    X(PLAN_BROKEN, "plan-broken",                                                                                                      \
      "after this loss some protected work would wait for capacity: add capacity, or request less")                                    \
    X(UNASSURED, "unassured", "protected work runs that no plan covers: add capacity, or let it preempt other work")                   \
    X(PROTECTED_WAITS, "protected-waits",                                                                                              \
      "lost protected work waits for capacity: add capacity, or cancel other work")                                                    \
    X(WORKER_LOST, "worker-lost", "its agent's lease has lapsed: look at the machine and its agent")                                   \
    X(WORKER_RESTS, "worker-rests",                                                                                                    \
      "its work fails or runs slowly although it reports itself healthy: check the machine")                                           \
    X(POLICY_FAILS, "policy-fails",                                                                                                    \
      "a policy failed, and jobs are served in order of arrival meanwhile: correct the policy's text")                                 \
    X(REPAIRING, "repairing", "changes that the disks lost are being submitted again: wait, then check the disks")                     \
    X(ZONE_EMPTIED, "zone-emptied", "the zone is drained and gets no new work: end the drain when its work is done")

/* The todo of worker-lost when the agent is alive but receives nothing from its worker. */
#define WORKER_SILENT_TODO "its agent lives and does not hear it: look at the worker's process"

typedef enum Alert {
#define X(name, word, todo) ALERT_##name,
    ALERT_LIST(X)
#undef X
        ALERT_COUNT
} Alert;

/* The name of an alert in the API and in metrics; points to static storage. */
const char *alert_word(Alert alert);
/* Checks the causes of all alerts: raises alerts, and ends those whose cause no longer exists. */
void alerts_check(Controller *controller);
/* The active alerts as [{"alert", "subject", "forMs", "todo"}], oldest first; owned by the caller. */
json_object *alerts_show(const Controller *controller);
/* The number of active alerts of one kind. */
size_t alerts_count(const Controller *controller, Alert alert);
/* Spawns the task that calls alerts_check periodically. */
void alerts_start(Controller *controller);

#endif
