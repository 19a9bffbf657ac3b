#ifndef REPLICATION_REPLICATION_H
#define REPLICATION_REPLICATION_H

#include "base/recorder.h"
#include "journal/journal.h"
#include "lock/lock.h"
#include "member/members.h"
#include "replication/messages.h"

/* Ordered delivery. All members of a view deliver the same changes in one
 * order, numbered by (term, index). The lock's holder orders. A change is
 * committed once every voter still in the view has synced it, and a view is at
 * least a majority of the voters. A voter that does not sync in time is taken out
 * by a change of view, never waited for without end. */
typedef struct Replication Replication;

/* Numbers of changes that the view itself owns; the embedder's start above. */
#define REPLICATION_CHANGE_TERM 1     /* payload: TermRecord */
#define REPLICATION_CHANGE_VOTERS 2   /* payload: VoterList */
#define REPLICATION_CHANGE_REPAIRED 3 /* no payload */
#define REPLICATION_CHANGE_FIRST 16

/* What delivering a change brought about. */
typedef struct ChangeResult {
    Status status;
    uint64_t number;
    uint64_t index; /* of the change in the log; set by the view */
} ChangeResult;

/* The state that the changes build up, owned by the embedder. deliver, save and
 * load never wait. deliver must depend on the change and the state alone. */
typedef struct ReplicationState {
    void *arg;
    void (*deliver)(void *arg, const Record *change, ChangeResult *result);
    /* The whole state, on mem. */
    Bytes (*save)(void *arg, void *mem);
    /* Puts a saved state in place of the present one; empty bytes: the first state. */
    Status (*load)(void *arg, Bytes saved);
} ReplicationState;

typedef enum ReplicationPhase { REPLICATION_FOLLOWING, REPLICATION_OPENING, REPLICATION_LEADING } ReplicationPhase;

/* Called within the commit of the first entry of a view opened by this node,
 * before it counts as leading; does not wait. repair: it rests on woken voters,
 * so committed changes may have been lost and must be told again. */
typedef void (*ReplicationOpened)(void *arg, uint64_t term, bool new_holder, bool repair);

/* How this process may come to found a cluster. */
typedef enum ReplicationFounds {
    REPLICATION_FOUNDS_NEVER,    /* it only joins: an empty disk here is one that was lost or is new */
    REPLICATION_FOUNDS_BY_VOTES, /* the first start of all: by the votes of the seeds */
    REPLICATION_FOUNDS_BY_THREE, /* when exactly three empty disks see each other and nobody knows a cluster */
} ReplicationFounds;

typedef struct ReplicationSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members; /* set by replication_start */
    Recorder *recorder;
    ReplicationState state;
    ReplicationOpened opened;
    void *opened_arg;
    int losses; /* disks that may be lost at once: twice that and one voters are wanted; 0: 1 */
    ReplicationFounds founds;
    bool disks_keep;         /* what a disk has synced outlasts a loss of power */
    int64_t voter_back_ms;   /* a voter that returns, or is replaced, is whole again within this; 0: VOTER_GONE_MS */
    size_t snapshot_entries; /* the log is shortened after so many entries; 0: LOG_SNAPSHOT_ENTRIES */
} ReplicationSettings;

Replication *replication_new(void *mem, const ReplicationSettings *settings);
/* Waits. Opens the journal and reads it: from here on replication_disk is known. */
Status replication_open_disk(Replication *replication, const char *path, const char *node_name, Failure *failure);
/* Begins to answer as a voter and to stand for the lock. */
void replication_start(Replication *replication, Members *members);

/* Waits until the change is delivered here. NOT_LEADER, BUSY: certainly not
 * taken. OUTCOME_UNKNOWN: it may yet be delivered. OK: the result is told. */
Status replication_submit(Replication *replication, uint64_t change, Bytes payload, ChangeResult *result);

/* Orders a change and does not wait for it: it is delivered in its place, or this
 * node leads no more. Waits only while the view is opened anew. */
