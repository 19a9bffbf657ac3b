#ifndef EXPLORE_EXPLORE_H
#define EXPLORE_EXPLORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A randomized explorer of the replicated log alone: replication, members and RPC endpoints run on simulated machines
 * with a small state instead of jobs, clients that submit changes, and an adversary. Every rule is checked after each
 * step. Used by its command (tool/explore.c) and its tests. The same plan gives the same run. */

/* What the adversary does. Each act lasts for its for_ms, then it is undone. */
#define ACT_LIST(X)                                                             \
    X(KILL, "kill")           /* the process; started again */                  \
    X(POWER, "power")         /* the machine: what was being written is torn */ \
    X(BLACKOUT, "blackout")   /* power of all machines */                       \
    X(WIPE, "wipe")           /* started again with an empty disk */            \
    X(LEAVE, "leave")         /* a graceful shutdown, for good */               \
    X(VANISH, "vanish")       /* it is gone for good at once */                 \
    X(JOIN, "join")           /* a new machine with an empty disk */            \
    X(FREEZE, "freeze")       /* the process stands still */                    \
    X(CUT_BOTH, "cut")        /* from all others */                             \
    X(CUT_OUT, "cut-out")     /* what it sends goes nowhere */                  \
    X(CUT_IN, "cut-in")       /* nothing reaches it */                          \
    X(CUT_ONE, "cut-one")     /* one way to one other */                        \
    X(DELAY, "delay")         /* amount: ms at most, for every frame */         \
    X(FAR, "far")             /* amount: ms more for each of its frames */      \
    X(DROP, "drop")           /* amount: frames of a thousand that are lost */  \
    X(REPEAT, "repeat")       /* amount: ... that come once more, late */       \
    X(CLOCK, "clock")         /* amount: its rate, in percent */                \
    X(DISK_SLOW, "disk-slow") /* amount: ms for each sync */                    \
    X(DISK_FAIL, "disk-fail") /* writes fail */                                 \
    X(STEP_DOWN, "step-down") /* the leader gives up its term */                \
    X(CHANGES, "changes")     /* amount: changes submitted at once */

typedef enum ActKind {
#define X(name, word) ACT_##name,
    ACT_LIST(X)
#undef X
        ACT_KINDS
} ActKind;

/* To which node it does it, chosen when it does. */
#define WHO_LIST(X)       \
    X(LEADER, "leader")   \
    X(VOTER, "voter")     \
    X(LEARNER, "learner") \
    X(ANY, "any")

typedef enum Who {
#define X(name, word) WHO_##name,
    WHO_LIST(X)
#undef X
        WHO_KINDS
} Who;

/* Steps of the protocol that an act waits for. */
#define MOMENT_LIST(X)                                    \
    X(NONE, "by the clock")                               \
    X(ELECTION, "a node begins to stand for election")    \
    X(PROMISE, "a promise of a higher term is on a disk") \
    X(LEADS, "a node begins to lead")                     \
    X(LIST, "a list of voters is in a log and not committed")

typedef enum Moment {
#define X(name, text) MOMENT_##name,
    MOMENT_LIST(X)
#undef X
        MOMENT_KINDS
} Moment;

typedef struct Act {
    int64_t at_ms; /* since the cluster was founded */
    ActKind kind;
    Who who;
    unsigned pick; /* which of them: modulo their number */
    int64_t for_ms;
    unsigned amount;
    Moment from;  /* it begins at the first such step after at_ms, or MOMENT_MOST_MS after it */
    Moment until; /* it ends at the first such step, or after for_ms */
} Act;

#define MOMENT_MOST_MS 3000 /* ms; for so long an act waits for its moment */

#define EXPLORE_ACTS_MAX 80 /* count */

