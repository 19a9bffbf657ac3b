#ifndef REPLICATION_SRC_INSIDE_H
#define REPLICATION_SRC_INSIDE_H

#include "replication/log.h"
#include "replication/replication.h"

/* What the leader knows of one voter or learner, under its term.
 * Invariant: match_index is synced there; next_index > match_index. */
typedef struct Peer {
    uint64_t match_index, next_index;
    int64_t answered_ms;     /* it last answered anything */
    int64_t renewed_ms;      /* when the last renewal that it granted was sent; INT64_MIN: none */
    int64_t append_since_ms; /* an append is out since then; INT64_MAX: none */
    int64_t append_took_ms;  /* the last one */
    bool refill;             /* its log can't be mended by entries: send the snapshot */
    bool woke;
    int slow_times;    /* appends in a row that took longer than VOTER_SLOW_MS */
    int64_t return_ms; /* it left the view for being late: not back before this */
    uint64_t promised;
    int64_t wall_ms, wall_at_ms; /* its wall clock, and our clock when it was told; wall_at_ms 0: never */
    int64_t sync_ms;
    uint64_t sight;
    uint64_t contact; /* the newest round of contact that it has answered */
} Peer;

/* The slots of peers: one for each place of a voter, then one for each learner. */
#define SLOT_MOST (VOTER_MOST + LEARNER_MOST)

/* A controller without a vote that follows the log, so that it can be given one at once.
 * Invariant: turn grows each time that the slot is given; tasks of an earlier turn end. */
typedef struct Learner {
    uint64_t disk; /* 0: the slot is free */
    uint64_t turn;
    int64_t since_ms;
    int64_t ready_since_ms; /* INT64_MAX: it is not ready */
} Learner;

/* A snapshot that comes in pieces. Invariant: bytes.count < total. */
typedef struct Filling {
    uint64_t term, index; /* of the snapshot */
    uint64_t total, checksum;
    Bytes bytes;
} Filling;

/* A submitted change that waits for its delivery. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t term, index;
    bool done;
    Status status;
    ChangeResult result;
    Signal ended;
} Waiter;

/* Invariants:
 *  - delivered_index <= commit_index <= last index; all up to delivered_index have
 *    been given to the state, in order, once since it was last loaded;
 *  - voters and last are those of the newest VOTERS and REPLICATION entries in the log,
 *    committed or not;
 *  - a place in voters that nobody has is 0, and so are in_configuration, peers and
 *    hold.sent_ms of it;
 *  - phase is LEADING only after the first entry of term was committed;
 *  - of the VOTERS entries in the log all but the newest are committed;
 *  - tasks of a lead end when lead_turn is no longer theirs. */
struct Replication {
    ReplicationSettings settings;
    Loop *loop;
    Journal *journal;
    const char *node_name;
    uint64_t disk;
    /* the voter */
    uint64_t cluster;
    VoterList *founded;          /* never null */
    VoterList *list;             /* the newest; never null */
    uint64_t list_index;         /* of its entry; 0: it is the founded one */
    uint64_t voters[VOTER_MOST]; /* the disks of list */
    size_t places, voter_count;  /* the length of list; how many of them somebody has */
    TermRecord last;
    void *last_mem;
    LockVoter lock;
    bool woke;
    Log *log;
    uint64_t verified_index; /* entries known to be the holder's, under the promised term */
    uint64_t commit_index, delivered_index;
    int64_t clock_base_ms, clock_at_ms; /* the log's clock, and our own when it was told */
    int64_t clock_log_ms;               /* the latest in the log: it never goes back behind that */
    bool clock_runs;                    /* it was told, or it is ours: before that, our own time says nothing of it */
    Filling *filling;                   /* null: none is coming in */
    bool compacting;
    uint64_t other_histories; /* orders to drop what is committed */
    int64_t other_told_ms;
    uint64_t list_committed; /* the highest index of a list of voters known to be committed */
    bool list_old;           /* the log would make it lead by an older one: it does not vote any more */
    bool too_large;          /* its state is larger than a snapshot may be */
    bool mending;            /* the whole journal is written again after a failure */
    /* the holder */
    ReplicationPhase phase;
    uint64_t lead_turn;
    uint64_t term;
    LockLease lease;
    int64_t won_ms;
    bool holding;   /* the lock was won and not given up (also while a view is opened anew) */
    bool reopening; /* the opening under way is of a holder that never lost the lock */
    uint64_t replication_index;
    bool in_configuration[VOTER_MOST];
    Peer peers[SLOT_MOST];
    Learner learners[LEARNER_MOST];
    uint64_t learners_turn;   /* the lead that they follow */
    uint64_t learners_passed; /* a disk that was not ready in time; others go first */
    int64_t ask_ms;           /* the next round of contact before a change takes at most so long; 0: the least */
    Signal membership;        /* a change of membership is to be weighed at once */
    uint64_t queued_index;    /* handed to the own journal; what follows is synced after it */
    uint64_t synced_index;    /* own journal, as far as this lead knows */
    int64_t changed_ms;       /* the last change of view */
    uint64_t configuration_changes;
    int64_t rest_until_ms;
    int64_t blind_since_ms; /* since when a voter sees many more members than we do; 0: none does */
    int64_t woken_since_ms; /* since when an opening waits for the last view's members; 0: none does */
    int64_t wall_offset_ms;
    bool wall_known;
    Waiter *waiters;
    Signal grew;
    int slow_times;  /* own syncs in a row that took longer than VOTER_SLOW_MS */
    Signal released; /* the holder of the lock has given it up */
    bool named;      /* ... and named this voter to be the next */
    Signal news;
    uint64_t contact_asked;    /* rounds of contact that were asked for */
    uint64_t contact_learners; /* the newest one that learners are asked in as well */
    Signal contact_news;       /* one more is */
    Signal contact_made;       /* a voter has answered one */
};