Status replication_offer(Replication *replication, uint64_t change, Bytes payload);
/* Waits until all that was ordered so far is delivered here. */
Status replication_settle(Replication *replication);
/* Waits. What was lost has been told again. */
Status replication_repaired(Replication *replication);

/* Whether this node holds the lock and leads, as of now, by its own clock. */
bool replication_leading(const Replication *replication);
/* Whether it holds the lock, also while it opens a view anew: holds may be
 * answered, nothing may be decided. */
bool replication_holds(const Replication *replication);
/* Waits until a majority of the voters has granted the lock to this node in answer to
 * questions that were sent after the call: whatever the clocks do, nobody else had led by
 * the time of the call. NOT_LEADER: another may; EXPIRED: nobody knows. */
Status replication_contact(Replication *replication, int64_t until_ms);
uint64_t configuration_term(const Replication *replication);
/* When this node won the lock from another (or from nobody). */
int64_t replication_won_ms(const Replication *replication);
/* The time that the log counts: never goes back, passes only while a leader's
 * or follower's own clock passes. */
int64_t replication_clock_ms(const Replication *replication);
/* The median of the voters' wall clocks, carried on by the own clock. */
int64_t replication_wall_ms(const Replication *replication);
/* Gives the lock up, if held; does not propose itself for rest_ms. */
void replication_step_down(Replication *replication, int64_t rest_ms);
/* Waits, until then at most. The process is to end, and has told the members so: a
 * leader has a learner added as a voter and hands the lock over; whoever leads then
 * removes this voter. Where no learner is there it stays a voter, and says so. */
void replication_leave(Replication *replication, int64_t until_ms);

/* Cluster and voters. */
bool replication_founded(const Replication *replication);
uint64_t replication_cluster(const Replication *replication); /* 0: none */
bool replication_seated(const Replication *replication);
uint64_t replication_disk(const Replication *replication);
/* The disks that have a voter; their count. */
size_t replication_voters(const Replication *replication, uint64_t voters[VOTER_MOST]);
/* Waits. Makes this disk part of a cluster. */
Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters);
/* Founds a cluster, as the settings say. */
void replication_founding(Replication *replication);
/* Whether a lock holder is known to run here (rule 2's question). */
bool replication_knows_holder(const Replication *replication);

/* For status. */
typedef struct ReplicationVoterStatus {
    uint64_t disk;
    bool in_configuration;
    bool answers;
    bool woke;
    int64_t sync_ms;
    uint64_t match_index;
    uint64_t sight;
} ReplicationVoterStatus;

/* A controller without a vote that follows the log; known to the leader alone. */
typedef struct ReplicationLearnerStatus {
    uint64_t disk;
    bool answers;
    bool ready; /* it can be given a vote at once */
    uint64_t match_index;
} ReplicationLearnerStatus;

typedef struct ReplicationStatus {
    ReplicationPhase phase;
    uint64_t term;
    uint64_t holder;
    bool woke;
    uint64_t last_index, commit_index, delivered_index, base_index;
    int64_t lease_left_ms;
    uint64_t configuration_changes;
    size_t voter_count; /* of the rows of voters, which are those of the disks that have one */
    ReplicationVoterStatus voters[VOTER_MOST];
    size_t learner_count;
    ReplicationLearnerStatus learners[LEARNER_MOST];
    int losses_borne; /* so many more voters may be lost; negative: so many are missing for a majority */
    int losses_asked; /* as the settings ask */
    JournalCounts journal;
    uint64_t other_histories; /* orders to drop what is committed, all refused */
} ReplicationStatus;

void replication_status(const Replication *replication, ReplicationStatus *sight);
/* For lines of the log, at any time, also before the disk is open: the term that this
 * node is in, and how far it knows the log to be committed. */
void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index);
/* Raised after each delivery and each change of phase. */
Signal *replication_news(Replication *replication);

#endif
