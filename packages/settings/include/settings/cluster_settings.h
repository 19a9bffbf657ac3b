#ifndef SETTINGS_CLUSTER_SETTINGS_H
#define SETTINGS_CLUSTER_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/constants.h"

/* The settings of an entire deployment: times and counts with their defaults and ranges. All processes of a cluster
 * must have the same values.
 * X(field, name, default, minimum, maximum, meaning). A protocol adapter sets them by name. Units are in the names. */
#define CLUSTER_SETTING_LIST(X)                                                                                       \
    X(lease_ms, "holdMs", AGENT_LEASE_MS, 1000, 60000,                                                                \
      "lease of an agent, granted by the leader's answer to its heartbeat")                                           \
    X(worker_lease_ms, "workerHoldMs", AGENT_LEASE_MS, 500, 60000,                                                    \
      "maximum part of its lease that an agent grants to its worker")                                                 \
    X(worker_poll_ms, "workerPollMs", WORKER_POLL_WAIT_MS, 0, 10000,                                                  \
      "maximum wait of a worker's report for its answer")                                                             \
    X(stop_ms, "stopMs", 1000, 1, 60000, "time within which a worker stops an attempt")                               \
    X(gang_ms, "gangMs", 3000, 1, 600000, "time that the first member of a gang waits for the last one")              \
    X(save_ms, "saveMs", 1000, 1, 600000, "interval of the checkpoints of an attempt that writes them")               \
    X(far_percent, "farPercent", 150, 100, 10000,                                                                     \
      "run time of work away from its data, or spread over racks, in percent of its usual run time")                  \
    X(job_keep_ms, "jobKeepMs", JOB_KEEP_MS, 1000, 86400000, "retention of ended jobs")                               \
    X(voter_back_ms, "seatBackMs", VOTER_REPLACE_MS, 1000, 600000,                                                    \
      "time within which a voter that returns, or its replacement, has all data")                                     \
    X(losses, "losses", 1, 1, 4, "number of disk machines that may be lost at once; there are 2 x losses + 1 voters") \
    X(founds, "founds", 2, 0, 2,                                                                                      \
      "how a cluster is founded: 0 not by this process, 1 by votes of the seeds, 2 by three empty disks")             \
    X(grace_ms, "graceMs", DRAIN_MS, 100, 600000, "time from SIGTERM to the end of the process, at most")             \
    X(unready_ms, "unreadyMs", DRAIN_MS / 6, 0, 600000,                                                               \
      "time from SIGTERM to the end of the process, at least, so that callers see that it is not ready")              \
    X(retell_ms, "retellMs", REPAIR_KEEP_MS, 0, 3600000,                                                              \
      "retention of changes that the disks may lose, in the repair buffer")                                           \
    X(leader_wait_ms, "leaderWaitMs", LEADER_WAIT_MS, 0, 60000,                                                       \
      "time that a request waits for a new leader after the loss of a leader")                                        \
    X(outcome_wait_ms, "outcomeWaitMs", FORWARD_DEADLINE_MS, 0, 60000,                                                \
      "time for which a request that a lost leader may have accepted is sent again")                                  \
    X(disks_keep, "disksKeep", 0, 0, 1, "1: synced data survives a power failure")

/* The values of the settings in CLUSTER_SETTING_LIST. */
typedef struct ClusterSettings {
#define X(field, name, default_value, min, max, meaning) int64_t field;
    CLUSTER_SETTING_LIST(X)
#undef X
    int64_t features_off; /* a bit for each disabled feature (features.h) */
} ClusterSettings;

/* Returns the defaults. */
ClusterSettings cluster_settings_default(void);
/* Sets a value by name. Returns 0 on success, -1 for an unknown name, and -2 when the value is out of range; it is then
 * not set. */
int cluster_settings_set(ClusterSettings *cluster_settings, const char *name, int64_t value);

#endif
