#ifndef REPLICATION_REPLICATION_H
#define REPLICATION_REPLICATION_H

#include "base/recorder.h"
#include "journal/journal.h"
#include "lock/lock.h"
#include "member/members.h"
#include "replication/messages.h"

/* The replicated log: voters agree on one order of changes and deliver them to a state machine.
 *
 * Used by the controller nodes (packages/controller), each of which has one; learners follow without a
 * vote. As in Raft a log is numbered by (term, index), its entries are committed in order, and a
 * leader per term orders them. Other than in Raft:
 *  - a leader has a lease (the paper's lock, see lock/lock.h), and acts only while it runs;
 *  - a change is committed once every voter of the *view*, a majority at least, has synced it. A
 *    voter that does not sync in time is taken out of the view, and comes back later;
 *  - a new leader takes the best log of its majority over before it orders anything.
 *
 * Invariants: at most one node leads at a time; what is committed is in the log of every later
 * leader; all nodes deliver the same changes in the same order.
 *
 * Names: "term" is the term, "voter" the place of a voter, "holder" the leader (who has the lease),
 * "woke" a node that has restarted and has not been brought up to date since. Times are ms of the
 * loop's clock unless said otherwise. "Waits" means that the calling task is suspended; what does not
 * say so returns at once. */
typedef struct Replication Replication;

/* Numbers of changes that the replicated log itself owns; the embedder's are REPLICATION_CHANGE_FIRST and
 * above. Part of the format on disk. */
#define REPLICATION_CHANGE_TERM 1     /* payload: TermRecord */
#define REPLICATION_CHANGE_VOTERS 2   /* payload: VoterList */
#define REPLICATION_CHANGE_REPAIRED 3 /* no payload */
#define REPLICATION_CHANGE_FIRST 16

/* What delivering a change brought about, as the state machine says. */
typedef struct ChangeResult {
    Status status;
    uint64_t number; /* the embedder's own */
    uint64_t index;  /* of the change in the log; set by the replicated log */
} ChangeResult;

/* The state machine that the changes build up, owned by the embedder. None of the functions waits.
 * deliver must depend on the change and the state alone, so that all nodes come to the same state. */
typedef struct ReplicationState {
    void *arg;
    /* Takes the next committed change, which is owned by the log. */
    void (*deliver)(void *arg, const Record *change, ChangeResult *result);
    /* The whole state, packed; on mem. */
    Bytes (*save)(void *arg, void *mem);
    /* Puts a saved state in the place of the present one; empty bytes: the first state of all. */
    Status (*load)(void *arg, Bytes saved);
} ReplicationState;

/* following: led by another, or by nobody; opening: an election of this node's is under way. */
typedef enum ReplicationPhase { REPLICATION_FOLLOWING, REPLICATION_OPENING, REPLICATION_LEADING } ReplicationPhase;

/* Called within the commit of the first entry of a term that this node leads, before it counts as
 * leading; does not wait. new_holder: it did not lead just before. repair: the view rests on voters that
 * restarted with disks that may lose what they synced, so committed changes may have been lost and
 * must be told again. */
typedef void (*ReplicationOpened)(void *arg, uint64_t term, bool new_holder, bool repair);

/* How this process may come to found a cluster. */
typedef enum ReplicationFounds {
    REPLICATION_FOUNDS_NEVER,    /* it only joins: an empty disk here is one that was lost or is new */
    REPLICATION_FOUNDS_BY_VOTES, /* the first start of all: by the votes of the seeds */
    REPLICATION_FOUNDS_BY_THREE, /* when exactly three empty disks see each other and nobody knows a cluster */
} ReplicationFounds;

/* What the embedder gives; all of it outlives the View. */
typedef struct ReplicationSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members; /* set by replication_start */
    Recorder *recorder;
    ReplicationState state;
    ReplicationOpened opened; /* may be null */
    void *opened_arg;
    int losses; /* disks that may be lost at once: twice that and one are the voters wanted; 0: 1 */
    ReplicationFounds founds;
    bool disks_keep;         /* what a disk has synced outlasts a loss of power */
    int64_t voter_back_ms;   /* ms; a loss of a voter is made good within this; 0: VOTER_GONE_MS */
    size_t snapshot_entries; /* a snapshot is made after so many entries; 0: LOG_SNAPSHOT_ENTRIES */
} ReplicationSettings;

/* --- start ------------------------------------------------------------------------- */

/* Makes the replicated log of a node on mem, with a copy of the settings and no disk yet. */
Replication *replication_new(void *mem, const ReplicationSettings *settings);
/* Waits. Opens the journal at the path, or makes it, and reads it: from here on replication_disk is known. A
 * journal that is not whole is replaced by a new, empty one. JOURNAL_FOREIGN: it is another node's;
 * JOURNAL_FORMAT: a later release's; DISK_FAILED. failure: the reason as text. */
Status replication_open_disk(Replication *replication, const char *path, const char *node_name, Failure *failure);
/* Begins to answer as a voter or learner, and to stand for election. */
void replication_start(Replication *replication, Members *members);

/* --- changes ----------------------------------------------------------------------- */

/* Waits until the change is delivered here. OK: result is set. NOT_LEADER, BUSY: certainly not taken.
 * OUTCOME_UNKNOWN: it may yet be delivered. */