#define SNAPSHOT_FIELDS(X)   \
    X(LST, voters, DiskId)   \
    X(ONE, last, TermRecord) \
    X(BIN, state, 0)         \
    X(LST, controllers, VoterController)
SHAPE(Snapshot, SNAPSHOT_FIELDS)

int replication_voter_of(const Replication *replication, uint64_t disk);
int replication_own_voter(const Replication *replication);
/* How many voters decide. */
size_t replication_majority(const Replication *replication);
/* Whether it holds the lock and orders, by its own clock; others may not be told
 * so yet, when too few disks would hold what it acknowledges. */
bool replication_orders(const Replication *replication);
/* Reads voters and last out of the log again. */
void replication_reread(Replication *replication);
void replication_deliver(Replication *replication);
/* The records that stand for all this node knows; on mem. */
Record *replication_records(Replication *replication, void *mem, size_t *count);
void replication_compact_maybe(Replication *replication, bool force);
/* Puts a snapshot in place of everything; false when it is not one. */
Status replication_load(Replication *replication, const Record *snapshot);
/* What a disk that keeps what it has synced may never come to: it would drop what was
 * committed from index on. Told, counted and refused with OTHER_HISTORY. */
Status history_refuse(Replication *replication, uint64_t index);
void replication_waiters_end(Replication *replication, Status status);
/* An entry of the log was made then. */
void replication_clock_tell(Replication *replication, int64_t clock_ms);
/* The holder's clock is so now: ours must not run ahead of it, or what is due would
 * be due early under us. */
void replication_clock_set(Replication *replication, int64_t clock_ms);

/* Its writes fail: nothing may be promised or taken. */
bool replication_disk_failed(const Replication *replication);
/* Spawns the task that tries a failed disk again. */
void disk_start(Replication *replication);

/* The list of voters. */
void voters_first(Replication *replication);
/* Takes a list as the newest; what the holder knew of a place counts for nothing
 * once another has it. */
void voters_take(Replication *replication, const VoterList *list, uint64_t index);
void voters_founded(Replication *replication, const VoterList *list);
/* The list of these disks, with what is known of their controllers; on mem. */
VoterList *voters_of(const Replication *replication, void *mem, const uint64_t disks[], size_t count);
/* The list with the disk at the place, or the place vacated (0); on mem. */
VoterList *voters_with(const Replication *replication, void *mem, int place, uint64_t disk);
/* Where the controller of a place's disk is asked; false when nobody knows. */
bool voter_address(const Replication *replication, int place, char address[ADDRESS_MAX]);
/* The disk of a slot: a voter's place, or a learner's. */
uint64_t slot_disk(const Replication *replication, int slot);
/* Whether the disk is gone for certain: its controller has come back with another, at the
 * same address when asked for. */
bool voter_dead(const Replication *replication, uint64_t disk, bool same_address);
/* Where its controller stands; empty when nobody knows. */
const char *voter_zone(const Replication *replication, uint64_t disk);
/* Whether the disk of a voter is gone for so long, or for certain, that it is to be replaced. */
bool voter_gone(const Replication *replication, int place);
/* Whether it answers and has all that is committed. */
bool voter_live(const Replication *replication, int place);
/* Adds to the sight the learners, and how many losses are borne and asked for. */
void voters_sight(const Replication *replication, ReplicationStatus *sight);
/* The leader keeps the number of voters wanted, one committed change at a time. */
void voters_start(Replication *replication);

/* The leader has every controller without a vote follow the log, in as many slots as there are. */
void learners_follow(Replication *replication);
/* Whether the member is a controller that runs, is of this cluster and has no vote. */
bool learner_may_follow(const Replication *replication, const Member *row);
/* A lead that is over has no learners. */
void learners_clear(Replication *replication);
/* Whether the learner has nearly all of the log, and grants the lease. */
bool learner_ready(const Replication *replication, size_t learner);
/* Ready for at least the span in which a loss is made good. */
bool learner_steady(const Replication *replication, size_t learner);
/* The slot is free again: its disk has a vote now. */
void learner_done(Replication *replication, size_t learner);
/* The span in which a loss is made good. */
int64_t replication_back_ms(const Replication *replication);
/* How many voters the settings ask for: twice the losses to be borne, and one. */
size_t voters_wanted(const Replication *replication);

