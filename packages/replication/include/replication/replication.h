#ifndef REPLICATION_REPLICATION_H
#define REPLICATION_REPLICATION_H

#include "base/recorder.h"
#include "journal/journal.h"
#include "lock/lock.h"
#include "member/members.h"
#include "replication/messages.h"

/* The replicated log: voters agree on one order of changes and deliver them to a state machine.
 *
 * Each controller node (packages/controller) has one; learners follow the log without a vote. As in Raft, entries are
 * numbered by (term, index) and committed in order, and each term has one leader, which appends them. Unlike in Raft:
 *  - a leader has a lease (the master lock of XenServer's HA design, see lock/lock.h) and acts only while the lease is
 *    valid;
 *  - a change is committed once every voter in the *view* has synced it. The view is at least a majority of the voters,
 *    like the in-sync replicas of primary-backup replication. The leader removes a voter that does not sync in time
 *    from the view; that voter keeps its vote and rejoins the view later;
 *  - a candidate with a shorter log may win: it copies the best log of its majority before it appends anything.
 *
 * Invariants: at most one node leads at a time; a committed entry is in the log of every later leader; all nodes
 * deliver the same changes in the same order.
 *
 * Terminology: "holder" is the leader, as the holder of the lease; "restarted" describes a node that has restarted and
 * has been in no view since; a voter is identified by the id of its disk, so an array of "voters" holds disk ids. The
 * status page calls a term "epoch" and the voters "seats". Times are ms of the loop's clock unless stated otherwise.
 * A function whose comment does not state that it suspends the coroutine returns immediately. */
typedef struct Replication Replication;

/* Numbers of the changes that the replicated log appends itself; those of the embedder (the controller) begin at
 * REPLICATION_CHANGE_FIRST. Part of the on-disk format. */
#define REPLICATION_CHANGE_TERM 1     /* payload: TermRecord */
#define REPLICATION_CHANGE_VOTERS 2   /* payload: VoterList */
#define REPLICATION_CHANGE_REPAIRED 3 /* no payload */
#define REPLICATION_CHANGE_FIRST 16

/* The result of delivering a change, from the state machine. */
typedef struct ChangeResult {
    Status status;
    uint64_t number; /* defined by the state machine */
    uint64_t index;  /* log index of the change; set by the replicated log */
} ChangeResult;

/* The state machine to which changes are delivered, owned by the embedder. None of the functions may suspend the
 * coroutine. deliver must depend on the change and the state only, so that all nodes reach the same state. */
typedef struct ReplicationState {
    void *arg;
    /* Applies the next committed change, which is owned by the log. */
    void (*deliver)(void *arg, const Record *change, ChangeResult *result);
    /* Returns the complete state, packed and allocated on mem. */
    Bytes (*save)(void *arg, void *mem);
    /* Replaces the present state by a saved one; empty bytes stand for the initial state. */
    Status (*load)(void *arg, Bytes saved);
} ReplicationState;

/* FOLLOWING: another node leads, or none does. ELECTING (Raft: candidate): an election of this node is under way, until
 * the first entry of the new term is committed. LEADING: this node leads. */
typedef enum ReplicationPhase { REPLICATION_FOLLOWING, REPLICATION_ELECTING, REPLICATION_LEADING } ReplicationPhase;

/* Called when the first entry of a term that this node leads is committed, before its phase becomes LEADING. Must not
 * suspend the coroutine. new_holder: its lease was not carried over from an earlier term. repair: the view contains
 * restarted voters whose disks may have lost synced data, so committed changes may have been lost and have to be sent
 * again. */
typedef void (*ReplicationOpened)(void *arg, uint64_t term, bool new_holder, bool repair);

/* Whether and how this process may found a cluster. */
typedef enum FoundingMode {
    FOUNDING_NEVER,          /* it only joins one: an empty disk is a replacement or a new one */
    FOUNDING_BY_VOTES,       /* at the very first start: by the votes of the seeds */
    FOUNDING_BY_THREE_DISKS, /* when exactly three empty disks see each other and no member knows of a cluster */
} FoundingMode;