Status replication_submit(Replication *replication, uint64_t change, Bytes payload, ChangeResult *result);
/* Orders a change and does not wait for its delivery. It is delivered in its place, or this node leads
 * no more. Waits only while this leader opens a further term. NOT_LEADER, BUSY: not taken. */
Status replication_offer(Replication *replication, uint64_t change, Bytes payload);
/* Waits until all that was ordered so far is delivered here. NOT_LEADER: not known in time. */
Status replication_settle(Replication *replication);
/* Waits. Records that what may have been lost has been told again (see ReplicationOpened). Statuses of
 * replication_submit. */
Status replication_repaired(Replication *replication);

/* --- who leads --------------------------------------------------------------------- */

/* Whether this node leads as of now, by its own clock, and may acknowledge changes. */
bool replication_leading(const Replication *replication);
/* Whether its lease runs, also while it opens a further term: workers' leases may be renewed, nothing
 * may be decided. */
bool replication_leased(const Replication *replication);
/* Whether a leader is known here, or one may have been forgotten (the paper's survival rule 2). */
bool replication_knows_holder(const Replication *replication);
/* Waits, until until_ms at most. OK: a majority of the voters has granted the lease to this node in answer
 * to questions that were sent after the call, so that nobody else led by the time of the call, whatever
 * the clocks do (Raft: ReadIndex). NOT_LEADER: another may lead; EXPIRED: not known in time. */
Status replication_contact(Replication *replication, int64_t until_ms);
/* The term that this node leads, or led last; 0: none. */
uint64_t configuration_term(const Replication *replication);
/* When this node won the lease from another, or from nobody. */
int64_t replication_won_ms(const Replication *replication);
/* Gives up the lead, if it has it; does not stand for election for rest_ms (0: at once again). */
void replication_step_down(Replication *replication, int64_t rest_ms);
/* Waits, until until_ms at most. The process is to end, and has told the members so: a leader has a learner
 * added as a voter and gives up the lead; whoever leads then removes this voter. Where there is no learner
 * it stays a voter, and says so in the log. */
void replication_leave(Replication *replication, int64_t until_ms);

/* --- clocks ------------------------------------------------------------------------- */

/* The log's clock, in ms from its founding: never goes back, and passes only while the clock of a leader
 * or follower passes. */
int64_t replication_clock_ms(const Replication *replication);
/* The median of the voters' wall clocks, carried on by the own clock; ms since 1970. */
int64_t replication_wall_ms(const Replication *replication);

/* --- cluster and voters ---------------------------------------------------------------- */

bool replication_founded(const Replication *replication);     /* the disk belongs to a cluster */
uint64_t replication_cluster(const Replication *replication); /* its id; 0: none */
bool replication_seated(const Replication *replication);      /* this node is a voter, by its own log */
uint64_t replication_disk(const Replication *replication);    /* the id of the own disk */
/* The disks of the voters, in the order of their places; returns their count. */
size_t replication_voters(const Replication *replication, uint64_t voters[VOTER_MOST]);
/* Waits for the disk. Makes this disk part of a cluster that is being founded. STRANGER: it belongs to
 * another. */
Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters);
/* Spawns the task that founds a cluster, as the settings say; none where it may not. */
void replication_founding(Replication *replication);

/* --- status --------------------------------------------------------------------------- */

/* One voter. What is not of this node is known to the leader alone. */
typedef struct ReplicationVoterStatus {
    uint64_t disk;
    bool in_configuration;
    bool answers; /* within the last LOCK_GRANT_MS */
    bool restarted;
    int64_t sync_ms; /* how long its last sync took */
    uint64_t match_index;
    uint64_t reach; /* how many members it reaches */
} ReplicationVoterStatus;

/* A learner; known to the leader alone. */
typedef struct ReplicationLearnerStatus {
    uint64_t disk;
    bool answers;
    bool ready; /* it can be given a vote at once */
    uint64_t match_index;
} ReplicationLearnerStatus;

typedef struct ReplicationStatus {
    ReplicationPhase phase;
    uint64_t term;   /* as of replication_place */
    uint64_t holder; /* the disk that the own voter has promised to */
    bool restarted;
    uint64_t last_index, commit_index, delivered_index, base_index; /* base_index: of the snapshot */
    int64_t lease_left_ms;                                          /* of the own lease */
    uint64_t configuration_changes;
    size_t voter_count; /* rows of voters: one for each voter */
    ReplicationVoterStatus voters[VOTER_MOST];
    size_t learner_count;
    ReplicationLearnerStatus learners[LEARNER_MOST];
    int losses_borne; /* so many more voters may be lost; negative: so many are missing for a majority */
    int losses_asked; /* as the settings ask */
    JournalCounts journal;
    uint64_t other_histories; /* orders to drop what is committed, all refused */
} ReplicationStatus;

void replication_status(const Replication *replication, ReplicationStatus *reach);
/* For log lines, at any time, also before the disk is open: the term that this node is in, and up to which
 * index it knows the log to be committed. */
void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index);
/* Raised after each delivery and each change of phase; owned by the view. */
Signal *replication_update(Replication *replication);

#endif
