#ifndef SETTINGS_FEATURES_H
#define SETTINGS_FEATURES_H

#include "settings/cluster_settings.h"

/* Features: mechanisms that the leader uses for decisions. A deployment can disable each of them (setting "without") to
 * measure its benefit. Mechanisms that enforce the safety properties are not features and can't be disabled.
 * X(feature, name in the setting, behaviour without the feature). */
#define FEATURE_LIST(X)                                                                                              \
    X(ESTIMATES, "estimates", "run time estimates of submitters are used as they are")                               \
    X(TARGET_ORDER, "target-order", "latency targets do not affect the order of work")                               \
    X(PRIORITY, "priority", "priorities do not affect the order of work under the built-in policy")                  \
    X(PREEMPTION, "preemption", "nothing is preempted")                                                              \
    X(RESERVATIONS, "reservations", "no capacity is reserved for large or urgent work")                              \
    X(EJECT_FAILING, "eject-failing", "workers that fail their work or make no progress get as much work as others") \
    X(EJECT_SLOW, "eject-slow", "slow workers get as much work as others")                                           \
    X(RESTART_SLOW, "restart-slow", "attempts that are slow or make no progress are not restarted")                  \
    X(GANG_REPAIR, "gang-repair", "incomplete gangs are not detected")                                               \
    X(AFFINITY, "affinity", "work is placed without regard to the racks of its data and its step")                   \
    X(FORECAST, "capacity-forecast", "a worker that is full now is treated as full")                                 \
    X(LEAVE_EARLY, "leave-early", "attempts remain on a leaving worker until it is gone")                            \
    X(PASS_OVERDUE, "pass-overdue", "workers with an overdue heartbeat get work until their lease expires")          \
    X(TOGETHER, "together", "tasks of a step with a latency target are spread like others")                          \
    X(ADAPTIVE_GRANT, "adaptive-grant", "the leader always requests the longest grant of its lock")

typedef enum Feature {
#define X(feature, name, without) FEATURE_##feature,
    FEATURE_LIST(X)
#undef X
        FEATURE_COUNT
} Feature;

/* Returns whether the feature is enabled; by default all are. */
bool feature_enabled(const ClusterSettings *cluster_settings, Feature feature);
/* Disables the features in a comma-separated list of names, and enables all others. Returns false for an unknown name;
 * then unknown (of FEATURE_NAME_SIZE bytes) is set to that name, possibly truncated, and nothing has changed. */
bool features_disable(ClusterSettings *cluster_settings, const char *names, char *unknown);

#define FEATURE_NAME_SIZE 32 /* size of a feature name in bytes, with its terminating zero */

#endif
