#ifndef SETTINGS_BOUNDS_H
#define SETTINGS_BOUNDS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/constants.h"

/* The settings of a whole deployment: times and counts, with their defaults and ranges (bounds). All
 * processes of a cluster must be given the same values.
 * X(name, default, least, most, meaning). Units are in the names; names are what a protocol
 * adapter sets them by. */
#define BOUND_LIST(X)                                                                                           \
    X(lease_ms, "holdMs", AGENT_LEASE_MS, 1000, 60000, "an agent's lease, as the leader answers its heartbeat") \
    X(worker_lease_ms, "workerHoldMs", AGENT_LEASE_MS, 500, 60000,                                              \
      "the most of it that the agent passes on to its worker")                                                  \
    X(worker_poll_ms, "workerPollMs", WORKER_POLL_MS, 0, 10000,                                                 \
      "a worker's report waits for its answer at most so long")                                                 \
    X(stop_ms, "stopMs", 1000, 1, 60000, "a worker stops an attempt within this")                               \
    X(gang_ms, "gangMs", 3000, 1, 600000, "a gang's first member waits so long for the last")                   \
    X(save_ms, "saveMs", 1000, 1, 600000, "an attempt that makes checkpoints does so this often")               \
    X(far_percent, "farPercent", 150, 100, 10000,                                                               \
      "work away from its data, or spread over racks, takes so much of its time")                               \
    X(job_keep_ms, "jobKeepMs", JOB_KEEP_MS, 1000, 86400000, "an ended job is kept so long")                    \
    X(voter_back_ms, "seatBackMs", VOTER_REPLACE_MS, 1000, 600000,                                              \
      "a voter that returns, or is replaced, has all data within this")                                         \
    X(losses, "losses", 1, 1, 4, "disk machines that may be lost at once: voters are twice that and one")       \
    X(founds, "founds", 2, 0, 2,                                                                                \
      "a cluster is founded: 0 not from here, 1 by the seeds' votes, 2 by three empty disks")                   \
    X(grace_ms, "graceMs", DRAIN_MS, 100, 600000, "SIGTERM: gone within this")                                  \
    X(unready_ms, "unreadyMs", DRAIN_MS / 6, 0, 600000,                                                         \
      "... and not before this, so that callers see that it is not ready")                                      \
    X(retell_ms, "retellMs", REPAIR_KEEP_MS, 0, 3600000,                                                        \
      "the repair buffer keeps what the disks may lose for so long")                                            \
    X(leader_wait_ms, "leaderWaitMs", LEADER_WAIT_MS, 0, 60000,                                                 \
      "from a leader's loss, a request waits so long for another")                                              \
    X(outcome_wait_ms, "outcomeWaitMs", FORWARD_DEADLINE_MS, 0, 60000,                                          \
      "what a lost leader may have taken is sent again for so long")                                            \
    X(disks_keep, "disksKeep", 0, 0, 1, "1: what a disk has synced outlasts a loss of power")

typedef struct Bounds {
#define X(name, outside, otherwise, least, most, meaning) int64_t name;
    BOUND_LIST(X)
#undef X
    int64_t features_off; /* a bit for each feature that is off (features.h) */
} Bounds;

/* All at their defaults. */
Bounds bounds_first(void);
/* Sets one by its name. 0: done; -1: there is no such name; -2: out of its range, and left as
 * it was. */
int bounds_set(Bounds *bounds, const char *name, int64_t value);

#endif