/* Settings given by the embedder. Everything they point to must outlive the Replication. */
typedef struct ReplicationSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members; /* set by replication_start */
    Recorder *recorder;
    ReplicationState state;
    ReplicationOpened term_opened; /* may be NULL */
    void *term_opened_arg;
    int losses; /* number of disks that may be lost at the same time; 2 * losses + 1 voters are wanted; 0: 1 */
    FoundingMode founding_mode;
    bool longest_grant;           /* always request the longest grant of the lock, not one adapted to measured delays */
    bool disks_durable;           /* synced data survives a loss of power */
    int64_t voter_replacement_ms; /* time within which a lost voter is replaced, in ms; 0: VOTER_REPLACE_MS */
    size_t snapshot_entries;      /* number of entries after which a snapshot is made; 0: LOG_SNAPSHOT_ENTRIES */
} ReplicationSettings;

/* --- start ------------------------------------------------------------------------- */

/* Creates the replicated log of a node, allocated on mem, with a copy of the settings and without a disk yet. */
Replication *replication_new(void *mem, const ReplicationSettings *settings);
/* Suspends the coroutine. Opens or creates the journal at the path and reads it; afterwards replication_disk is known.
 * A corrupt journal is replaced by a new, empty one. JOURNAL_FOREIGN: the journal belongs to another node;
 * JOURNAL_FORMAT: it was written by a later release; DISK_FAILED. failure (out): the reason as text. */
Status replication_open_disk(Replication *replication, const char *path, const char *node_name, Failure *failure);
/* Starts answering requests as a voter or learner, and standing for election. */
void replication_start(Replication *replication, Members *members);

/* --- changes ----------------------------------------------------------------------- */

/* Submits a change. Suspends the coroutine until it is delivered on this node. OK: *result is set. NOT_LEADER, BUSY:
 * the change was not appended. OUTCOME_UNKNOWN: it may still be delivered. */
Status replication_submit(Replication *replication, uint64_t change, Bytes payload, ChangeResult *result);
/* Submits a change without awaiting its delivery. The change is delivered in log order, unless this node loses the
 * leadership. Suspends the coroutine only while this leader opens another term. NOT_LEADER, BUSY: the change was not
 * appended. */
Status replication_submit_async(Replication *replication, uint64_t change, Bytes payload);
/* Suspends the coroutine until all entries appended so far are delivered on this node (a barrier), for wait_ms at most.
 * NOT_LEADER: they were not delivered in time, or the leadership was lost. */
Status replication_barrier(Replication *replication, int64_t wait_ms);
/* Suspends the coroutine. Records that the changes that may have been lost have been sent again (see
 * ReplicationOpened). Returns the statuses of replication_submit. */
Status replication_mark_repaired(Replication *replication);

/* --- leadership --------------------------------------------------------------------- */

/* Whether this node leads now, by its own clock, and may acknowledge changes. */
bool replication_leading(const Replication *replication);
/* Whether this node's lease is valid, also while it opens another term: workers' leases may then be renewed, but
 * nothing may be decided. */
bool replication_lease_valid(const Replication *replication);
/* Whether this node knows a leader, or may have known one before a restart (survival rule 2 of XenServer's HA
 * design). */
bool replication_knows_leader(const Replication *replication);
/* Suspends the coroutine, until until_ms at the latest. OK: a majority of the voters has granted the lease to this node
 * in answer to requests that were sent after the call, so no other node led at the time of the call, however wrong the
 * clocks are (Raft: ReadIndex). NOT_LEADER: another node may lead; EXPIRED: too few answers in time. */
Status replication_confirm_leader(Replication *replication, int64_t until_ms);
/* The term that this node leads or led last; 0: none. */
uint64_t replication_led_term(const Replication *replication);
/* When this node last won the lease without having held it before. */
int64_t replication_lease_won_ms(const Replication *replication);
/* Gives up the leadership, if this node has it. The node does not stand for election for rest_ms (0: no pause). */
void replication_step_down(Replication *replication, int64_t rest_ms);
/* Graceful shutdown, to be called after members_set_leaving. Suspends the coroutine, until until_ms at the latest. A
 * leader first waits until a learner has been added as a voter and then gives up the leadership; the next leader
 * removes this voter. If there is no learner, this node remains a voter and logs that. */
