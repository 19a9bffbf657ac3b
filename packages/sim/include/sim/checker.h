#ifndef SIM_CHECKER_H
#define SIM_CHECKER_H

#include "loop/loop.h"
#include "table/table.h"

/* The brief's nevers as invariants. A checker is told what really happens (what
 * workers run, what callers were told, who plans) and says which never broke. */
#define NEVER_LIST(X)                                                      \
    X(TWO_LEADERS, "two leaders planning at once")                           \
    X(TWICE, "one task running twice at once")                               \
    X(AFTER_FINISH, "a task starting after it finished well")                \
    X(FORGOTTEN, "an accepted job forgotten or unknown")                     \
    X(REFUSED_RAN, "a refused job running")                                  \
    X(TOO_EARLY, "a task starting before its steps or its due time")         \
    X(OVERPACKED, "a worker packed beyond its room or given what it lacks")  \
    X(CANCELLED_RAN, "a task starting long after its job was cancelled")     \
    X(STOPPED_RAN, "a task running on after its hold lapsed")                \
    X(LEAVING_GIVEN, "a leaving worker or emptied zone given new work")      \
    X(GANG_SPLIT, "members of a gang left waiting alone")                    \
    X(CONFIG_LOST, "an acknowledged configuration ignored, lost or rolled back")

typedef enum Never {
#define X(name, words) NEVER_##name,
    NEVER_LIST(X)
#undef X
        NEVER_COUNT
} Never;

const char *neverWords(Never never);

typedef struct Checker Checker;

/* nowMs is one clock for all that is told. */
typedef struct CheckerProps {
    void *arg;
    int64_t (*nowMs)(void *arg);
    /* Whether the worker's machine stands still now, so that what it "runs" does not run. */
    bool (*frozen)(void *arg, const char *worker);
    /* A job as accepted, from any node that knows it; null when none does. */
    const Job *(*job)(void *arg, const char *id);
} CheckerProps;

Checker *checkerNew(void *mem, const CheckerProps *props);
/* What was seen to break: count, and the first one's words. */
size_t checkerBroken(const Checker *checker, Never never);
size_t checkerBrokenAll(const Checker *checker);
const char *checkerFirst(const Checker *checker);

void checkerPlans(Checker *checker, const char *leader, uint64_t epoch);
/* The process that leads or led has ended. */
void checkerLeaderGone(Checker *checker, const char *leader);
void checkerWorker(Checker *checker, const Worker *worker);
void checkerStarted(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t round, Room room);
void checkerEnded(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word);
void checkerKnown(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t round, RoundWord word);
/* The worker's process is gone: nothing runs there any more. */
void checkerWorkerGone(Checker *checker, const char *worker);
/* It has just begun to run again after standing still. */
void checkerWorkerWoke(Checker *checker, const char *worker);
void checkerLeaving(Checker *checker, const char *worker, bool leaving);
void checkerZone(Checker *checker, const char *zone, bool drained);
void checkerAccepted(Checker *checker, const char *job);
void checkerRefused(Checker *checker, const char *job);
void checkerCancelled(Checker *checker, const char *job);
void checkerJobEnded(Checker *checker, const char *job, const char *phase);
void checkerUnknown(Checker *checker, const char *job);
/* The revision that an operator was told is in force, and one read back later. */
void checkerConfigSet(Checker *checker, uint64_t revision);
void checkerConfigRead(Checker *checker, uint64_t revision);
/* Accepted jobs not shown as ended. */
size_t checkerOpen(const Checker *checker);
size_t checkerStarts(const Checker *checker);
/* How long ago the worker last started something. */
int64_t checkerStartedSince(Checker *checker, const char *worker);
/* To be called now and then: looks for what takes time to go wrong. */
void checkerLook(Checker *checker);
/* At the end of a run: every accepted job must have ended. */
void checkerEnd(Checker *checker);

#endif
