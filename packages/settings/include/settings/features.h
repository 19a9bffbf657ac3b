#ifndef SETTINGS_FEATURES_H
#define SETTINGS_FEATURES_H

#include "settings/bounds.h"

/* Features: mechanisms by which the leader decides, each of which a deployment may run without (setting "without"), to
 * see what it is worth. What keeps the safety properties is none: it can't be switched off. X(name, word, what is done
 * without it). */
#define FEATURE_LIST(X)                                                                                           \
    X(ESTIMATES, "estimates", "the submitters' estimates of run times count as they are")                         \
    X(TARGET_ORDER, "target-order", "latency targets have no part in the order of work")                          \
    X(PRIORITY, "priority", "priorities have no part in the order of work under the built-in policy")             \
    X(PREEMPTION, "preemption", "nothing is preempted")                                                           \
    X(RESERVATIONS, "reservations", "no capacity is reserved for large or urgent work")                           \
    X(EJECT_FAILING, "eject-failing", "workers that fail their work, or let it stand still, are given as much")   \
    X(EJECT_SLOW, "eject-slow", "workers that are slow are given as much")                                        \
    X(RESTART_SLOW, "restart-slow", "slow attempts, and those that stand still, are left where they are")         \
    X(GANG_REPAIR, "gang-repair", "gangs that are not whole are not looked for")                                  \
    X(AFFINITY, "affinity", "work is placed without regard to its data and its step's rack")                      \
    X(FORECAST, "capacity-forecast", "a worker that is full now is taken for full")                               \
    X(LEAVE_EARLY, "leave-early", "attempts stay on a worker that leaves until it is gone")                       \
    X(PASS_OVERDUE, "pass-overdue", "workers whose heartbeat is overdue are given work until their lease lapses") \
    X(TOGETHER, "together", "the tasks of a step with a latency target are spread like others")                   \
    X(ADAPTIVE_GRANT, "adaptive-grant", "the leader asks for the longest grant of its lock always")

typedef enum Feature {
#define X(name, word, without) FEATURE_##name,
    FEATURE_LIST(X)
#undef X
        FEATURE_COUNT
} Feature;

/* Whether the deployment runs with the feature; all are on at first. */
bool feature_on(const Bounds *bounds, Feature feature);
/* Switches off the features of a list of words with commas between them, and no others. false: there is no such word,
 * which unknown (of FEATURE_WORD_MOST bytes) is then set to, and nothing has changed. */
bool features_without(Bounds *bounds, const char *words, char *unknown);

#define FEATURE_WORD_MOST 32 /* bytes, with the end */

#endif
