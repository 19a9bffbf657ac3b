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
 * vote. As in Raft, entries are numbered by (term, index) and committed in order, and each term has one
 * leader, which orders them. Unlike in Raft:
 *  - a leader has a lease (the paper's lock, see lock/lock.h), and acts only while it runs;
 *  - a change is committed once every voter in the *view* has synced it. The view is a majority of the voters or
 *    more, like the in-sync replicas of primary-backup replication. A voter that does not sync in time is taken out
 *    of the view by the leader, keeps its vote, and comes back later;
 *  - a candidate with a shorter log may win: it copies the best log of its majority before it orders anything.
 *
 * Invariants: at most one node leads at a time; what is committed is in the log of every later
 * leader; all nodes deliver the same changes in the same order.
 *
 * Names: "holder" is the leader, as the holder of the lease; "restarted" a node that has restarted and has been in no
 * view since; "voters" alone are disks: a voter is identified by the id of its disk. Status calls a term
 * "epoch" and voters "seats". Times are ms of the loop's clock unless said otherwise. "Waits" means that the
 * calling task is suspended; what does not say so returns at once. */
typedef struct Replication Replication;

/* Numbers of the log's own changes; those of the embedder (the controller) begin at
 * REPLICATION_CHANGE_FIRST. Part of the format on disk. */
#define REPLICATION_CHANGE_TERM 1     /* payload: TermRecord */
#define REPLICATION_CHANGE_VOTERS 2   /* payload: VoterList */
#define REPLICATION_CHANGE_REPAIRED 3 /* no payload */
#define REPLICATION_CHANGE_FIRST 16

/* The result of delivering a change, from the state machine. */
typedef struct ChangeResult {
    Status status;
    uint64_t number; /* its meaning is the state machine's */
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

/* FOLLOWING: led by another, or by nobody. ELECTING (Raft: candidate): an election of this node is under way, until the
 * first entry of its term is committed. */
typedef enum ReplicationPhase { REPLICATION_FOLLOWING, REPLICATION_ELECTING, REPLICATION_LEADING } ReplicationPhase;

/* Called within the commit of the first entry of a term that this node leads, before its phase is LEADING; must not
 * wait. new_holder: its lease did not run on from an earlier term. repair: the view contains restarted voters whose
 * disks may lose what they synced, so committed changes may have been lost and have to be sent again. */
typedef void (*ReplicationOpened)(void *arg, uint64_t term, bool new_holder, bool repair);

/* How this process may come to found a cluster. */
typedef enum ReplicationFounds {
    REPLICATION_FOUNDS_NEVER,    /* it only joins: an empty disk here is one that was lost or is new */
    REPLICATION_FOUNDS_BY_VOTES, /* the first start of all: by the votes of the seeds */
    REPLICATION_FOUNDS_BY_THREE, /* when exactly three empty disks see each other and nobody knows a cluster */
} ReplicationFounds;

/* What the embedder gives; everything it points to outlives the Replication. */
typedef struct ReplicationSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members; /* set by replication_start */
    Recorder *recorder;
    ReplicationState state;
    ReplicationOpened opened; /* may be null */
    void *opened_arg;
    int losses; /* disks that may be lost at once; 2 * losses + 1 voters are wanted; 0: 1 */
    ReplicationFounds founds;
    bool longest_grant;    /* asks for the longest grant of the lock always, not for what has been seen to be needed */
    bool disks_keep;       /* what a disk has synced outlasts a loss of power */
    int64_t voter_back_ms; /* ms; a lost voter is replaced within this; 0: VOTER_REPLACE_MS */
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
/* Waits until all that was ordered so far is delivered here (a barrier). NOT_LEADER: not known in time. */
Status replication_barrier(Replication *replication);
/* Waits. Records that what may have been lost has been sent again (see ReplicationOpened). Statuses of
 * replication_submit. */
Status replication_repaired(Replication *replication);

/* --- who leads --------------------------------------------------------------------- */

/* Whether this node leads as of now, by its own clock, and may acknowledge changes. */
bool replication_leading(const Replication *replication);
/* Whether its lease runs, also while it opens a further term: workers' leases may be renewed, nothing
 * may be decided. */
bool replication_leased(const Replication *replication);
/* Whether a leader is known here, or may have been known before a restart (the paper's survival rule 2). */
bool replication_knows_holder(const Replication *replication);
/* Waits, until until_ms at most. OK: a majority of the voters has granted the lease to this node in answer
 * to requests that were sent after the call, so that no other node led at the time of the call, however wrong the
 * clocks are (Raft: ReadIndex). NOT_LEADER: another may lead; EXPIRED: not known in time. */
Status replication_confirm_leader(Replication *replication, int64_t until_ms);
/* The term that this node leads, or led last; 0: none. */
uint64_t replication_led_term(const Replication *replication);
/* When this node won the lease from another, or from nobody. */
int64_t replication_won_ms(const Replication *replication);
/* Gives up the lead, if it has it; does not stand for election for rest_ms (0: at once again). */
void replication_step_down(Replication *replication, int64_t rest_ms);
/* Waits, until until_ms at most. Graceful shutdown, after members_set_leaving: a leader waits until a learner has been
 * added as a voter, and gives up the lead; the next leader then removes this voter. Where there is no learner this
 * node stays a voter, and logs that. */
void replication_leave(Replication *replication, int64_t until_ms);

/* --- clocks ------------------------------------------------------------------------- */

/* The log's clock, in ms since the cluster was founded: never goes back, and stands still while no node runs. */
int64_t replication_clock_ms(const Replication *replication);
/* The median of the voters' wall clocks, advanced by this node's own clock; ms since 1970. */
int64_t replication_wall_ms(const Replication *replication);

/* --- cluster and voters ---------------------------------------------------------------- */

bool replication_founded(const Replication *replication);     /* the disk belongs to a cluster */
uint64_t replication_cluster(const Replication *replication); /* its id; 0: none */
bool replication_is_voter(const Replication *replication);    /* this node is a voter, by its own log */
uint64_t replication_disk(const Replication *replication);    /* the id of the own disk */
/* The disks of the voters, in the order of their places (state.h); returns their count. */
size_t replication_voters(const Replication *replication, uint64_t voters[VOTER_MOST]);
/* Waits for the disk. Makes this disk part of a cluster that is being founded. STRANGER: it belongs to
 * another. */
Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters);
/* Spawns the task that founds a cluster, in the way the settings say; none where this node may not found one. */
void replication_found_start(Replication *replication);

/* --- status --------------------------------------------------------------------------- */

/* One voter. For other voters than this node only the leader knows more than the disk. */
typedef struct ReplicationVoterStatus {
    uint64_t disk;
    bool in_view;
    bool answers; /* within the last LOCK_GRANT_MS */
    bool restarted;
    bool refuses;    /* its disk refuses writes; known to the leader alone */
    int64_t sync_ms; /* how long its last sync took */
    uint64_t match_index;
    uint64_t reach; /* how many members it reaches (members_reach) */
} ReplicationVoterStatus;

/* A learner; known to the leader alone. */
typedef struct ReplicationLearnerStatus {
    uint64_t disk;
    bool answers;
    bool ready;   /* it can be given a vote at once */
    bool refuses; /* its disk refuses writes */
    uint64_t match_index;
} ReplicationLearnerStatus;

typedef struct ReplicationStatus {
    ReplicationPhase phase;
    uint64_t term;   /* as of replication_place */
    uint64_t holder; /* the disk that this voter has promised the term to */
    bool restarted;
    uint64_t last_index, commit_index, delivered_index, base_index; /* base_index: of the snapshot */
    int64_t lease_left_ms;                                          /* of this node's lease as leader */
    uint64_t view_changes;
    size_t voter_count; /* rows of voters: one for each voter */
    ReplicationVoterStatus voters[VOTER_MOST];
    size_t learner_count;
    ReplicationLearnerStatus learners[LEARNER_MOST];
    int losses_borne; /* how many more voters may be lost; negative: how many are missing for a majority */
    int losses_asked; /* ReplicationSettings.losses */
    JournalCounts journal;
    uint64_t other_histories; /* refused requests to drop committed entries */
} ReplicationStatus;

/* Whether a change that makes the state larger by so many bytes fits; asked by the leader before it submits one. OK;
 * STATE_FULL: from STATE_FULL_BYTES on, since a state larger than SNAPSHOT_MAX_BYTES is never made a snapshot, so that
 * the journal would grow without end. May measure the state, at most each STATE_SHRINK_MS. */
Status replication_admit(Replication *replication, size_t bytes);
void replication_status(const Replication *replication, ReplicationStatus *status);
/* The place that log lines carry (base/recorder.h): the term that this node is in, and up to which index it knows the
 * log to be committed. May be called at any time, also before the disk is open. */
void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index);
/* Raised after each delivery and each change of phase; owned by the Replication. */
Signal *replication_changed_signal(Replication *replication);

#endif
