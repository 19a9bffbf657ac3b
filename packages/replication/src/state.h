#ifndef REPLICATION_SRC_STATE_H
#define REPLICATION_SRC_STATE_H

#include "base/log_event.h"
#include "replication/log.h"
#include "replication/replication.h"

/* The state of one node's replicated log: struct Replication and its parts, grouped by concern. This header holds data
 * only; the functions of each protocol step are declared in a header of their own.
 *
 * A position is an index into the list of voters (variables call it place). A slot is an index into peers: slots 0 to
 * VOTERS_MAX - 1 are the positions, the slots of the learners follow. The view is the set of voters that each commit
 * waits for (view_change.h). */

/* Number of peer slots: one for each position of a voter, then one for each learner. */
#define SLOTS_MAX (VOTERS_MAX + LEARNERS_MAX)

/* What the leader knows about one voter or learner in its term. Times are ms of this process's loop.
 * Invariant: the peer has synced its log up to match_index; next_index > match_index. */
typedef struct Peer {
    /* replication */
    uint64_t match_index, next_index;
    int64_t append_since_ms;    /* when the unanswered append was sent; INT64_MAX: there is none */
    int64_t append_duration_ms; /* duration of the last answered append, in ms */
    int slow_count;             /* number of consecutive appends that took longer than VOTER_SLOW_MS */
    int64_t refuses_since_ms;   /* since when its disk has refused every append; INT64_MAX: it accepts them */
    bool reinstall;             /* its log cannot be made to match by appends: it needs the snapshot */
    /* lease and contact rounds (contact.h) */
    int64_t renewed_ms; /* when the last request that it granted was sent; INT64_MIN: none was granted */
    int64_t grant_ms;   /* duration of that grant, in ms */
    uint64_t contact;   /* the newest contact round that it has answered */
    /* contents of its last answer */
    int64_t answered_ms; /* when the last answer of any kind arrived */
    uint64_t promised;   /* the term that it has promised */
    bool restarted;      /* it has restarted and has been in no view since */
    int64_t sync_ms;     /* duration of its last sync, in ms */
    uint64_t reach;      /* number of members that it reaches */
    int64_t wall_ms;     /* its wall clock at wall_at_ms */
    int64_t wall_at_ms;  /* loop time of the sample in wall_ms; 0: no sample yet */
    /* membership of the view */
    int64_t rejoin_ms; /* earliest time at which it may rejoin the view that it left for being late */
} Peer;

/* The slot of a learner: a controller node without a vote that follows the log, so that it can be made a voter
 * immediately. Invariant: generation increases each time the slot is assigned or freed; tasks of an earlier generation
 * end. */
typedef struct Learner {
    uint64_t disk; /* 0: the slot is free */
    uint64_t generation;
    int64_t since_ms;       /* when the learner got the slot */
    int64_t ready_since_ms; /* since when the learner has been ready; INT64_MAX: it is not ready */
} Learner;

/* A snapshot that is being received in pieces. Invariant: bytes.count < total. */
typedef struct IncomingSnapshot {
    uint64_t term, index; /* of the last entry that the snapshot covers */
    uint64_t total;       /* size, in bytes */
    uint64_t checksum;    /* CRC of all bytes */
    Bytes bytes;          /* the bytes received so far, from the beginning */
} IncomingSnapshot;

/* A submitted change that awaits its delivery. Owned by the task that submitted it. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t term, index; /* of its entry */
    bool done;            /* status and result are set */
    Status status;
    ChangeResult result;
    Signal ended; /* raised when done is set */
} Waiter;

/* The replicated log of one node. Times are ms of this process's loop. */
struct Replication {
    /* --- from the caller --- */
    ReplicationSettings settings;
    Loop *loop;

    /* --- the disk ---
     * Invariants: entries up to queued_index have been passed to the journal, in order; while compacting or recovering
     * is set, the entire journal is being rewritten. */
    Journal *journal;
    const char *node_name;
    uint64_t disk;            /* the id of this node's disk, which identifies it as a voter */
    uint64_t queued_index;    /* the last entry that was passed to the journal */
    bool compacting;          /* the journal is being rewritten after a snapshot was made */
    bool recovering;          /* the journal is being rewritten after a failed write */
    bool disk_failure_logged; /* the failure has been logged; cleared when the disk accepts writes again */
    /* The last attempt to make a snapshot: the size of the state if it was too large for one (else 0), and the total
     * size of the entries and the base index of the log at that time. */
    size_t too_large_bytes, measured_log_bytes;
    uint64_t measured_index;
    int64_t size_measured_ms; /* when the size of a full state was last measured */

    /* --- the log ---
     * Invariants: delivered_index <= commit_index <= last index of the log; all entries up to delivered_index have been
     * delivered to the state machine, in order, exactly once since it was last loaded. */
    Log *log;
    uint64_t commit_index, delivered_index;
    Waiter *waiters; /* submissions that await delivery */
    Signal changed;  /* raised after a delivery or a change of phase */