void replication_leave(Replication *replication, int64_t until_ms);

/* --- clocks ------------------------------------------------------------------------- */

/* The log's clock, in ms since the cluster was founded. It never falls below the latest time stamp in the
 * log, and stands still while no node runs. */
int64_t replication_clock_ms(const Replication *replication);
/* The median of the voters' wall clocks, advanced by this node's own clock, in ms since 1970. */
int64_t replication_wall_ms(const Replication *replication);

/* --- cluster and voters ---------------------------------------------------------------- */

bool replication_founded(const Replication *replication);     /* whether the disk belongs to a cluster */
uint64_t replication_cluster(const Replication *replication); /* the id of that cluster; 0: none */
bool replication_is_voter(const Replication *replication); /* whether this node is a voter according to its own log */
uint64_t replication_disk(const Replication *replication); /* the id of this node's disk */
/* Writes the disks of the voters in the order of their positions (state.h). Returns their number. */
size_t replication_voters(const Replication *replication, uint64_t voters[VOTERS_MAX]);
/* Suspends the coroutine for disk I/O. Makes this disk part of a cluster that is being founded. FOREIGN_CLUSTER: the
 * disk belongs to another cluster. */
Status replication_found(Replication *replication, uint64_t cluster, const VoterList *voters);
/* Spawns the task that founds a cluster as the settings specify; none if this node may not found one. */
void replication_found_start(Replication *replication);

/* --- status --------------------------------------------------------------------------- */

/* One voter. Of other voters than itself, a node that does not lead knows only the disk. */
typedef struct ReplicationVoterStatus {
    uint64_t disk;
    bool in_view;
    bool answers; /* it answered within the last LOCK_GRANT_MS */
    bool restarted;
    bool refuses;         /* its disk refuses writes; known to the leader only */
    int64_t sync_ms;      /* duration of its last sync, in ms */
    uint64_t match_index; /* its log is synced up to this index */
    uint64_t reach;       /* number of members that it reaches (members_reach) */
} ReplicationVoterStatus;

/* One learner; known to the leader only. */
typedef struct ReplicationLearnerStatus {
    uint64_t disk;
    bool answers;
    bool ready;   /* it can be made a voter immediately */
    bool refuses; /* its disk refuses writes */
    uint64_t match_index;
} ReplicationLearnerStatus;

/* The status of the replicated log on this node, for status pages and log lines. */
typedef struct ReplicationStatus {
    ReplicationPhase phase;
    uint64_t term;   /* as in replication_place */
    uint64_t holder; /* the disk to which this voter has promised the term */
    bool restarted;
    uint64_t last_index, commit_index, delivered_index, base_index; /* base_index: that of the snapshot */
    int64_t lease_left_ms; /* remaining time of this node's lease as leader, in ms */
    uint64_t view_changes; /* since the start of the process */
    size_t voter_count;    /* number of rows in voters */
    ReplicationVoterStatus voters[VOTERS_MAX];
    size_t learner_count; /* number of rows in learners */
    ReplicationLearnerStatus learners[LEARNERS_MAX];
    int losses_tolerated;  /* number of further voters that may be lost; negative: number missing for a majority */
    int losses_configured; /* ReplicationSettings.losses */
    JournalCounts journal;
    uint64_t history_conflicts; /* number of refused requests to drop committed entries */
} ReplicationStatus;

/* Whether a change that enlarges the state by so many bytes may be submitted; the leader checks this first. OK, or
 * STATE_FULL if the state would exceed STATE_FULL_BYTES. No snapshot is made of a state larger than SNAPSHOT_MAX_BYTES,
 * so the journal would grow without bound. May measure the state, at most once in STATE_MEASURE_INTERVAL_MS. */
Status replication_admit(Replication *replication, size_t bytes);
/* Fills in *status. */
void replication_status(const Replication *replication, ReplicationStatus *status);
/* The log position that log lines carry (base/recorder.h): the term that this node is in and its commit index. May be
 * called at any time, also before the disk is open. */
void replication_place(const Replication *replication, uint64_t *term, uint64_t *commit_index);
/* The signal that is raised after each delivery and each change of phase; owned by the Replication. */
Signal *replication_changed_signal(Replication *replication);

#endif
