#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/failure.h"

/* A site: a deployment as its owners describe it, with machines, workers, the jobs that are submitted, and the bounds
 * that the rules use. Built-in ones are in site.c, others are read from ini files.
 *
 * X(name, default, meaning): spans and counts, with the unit at the end of the name. */
#define SITE_LIST(X)                                                                                       \
    X(zones, "zones", 3, "zones")                                                                          \
    X(controllers, "cores", 3, "machines at the edge with a disk, over the zones in turn")                 \
    X(entry_points, "gates", 3, "machines at the edge without one")                                        \
    X(spares, "spares", 2, "empty machines that may take a core's place")                                  \
    X(worker_models, "hands", 11, "workers, an agent beside each")                                         \
    X(rack_worker_models, "rackHands", 3, "workers of a rack")                                             \
    X(worker_model_cpu_milli, "handCpuMilli", 64000, "room of a worker")                                   \
    X(worker_model_mem_mb, "handMemMb", 131072, "... and its memory")                                      \
    X(guards, "guards", 0, "1: workers turn away what does not fit")                                       \
    X(losses, "losses", 1, "disk machines that may be lost at once")                                       \
    X(link_ms, "linkMs", 2, "the most that a message takes one way")                                       \
    X(slow_percent, "slowPercent", 2, "a worker's steady clock may be so much slow")                       \
    X(lead_ms, "leadMs", 10000, "from the machines' start to the first job")                               \
    X(traffic_ms, "trafficMs", 34000, "jobs are handed in for so long")                                    \
    X(finish_ms, "finishMs", 14000, "... and asked for so long after it")                                  \
    X(caller_wait_ms, "callerWaitMs", 3000, "a caller waits so long for an answer")                        \
    X(caller_tries, "callerTries", 4, "... and tries so often again")                                      \
    X(contact_ms, "contactMs", 3000, "a machine is in touch after so long without trouble")                \
    X(ack_ms, "ackMs", 4000, "an order of the operator is acknowledged within this")                       \
    X(sync_ms, "syncMs", 4000, "a loss counts for so long after the machine's return")                     \
    X(drain_ms, "drainMs", 2000, "a worker that leaves gets nothing new after this")                       \
    X(grace_ms, "graceMs", 6000, "from the polite stop to the end by force")                               \
    X(apply_ms, "applyMs", 2000, "a document is in force everywhere within this")                          \
    X(revert_ms, "revertMs", 250, "a machine that has shown it does not go back after this")               \
    X(evac_ms, "evacMs", 5000, "an emptied zone gets nothing new after this")                              \
    X(recover_ms, "recoverMs", 12000, "all served again within this after the closing fault")              \
    X(lease_max_ms, "holdMaxMs", 10000, "a longer hold is cut to this")                                    \
    X(stop_ms, "stopMs", 200, "a worker stops a round within this")                                        \
    X(gang_ms, "gangMs", 3000, "a gang's members wait so long for the others")                             \
    X(cancel_ms, "cancelMs", 3000, "nothing of a cancelled job starts after this")                         \
    X(visible_ms, "visibleMs", 3000, "an accepted job is known everywhere after this")                     \
    X(early_ms, "earlyMs", 250, "a turn may begin so early")                                               \
    X(status_ms, "statusMs", 120000, "an ended job is known for so long")                                  \
    X(far_percent, "farPercent", 150, "away from its data, or over racks, work takes so much of its time") \
    X(save_ms, "saveMs", 1000, "progress is saved after each so much of work")                             \
    X(restore_ms, "restoreMs", 250, "work that goes on from what was saved begins after this")             \
    X(heartbeat_ms, "beatMs", 1500, "a worker beats at least this often")                                  \
    X(deaf, "deaf", 0, "1: workers can't say that they leave")

/* One kind of work that callers submit; each has a queue of its own. X(name, default, meaning) */
#define SITE_KIND_LIST(X)                                                                      \
    X(per_minute, "perMinute", 60, "jobs in a minute, from all zones")                         \
    X(steps, "steps", 1, "steps of a job, at most")                                            \
    X(tasks, "tasks", 4, "tasks of a step, in the mean")                                       \
    X(task_ms, "taskMs", 1000, "work of a task on a sound worker, in the mean")                \
    X(cpu_milli, "cpuMilli", 4000, "room of a task, in the mean")                              \
    X(mem_mb, "memMb", 8000, "... and its memory")                                             \
    X(target_ms, "aimMs", 1000, "time beyond the stretched work within which it is worth all") \
    X(stretch_percent, "stretchPercent", 150, "... of the longest chain of work")              \
    X(priority, "priority", 1, "0 goes first")                                                 \
    X(attempts, "rounds", 3, "a task is given so many")                                        \
    X(fail_milli, "failMilli", 10, "of a thousand rounds so many fail by themselves")          \
    X(gang_percent, "gangPercent", 0, "of steps so many work only together")                   \
    X(saves_percent, "savesPercent", 0, "of jobs so many keep their progress")                 \
    X(needs_percent, "needsPercent", 0, "of steps so many need a label")                       \
    X(near_percent, "nearPercent", 20, "of steps so many have their data on a rack")           \
    X(apart_percent, "apartPercent", 10, "of steps so many may not stand together")            \
    X(copies_percent, "copiesPercent", 0, "of jobs so many may run twice")                     \
    X(turns_percent, "turnsPercent", 0, "of jobs so many run at several times")                \
    X(lasting_percent, "lastingPercent", 0, "of jobs so many run until cancelled")             \
    X(cancel_percent, "cancelPercent", 3, "of jobs so many are cancelled")                     \
    X(twice_percent, "twicePercent", 5, "of jobs so many are handed in twice at once")

typedef struct SiteKind {
    char name[32];
#define X(name, outside, otherwise, meaning) int64_t name;
    SITE_KIND_LIST(X)
#undef X
} SiteKind;

#define SITE_KINDS_MAX 8

typedef struct Site {
    char name[32];
#define X(name, outside, otherwise, meaning) int64_t name;
    SITE_LIST(X)
#undef X
    SiteKind kinds[SITE_KINDS_MAX];
    size_t kind_count;
} Site;

/* The built-in site of the name; false: there is none. */
bool site_named(const char *name, Site *site);
/* Reads an ini file, [site] and a group for each kind, over the defaults. return: OK, or why not, with the text in
 * failure. */
Status site_read(const char *path, Site *site, Failure *failure);
/* The name of a zone by its number. */
const char *site_zone(int64_t zone);

#endif