/* Invariant: acts are in order of time. */
typedef struct ExplorePlan {
    uint64_t seed, world;  /* of the plan; of the world: delays, disks, clients */
    int losses;            /* disks that may be lost at once: twice that and one voters are wanted */
    int spares;            /* machines beyond the voters, from the start on */
    bool by_votes;         /* founded by the seeds' votes; else by three empty disks */
    bool precise;          /* acts begin and end at moments */
    bool pace;             /* disks are lost one after another, each once the last loss must have been repaired */
    bool beyond;           /* more disks may be lost than the log tolerates: then only safety is required */
    size_t snapshot;       /* entries after which a snapshot replaces the log */
    int64_t voter_back_ms; /* as the setting of that meaning: a lost voter is replaced within this */
    int64_t length_ms;     /* of the adversary */
    Act acts[EXPLORE_ACTS_MAX];
    bool skipped[EXPLORE_ACTS_MAX];
    size_t act_count;
} ExplorePlan;

/* The rules: what must never happen. */
#define RULE_LIST(X)                                                                    \
    X(NONE, "none")                                                                     \
    X(TWO_LEADERS, "two nodes lead in one epoch")                                       \
    X(TWO_CLAIMS, "two nodes say at one moment that they lead")                         \
    X(COMMITTED_CHANGED, "what was committed has changed")                              \
    X(COMMITTED_LOST, "a leader lacks what was committed")                              \
    X(STATE_OTHER, "a state is not that of the one history")                            \
    X(TWICE, "a change was delivered twice")                                            \
    X(REFUSED_TAKEN, "a change that was refused was taken")                             \
    X(ACK_LOST, "an acknowledged change is not in the history")                         \
    X(COMMIT_DISKS, "committed on fewer disks than a majority")                         \
    X(ACK_DISKS, "acknowledged on fewer disks than the losses that are borne, and one") \
    X(VOTERS_STEP, "lists of voters that follow each other differ by more than a step") \
    X(TWO_CHANGES, "a change of voters was ordered before the last was committed")      \
    X(OLD_VOTERS, "a node leads by an old list of voters")                              \
    X(PROMISE_FELL, "a promise fell")                                                   \
    X(PROMISE_UNSYNCED, "a lead rests on promises that no disk holds")                  \
    X(LOG_SHORTER, "a log got shorter than what was synced in the same history")        \
    X(TWO_CLUSTERS, "two clusters were founded")                                        \
    X(NOT_OPENED, "a disk could not be opened")                                         \
    X(NOT_FOUNDED, "no cluster came about")                                             \
    X(NOT_LIVE, "no change was committed in time")                                      \
    X(NOT_WHOLE, "the voters were not whole in time")

typedef enum Rule {
#define X(name, text) RULE_##name,
    RULE_LIST(X)
#undef X
        RULE_COUNT
} Rule;

typedef struct ExploreResult {
    Rule rule; /* the first that was broken */
    int64_t at_ms;
    char why[240];
    uint64_t steps, committed, acknowledged, leads, voter_changes;
    uint64_t done[ACT_KINDS]; /* acts that found a node */
    bool lived;               /* liveness was required */
    int64_t live_ms;          /* from the end of the adversary to the first acknowledgement */
    int64_t whole_ms;         /* ... until as many voters as are wanted are there */
} ExploreResult;

/* The plan of a seed; it stays the same as long as the drawing is not changed. */
void explore_plan_of(uint64_t seed, ExplorePlan *plan);
/* A plan of losses one after another and nothing else, each once the last must have been repaired. */
void explore_pace_of(uint64_t seed, ExplorePlan *plan);
/* A plan as explore_plan_of draws it, of which many acts begin or end at moments, with clocks at their bounds and
 * restarts as quick as they can be. */
void explore_precise_of(uint64_t seed, ExplorePlan *plan);
/* Runs the plan; loud: prints what happens, and the flight recorders when a rule breaks. Blocks. */
void explore_run(const ExplorePlan *plan, bool loud, ExploreResult *result);
/* Leaves out every act that the break does not need. return: false when the plan breaks no rule. */
bool explore_shrink(ExplorePlan *plan, ExploreResult *result);
/* Prints the plan as rows of C, without the acts that are skipped. */
void explore_print(const ExplorePlan *plan);
/* What the rule says is broken. */
const char *rule_text(Rule rule);

#endif