    /* --- the list of voters ---
     * Invariants: list is from the newest VOTERS entry in the log (REPLICATION_CHANGE_VOTERS), committed or not,
     * otherwise from the snapshot, otherwise the founding list; last_view is from the newest TERM entry, likewise; all
     * VOTERS entries in the log except the newest are committed. At a vacant position voters is 0, in_view is false and
     * lease.until_ms is INT64_MIN. */
    uint64_t cluster;              /* id of the cluster that the disk belongs to; 0: none */
    VoterList *founded;            /* the founding list; never NULL */
    VoterList *list;               /* the newest list; never NULL */
    uint64_t list_index;           /* of the entry of list; 0: list is the founding list */
    uint64_t list_committed_index; /* the highest index of a list that is known to be committed */
    bool list_reverted;            /* the log has lost that list: this node no longer votes */
    uint64_t voters[VOTERS_MAX];   /* the disks in list, by position */
    size_t places, voter_count;    /* length of list; number of positions that are not vacant */
    TermRecord last_view;          /* the newest view in the log */
    void *last_view_mem;           /* owns the data that last_view points to */

    /* --- the voter ---
     * Invariant: the promise in lock is synced to disk before any request is answered in that term. */
    LockVoter lock;
    bool restarted;          /* this node has restarted and has been in no view since */
    uint64_t verified_index; /* entries up to this index are known to match the log of the promised term's leader */
    IncomingSnapshot *incoming_snapshot; /* a snapshot that is being received in pieces; NULL: none */
    uint64_t other_histories;            /* number of refused requests to drop committed entries */
    int64_t history_conflict_logged_ms;  /* when such a request was last logged */
    Signal released;                     /* raised when the leader has released its lease */
    bool named_successor;                /* the leader that did so named this node to be the next leader */

    /* --- the log's clock and the wall clock ---
     * Invariant: clock_base_ms >= clock_log_ms once clock_runs. */
    int64_t clock_base_ms, clock_at_ms; /* the log's clock when it was last set; loop time then */
    int64_t clock_log_ms;               /* the latest time stamp in the log: the clock is never set below it */
    bool clock_runs;                    /* the clock has been set and advances with this loop's clock */
    int64_t wall_offset_ms;             /* the voters' median wall clock minus this loop's time */
    bool wall_known;                    /* wall_offset_ms is set */

    /* --- election and lease ---
     * A leadership generation lasts from the start of an election of this node to its next election or to the loss of
     * the leadership. Invariants: phase is LEADING only after the first entry of term is committed; the tasks of a
     * generation end once leadership_generation has changed. */
    ReplicationPhase phase;
    uint64_t leadership_generation; /* incremented by each election and each loss of the leadership */
    uint64_t term;                  /* the term that this node leads, stands for, or led last */
    uint64_t promised_highest;      /* the highest promised term that any peer has reported */
    LockLease lease;                /* the grants of the lease by each voter */
    int64_t recent_pause_us; /* decaying maximum of the delays of renewals and the pauses of this process (lease.c) */
    bool has_lease;          /* the lease was won and not released; also set during a reelection */
    bool reelecting;         /* the election under way is held by the leader itself, whose lease remains valid */
    int64_t won_ms;          /* when this node last won the lease without already holding it */
    size_t elections_lost;   /* number of elections lost in a row */
    int64_t lost_logged_ms;  /* when a lost election was last logged */
    int64_t no_election_until_ms;    /* earliest time at which this node stands for election again */
    int64_t last_view_wait_since_ms; /* since when elections have waited for members of the last view; 0: they do not
                                        wait */
    /* since when a voter has reached many more members than this leader; 0: none has */
    int64_t better_connected_since_ms;

    /* --- the leader: replication ---
     * Invariant: synced_index <= queued_index while this node leads. */
    uint64_t term_entry_index; /* of the newest TERM entry that this leader appended */
    bool in_view[VOTERS_MAX];  /* by position: the voters that each commit waits for */
    int64_t view_changed_ms;   /* when the view last changed */
    uint64_t view_changes;     /* number of view changes since the start of the process; for status */
    Peer peers[SLOTS_MAX];     /* by slot */
    uint64_t synced_index;     /* the leader's own journal has synced entries up to this index */
    int slow_count;            /* number of consecutive local syncs that took longer than VOTER_SLOW_MS */
    Signal log_grew;           /* raised when an entry is appended to the log */

    /* --- the leader: learners and changes of membership --- */
    Learner learners[LEARNERS_MAX];
    uint64_t learners_generation; /* the leadership generation that the learners belong to */
    uint64_t evicted_learner;   /* the disk that last lost its slot because it was not ready in time: others get a slot
                                   first */
    Signal membership_check;    /* raised when a change of the voters shall be considered immediately */
    int64_t contact_timeout_ms; /* time limit of the next contact round before a membership change; 0: POLL_GRACE_MS */

    /* --- the leader: contact rounds (contact.h) --- */
    uint64_t contact_requested;    /* number of rounds requested so far, which is the number of the newest */
    uint64_t contact_learners;     /* the newest round that learners must answer too */
    Signal contact_request_raised; /* raised when a round is requested */
    Signal contact_answer_arrived; /* raised when a peer has answered a round */
};

#endif
