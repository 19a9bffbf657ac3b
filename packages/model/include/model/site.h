#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/failure.h"

/* A deployment as its owners describe it: machines, workers, what is handed in,
 * and the bounds that the rules speak of. Spans and counts, units in the names.
 * X(name, default, meaning) */
#define SITE_LIST(X)                                                                        \
    X(zones, 3, "zones")                                                                    \
    X(cores, 3, "machines at the edge with a disk, over the zones in turn")                 \
    X(gates, 3, "machines at the edge without one")                                         \
    X(spares, 2, "empty machines that may take a core's place")                             \
    X(hands, 11, "workers, an agent beside each")                                           \
    X(rackHands, 3, "workers of a rack")                                                    \
    X(handCpuMilli, 64000, "room of a worker")                                              \
    X(handMemMb, 131072, "... and its memory")                                              \
    X(guards, 0, "1: workers turn away what does not fit")                                  \
    X(losses, 1, "disk machines that may be lost at once")                                  \
    X(linkMs, 2, "the most that a message takes one way")                                   \
    X(slowPercent, 2, "a worker's steady clock may be so much slow")                        \
    X(leadMs, 10000, "from the machines' start to the first job")                           \
    X(trafficMs, 34000, "jobs are handed in for so long")                                   \
    X(finishMs, 14000, "... and asked for so long after it")                                \
    X(callerWaitMs, 3000, "a caller waits so long for an answer")                           \
    X(callerTries, 4, "... and tries so often again")                                       \
    X(contactMs, 3000, "a machine is in touch after so long without trouble")               \
    X(ackMs, 4000, "an order of the operator is acknowledged within this")                  \
    X(syncMs, 4000, "a loss counts for so long after the machine's return")                 \
    X(drainMs, 2000, "a worker that leaves gets nothing new after this")                    \
    X(graceMs, 6000, "from the polite stop to the end by force")                            \
    X(applyMs, 2000, "a document is in force everywhere within this")                       \
    X(revertMs, 250, "a machine that has shown it does not go back after this")             \
    X(evacMs, 5000, "an emptied zone gets nothing new after this")                          \
    X(recoverMs, 12000, "all served again within this after the closing fault")             \
    X(holdMaxMs, 10000, "a longer hold is cut to this")                                     \
    X(stopMs, 200, "a worker stops a round within this")                                    \
    X(gangMs, 3000, "a gang's members wait so long for the others")                         \
    X(cancelMs, 3000, "nothing of a cancelled job starts after this")                       \
    X(visibleMs, 3000, "an accepted job is known everywhere after this")                    \
    X(earlyMs, 250, "a turn may begin so early")                                            \
    X(statusMs, 120000, "an ended job is known for so long")                                \
    X(farPercent, 150, "away from its data, or over racks, work takes so much of its time") \
    X(saveMs, 1000, "progress is saved after each so much of work")                         \
    X(restoreMs, 250, "work that goes on from what was saved begins after this")            \
    X(beatMs, 1500, "a worker beats at least this often")                                   \
    X(deaf, 0, "1: workers can't say that they leave")

/* One kind of work that callers hand in: a queue's.
 * X(name, default, meaning) */
#define SITE_KIND_LIST(X)                                                         \
    X(perMinute, 60, "jobs in a minute, from all zones")                          \
    X(steps, 1, "steps of a job, at most")                                        \
    X(tasks, 4, "tasks of a step, in the mean")                                   \
    X(taskMs, 1000, "work of a task on a sound worker, in the mean")              \
    X(cpuMilli, 4000, "room of a task, in the mean")                              \
    X(memMb, 8000, "... and its memory")                                          \
    X(aimMs, 1000, "time beyond the stretched work within which it is worth all") \
    X(stretchPercent, 150, "... of the longest chain of work")                    \
    X(priority, 1, "0 goes first")                                                \
    X(rounds, 3, "a task is given so many")                                       \
    X(failMilli, 10, "of a thousand rounds so many fail by themselves")           \
    X(gangPercent, 0, "of steps so many work only together")                      \
    X(savesPercent, 0, "of jobs so many keep their progress")                     \
    X(needsPercent, 0, "of steps so many need a label")                           \
    X(nearPercent, 20, "of steps so many have their data on a rack")              \
    X(apartPercent, 10, "of steps so many may not stand together")                \
    X(copiesPercent, 0, "of jobs so many may run twice")                          \
    X(turnsPercent, 0, "of jobs so many run at several times")                    \
    X(lastingPercent, 0, "of jobs so many run until cancelled")                   \
    X(cancelPercent, 3, "of jobs so many are cancelled")                          \
    X(twicePercent, 5, "of jobs so many are handed in twice at once")

typedef struct SiteKind {
    char name[32];
#define X(name, otherwise, meaning) int64_t name;
    SITE_KIND_LIST(X)
#undef X
} SiteKind;

#define SITE_KINDS_MAX 8

typedef struct Site {
    char name[32];
#define X(name, otherwise, meaning) int64_t name;
    SITE_LIST(X)
#undef X
    SiteKind kinds[SITE_KINDS_MAX];
    size_t kindCount;
} Site;

/* The site of the name that is built in; false when there is none. */
bool siteNamed(const char *name, Site *site);
/* Reads an ini file: [site] and a group for each kind, over the defaults. */
Status siteRead(const char *path, Site *site, Failure *failure);
const char *siteZone(int64_t zone);

#endif
