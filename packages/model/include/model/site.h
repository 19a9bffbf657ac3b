#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/failure.h"

/* A site: a deployment as its owners describe it, with its machines, workers, workload, and the limits that the
 * rules use. The built-in sites are in site.c, others are read from ini files.
 *
 * X(name, key in the ini file, default, meaning); the name ends with the unit. */
#define SITE_LIST(X)                                                                                  \
    X(zones, "zones", 3, "zones")                                                                     \
    X(controllers, "cores", 3, "controllers, spread over the zones")                                  \
    X(entry_points, "gates", 3, "entry points, spread over the zones")                                \
    X(spares, "spares", 2, "unused machines that can replace a controller")                           \
    X(worker_models, "hands", 11, "workers, each with an agent")                                      \
    X(rack_worker_models, "rackHands", 3, "workers in each rack")                                     \
    X(worker_model_cpu_milli, "handCpuMilli", 64000, "CPU of a worker, in thousandths")               \
    X(worker_model_mem_mb, "handMemMb", 131072, "memory of a worker")                                 \
    X(guards, "guards", 0, "1: workers refuse tasks that do not fit")                                 \
    X(losses, "losses", 1, "controllers that may be lost at once")                                    \
    X(link_ms, "linkMs", 2, "maximum one-way network delay")                                          \
    X(slow_percent, "slowPercent", 2, "maximum drift of a worker's steady clock, slow")               \
    X(lead_ms, "leadMs", 10000, "time from the start of the machines to the first job")               \
    X(traffic_ms, "trafficMs", 34000, "time for which jobs are submitted")                            \
    X(finish_ms, "finishMs", 14000, "time for which jobs are read afterwards")                        \
    X(caller_wait_ms, "callerWaitMs", 3000, "timeout of a caller's request")                          \
    X(caller_tries, "callerTries", 4, "retries of a caller")                                          \
    X(contact_ms, "contactMs", 3000, "a machine counts as in touch after this time without a fault")  \
    X(ack_ms, "ackMs", 4000, "the operator's requests must be acknowledged within this time")         \
    X(sync_ms, "syncMs", 4000, "a loss counts until this time after the machine's return")            \
    X(drain_ms, "drainMs", 2000, "a leaving worker must get no new task after this time")             \
    X(grace_ms, "graceMs", 6000, "time from a graceful shutdown to the forced one")                   \
    X(apply_ms, "applyMs", 2000, "a document must be in force everywhere within this time")           \
    X(revert_ms, "revertMs", 250, "a machine that has applied it must not revert after this time")    \
    X(evac_ms, "evacMs", 5000, "a drained zone must get no new task after this time")                 \
    X(recover_ms, "recoverMs", 12000, "service must recover from the closing fault within this time") \
    X(lease_max_ms, "holdMaxMs", 10000, "maximum lease of a worker; longer ones are reduced to it")   \
    X(stop_ms, "stopMs", 200, "a worker stops an attempt within this time")                           \
    X(gang_ms, "gangMs", 3000, "time for which members of a gang wait for the others")                \
    X(cancel_ms, "cancelMs", 3000, "no task of a cancelled job may start after this time")            \
    X(visible_ms, "visibleMs", 3000, "an accepted job must be known everywhere after this time")      \
    X(early_ms, "earlyMs", 250, "a turn may begin this early")                                        \
    X(status_ms, "statusMs", 120000, "time for which an ended job is known")                          \
    X(far_percent, "farPercent", 150, "duration of work away from its data or over several racks")    \
    X(save_ms, "saveMs", 1000, "work between two checkpoints")                                        \
    X(restore_ms, "restoreMs", 250, "time to restore a checkpoint")                                   \
    X(heartbeat_ms, "beatMs", 1500, "maximum interval between a worker's heartbeats")                 \
    X(deaf, "deaf", 0, "1: workers cannot announce that they leave")                                  \
    X(late_heartbeat_milli, "lateBeatMilli", 0, "heartbeats that arrive late, in thousandths")        \
    X(late_heartbeat_ms, "lateBeatMs", 3000, "the most by which they are late")                       \
    X(late_submission_milli, "lateSubmitMilli", 0, "submissions that arrive late, in thousandths")    \
    X(late_submission_ms, "lateSubmitMs", 9000, "the most by which they are late")                    \
    X(depart_first_percent, "departFirstPercent", 0, "leaving workers that say so last, and run on")