/* The voter's part; each may wait for the disk. */
void voter_describe(const Replication *replication, void *mem, VoterAnswer *answer);
Status voter_propose(Replication *replication, const ProposeAsk *ask);
Status voter_append(Replication *replication, const AppendAsk *ask);
Status voter_fill(Replication *replication, const FillAsk *ask);
/* Puts the snapshot and what follows it in the place of the whole log, in one write. */
Status voter_replace(Replication *replication, const Record *snapshot, const Record *entries, size_t entry_count);
void voter_log(Replication *replication, void *mem, const LogAsk *ask, LogAnswer *answer);
void voter_serve(Replication *replication);

/* Asking all voters at once. Freed by whichever of the asking task and the asked
 * ones ends last. */
typedef struct Poll {
    Replication *replication;
    ProposeAsk ask;
    size_t users;
    int pending;
    Signal ended;
    uint64_t disks[VOTER_MOST]; /* asked; 0: none at that place */
    Status status[VOTER_MOST];
    VoterAnswer answers[VOTER_MOST];
    int64_t sent_ms[VOTER_MOST];
} Poll;

/* Waits until all have answered or can't be reached; once a majority of voters
 * that never slept has answered, a short grace is enough. Ends with poll_leave. */
Poll *poll_voters(Replication *replication, uint64_t term, const bool skip[VOTER_MOST]);
void poll_leave(Poll *poll);
/* Whether the answer is the voter's own. */
bool poll_reached(Status status);

/* Takes a snapshot or a piece of one. OK: whole is all of it, on the ask or on filling; BUSY: more must come; LOG_GAP:
 * another piece is wanted; BAD_FRAME: it is spoilt. */
Status fill_take(Replication *replication, const FillAsk *ask, Record *whole);
void fill_drop(Replication *replication);
/* Bytes of the one that is coming in. */
uint64_t fill_count(const Replication *replication);

/* A task of one lead for the disk at a slot.
 * Invariant: disk is not 0; the task is over once another disk has the slot, or a
 * learner's slot was given anew. */
typedef struct Lead {
    Replication *replication;
    uint64_t turn;
    int slot;
    uint64_t disk;
    uint64_t learner_turn; /* 0: a voter's slot */
} Lead;

/* The holder's part. */
bool lead_peer_over(const Lead *lead);
/* Waits. Sends the disk the snapshot. */
void fill_one(Replication *replication, const Lead *lead, const char *address);
void lead_down(Replication *replication, int64_t rest_ms);
bool lead_over(const Replication *replication, uint64_t turn);
/* Spawns the task that keeps the grant of the disk at the slot; ... its log. */
void lead_renew(Replication *replication, int slot);
void lead_peer(Replication *replication, int slot);
void lead_answered(Replication *replication, int slot, const VoterAnswer *answer);
/* Tells all other voters that what they granted under the term is not used. next:
 * the disk that is to take over at once; 0: whoever comes first. */
void lead_release(Replication *replication, uint64_t next);
/* Spawns the task that syncs the own journal. */
void lead_local(Replication *replication);
/* Commits what every voter in the view, and a majority of the voters, has synced. */
void lead_commit(Replication *replication);
/* The first entry of a view. */
void lead_view_entry(Replication *replication, const bool in_configuration[VOTER_MOST], bool repair);
/* Changes the view under the same term. What was ordered before is committed
 * together with the change, so that the last view recorded has all of it. */
void lead_turn(Replication *replication, const bool in_configuration[VOTER_MOST]);
/* The voter in the view that is to follow: the least behind; quick: only one whose
 * disk is; 0: none. */
uint64_t lead_next(const Replication *replication, bool quick);
/* Stops taking changes, collects the logs of a majority, takes the best one,
 * trims the others to it, opens the next term and goes on. skip: voters that
 * are to stay out. Waits. */
Status replication_open(Replication *replication, const bool skip[VOTER_MOST]);
/* The voter at the slot has granted the lock in answer to a question that was sent when the
 * rounds of contact up to this one had been asked for. */
void contact_granted(Replication *replication, int slot, uint64_t contact);
/* Whether a round of contact waits for the voter at the slot. */
bool contact_owed(const Replication *replication, int slot);
/* Waits, at most so long, until all voters and learners that are taken for alive have
 * answered a question that was sent since; the number of the round. */
uint64_t contact_members(Replication *replication, int64_t most_ms);
/* Sleeps so long, or until another round of contact is asked for. */
void contact_rest(Replication *replication, int slot, int64_t rest_ms);
/* Watches the lease and the voters of the view. */
void replication_watch(Replication *replication);

#endif
