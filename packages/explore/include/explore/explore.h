#ifndef EXPLORE_EXPLORE_H
#define EXPLORE_EXPLORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A randomized explorer of the replicated log: the log, its members and their RPC endpoints run on simulated
 * machines, with a small state instead of jobs, clients that submit changes, and an adversary that injects faults.
 * Every rule is checked after each step. Used by the command spancart-explore (tool/explore.c) and the tests. The
 * same plan gives the same run. */

/* The kinds of acts of the adversary, with the words that name them. An act with a duration is undone after its
 * duration_ms. */
#define ACT_LIST(X)                                                                     \
    X(KILL, "kill")           /* kills the process; started again */                    \
    X(POWER, "power")         /* powers the machine off; a write in progress is torn */ \
    X(BLACKOUT, "blackout")   /* powers all machines off */                             \
    X(WIPE, "wipe")           /* powers off, empties the disk, starts again */          \
    X(LEAVE, "leave")         /* shuts down gracefully, permanently */                  \
    X(VANISH, "vanish")       /* removes the machine permanently and immediately */     \
    X(JOIN, "join")           /* adds a machine with an empty disk */                   \
    X(FREEZE, "freeze")       /* suspends the process */                                \
    X(CUT_BOTH, "cut")        /* cuts the node off from all others */                   \
    X(CUT_OUT, "cut-out")     /* loses all that the node sends */                       \
    X(CUT_IN, "cut-in")       /* loses all that is sent to the node */                  \
    X(CUT_ONE, "cut-one")     /* cuts one direction to one other node */                \
    X(DELAY, "delay")         /* amount: maximum delay of every frame, in ms */         \
    X(FAR, "far")             /* amount: extra delay of each of its frames, in ms */    \
    X(DROP, "drop")           /* amount: lost frames, in thousandths */                 \
    X(REPEAT, "repeat")       /* amount: duplicated frames, in thousandths */           \
    X(CLOCK, "clock")         /* amount: rate of its clock, in percent */               \
    X(DISK_SLOW, "disk-slow") /* amount: duration of each sync, in ms */                \
    X(DISK_FAIL, "disk-fail") /* disk writes fail */                                    \
    X(STEP_DOWN, "step-down") /* the leader gives up its term */                        \
    X(CHANGES, "changes")     /* amount: changes submitted at the same time */

typedef enum ActKind {
#define X(name, word) ACT_##name,
    ACT_LIST(X)
#undef X
        ACT_KINDS
} ActKind;

/* The target of an act: any node of this role at the time of the act. */
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

/* Moments: steps of the protocol at which an act can begin or end. */
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

/* One act of the adversary. */
typedef struct Act {
    int64_t at_ms; /* time since the cluster was founded */
    ActKind kind;
    Who who;
    unsigned pick; /* chooses among the matching nodes, modulo their number */
    int64_t duration_ms;
    unsigned amount; /* meaning depends on the kind, see ACT_LIST */
    Moment from;     /* the act begins at the first such moment after at_ms, or MOMENT_WAIT_MAX_MS after at_ms */
    Moment until;    /* the act ends at the first such moment, or after duration_ms */
} Act;

#define MOMENT_WAIT_MAX_MS 3000 /* the longest time that an act waits for its moment to begin */

#define EXPLORE_ACTS_MAX 80 /* acts in one plan, at most */

/* A run's parameters and acts.
 *
 * Invariant: acts are sorted by at_ms. */
typedef struct ExplorePlan {
    uint64_t seed, world; /* random seeds of the plan, and of the world (delays, disks, clients) */
    int losses;           /* losses tolerated at the same time: 2 * losses + 1 voters are configured */
    int spares;           /* machines in addition to the voters, present from the start */
    bool by_votes;        /* the cluster is founded by votes of the seeds; otherwise by three empty disks */
    bool precise;         /* acts may begin and end at moments */
    bool pace;          /* disks are lost in sequence, each after the time limit for the repair of the previous loss */
    bool excess_losses; /* more disks may be lost than the log tolerates: then only safety is required */
    size_t snapshot;    /* number of entries after which a snapshot replaces the log */
    int64_t voter_replacement_ms; /* as in ReplicationSettings */
    int64_t length_ms;            /* duration of the adversary */
    Act acts[EXPLORE_ACTS_MAX];
    bool skipped[EXPLORE_ACTS_MAX]; /* acts that are left out */
    size_t act_count;
} ExplorePlan;

/* The safety and liveness rules, with texts that describe how each is broken. */
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

/* The outcome of a run. */
typedef struct ExploreResult {
    Rule rule; /* the first rule that was broken */
    int64_t at_ms;
    char detail[240]; /* the circumstances of the break */
    /* Events of the world; client changes committed and acknowledged; terms with a leader; committed changes of the
     * voters. */
    uint64_t steps, committed, acknowledged, terms_led, voter_changes;
    uint64_t performed[ACT_KINDS]; /* acts performed, by kind */
    bool liveness_checked;         /* liveness was required, as a majority of the voters was left */
    int64_t recovery_ms;           /* from the end of the adversary to the first acknowledgement */
    int64_t voters_complete_ms;    /* from the end of the adversary until all configured voters are present */
} ExploreResult;

/* Generates the plan of a seed. The result stays the same as long as the generator does not change. */
void explore_plan_random(uint64_t seed, ExplorePlan *plan);
/* Generates a pace plan: disk losses in sequence, each after the time limit for the repair of the previous loss, and
 * joins of learners; no other acts. */
void explore_plan_pace(uint64_t seed, ExplorePlan *plan);
/* Generates the plan of explore_plan_random with many acts beginning or ending at moments, with clock rates at their
 * bounds, and with restarts as fast as possible. */
void explore_plan_precise(uint64_t seed, ExplorePlan *plan);
/* Runs the plan and fills in the result. verbose: prints each event, and the flight recorders if a rule breaks. Returns
 * when the run has ended. */
void explore_run(const ExplorePlan *plan, bool verbose, ExploreResult *result);
/* Skips every act of the plan that is not needed to break its rule. Returns false if the plan breaks no rule. */
bool explore_shrink(ExplorePlan *plan, ExploreResult *result);
/* Prints the plan as a C initializer, without the skipped acts. */
void explore_print(const ExplorePlan *plan);
/* Returns the text that describes how the rule is broken. */
const char *rule_text(Rule rule);

#endif