/* A kind of job that callers submit; each kind has its own queue. X(name, key, default, meaning) */
#define SITE_KIND_LIST(X)                                                                          \
    X(per_minute, "perMinute", 60, "jobs per minute, from all zones")                              \
    X(steps, "steps", 1, "maximum number of steps in a job")                                       \
    X(tasks, "tasks", 4, "mean number of tasks in a step")                                         \
    X(task_ms, "taskMs", 1000, "mean duration of a task on an undisturbed worker")                 \
    X(cpu_milli, "cpuMilli", 4000, "mean CPU of a task, in thousandths")                           \
    X(mem_mb, "memMb", 8000, "mean memory of a task")                                              \
    X(target_ms, "aimMs", 1000, "constant part of the latency target")                             \
    X(stretch_percent, "stretchPercent", 150, "proportional part, of the longest chain of work")   \
    X(priority, "priority", 1, "0 is scheduled first")                                             \
    X(attempts, "rounds", 3, "attempts allowed for a task")                                        \
    X(fail_milli, "failMilli", 10, "attempts that fail by themselves, in thousandths")             \
    X(gang_percent, "gangPercent", 0, "steps that are gangs")                                      \
    X(saves_percent, "savesPercent", 0, "jobs that make checkpoints")                              \
    X(needs_percent, "needsPercent", 0, "steps that require a label")                              \
    X(near_percent, "nearPercent", 20, "steps whose data is on a rack")                            \
    X(apart_percent, "apartPercent", 10, "steps with a limit of tasks per worker")                 \
    X(copies_percent, "copiesPercent", 0, "jobs whose tasks may run twice")                        \
    X(turns_percent, "turnsPercent", 0, "jobs that run in several turns")                          \
    X(lasting_percent, "lastingPercent", 0, "jobs that run until they are cancelled")              \
    X(cancel_percent, "cancelPercent", 3, "jobs that are cancelled")                               \
    X(twice_percent, "twicePercent", 5, "jobs that are submitted twice at once")                   \
    X(tasks_max, "tasksMax", 60, "maximum number of tasks in a step")                              \
    X(payload_bytes, "payloadBytes", 0, "length to which the payload is filled up")                \
    X(abandon_percent, "abandonPercent", 0, "jobs that are cancelled after a call without answer") \
    X(spread_percent, "spreadPercent", 0, "gangs with a member on each worker that may run them")

/* A kind of job of a site. */
typedef struct SiteKind {
    char name[32];
#define X(name, outside, otherwise, meaning) int64_t name;
    SITE_KIND_LIST(X)
#undef X
} SiteKind;

#define SITE_KINDS_MAX 8

/* A deployment; kinds must not be empty. */
typedef struct Site {
    char name[32];
#define X(name, outside, otherwise, meaning) int64_t name;
    SITE_LIST(X)
#undef X
    SiteKind kinds[SITE_KINDS_MAX];
    size_t kind_count;
} Site;

/* Fills in the built-in site of this name. Returns false if there is none. */
bool site_builtin(const char *name, Site *site);
/* Reads a site from an ini file with a group [site] and a group for each kind; keys that are missing have their
 * defaults. Returns STATUS_OK, or STATUS_BAD_SETTINGS with the reason in failure. */
Status site_read(const char *path, Site *site, Failure *failure);
/* Returns the name of the zone with this number. */
const char *site_zone(int64_t zone);

#endif
