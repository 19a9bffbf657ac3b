#ifndef REPLICATION_SRC_STATE_H
#define REPLICATION_SRC_STATE_H

#include "base/log_event.h"
#include "replication/log.h"
#include "replication/replication.h"

/* What one node keeps of the replicated log: struct Replication and its parts, grouped by concern.
 * It holds data only; the functions of each protocol step are declared in a header of their own.
 *
 * A place is an index into the list of voters. A slot is an index into peers: 0 to VOTER_MOST - 1 are the
 * places, the learners follow. The view is the set of voters that each commit waits for (view_change.h). */

/* Peers: one for each place of a voter, then one for each learner. */
#define SLOT_MOST (VOTER_MOST + LEARNER_MOST)

/* What the leader knows of one voter or learner, in its term. Times are ms of this process's
 * loop.
 * Invariant: match_index is synced at the peer; next_index > match_index. */
typedef struct Peer {
    /* replication */
    uint64_t match_index, next_index;
    int64_t append_since_ms;  /* an append sent then is not answered yet; INT64_MAX: there is none */
    int64_t append_took_ms;   /* how long the last answered append took */
    int slow_times;           /* appends in a row that took longer than VOTER_SLOW_MS */
    int64_t refuses_since_ms; /* since then its disk has refused every append; INT64_MAX: it takes them */
    bool reinstall;           /* no entries can make its log match: it needs the snapshot */
    /* lease and contact rounds (contact.h) */
    int64_t renewed_ms; /* when the request was sent that it last answered with a grant; INT64_MIN: none ... */
    int64_t grant_ms;   /* ... and for how long it was */
    uint64_t contact;   /* the newest contact round that it has answered */
    /* what its last answer said */
    int64_t answered_ms; /* when it last answered anything */
    uint64_t promised;   /* the term that it had promised */
    bool restarted;      /* it has restarted, and has been in no view since */
    int64_t sync_ms;     /* how long its last sync took */
    uint64_t reach;      /* how many members it reaches */
    int64_t wall_ms;     /* its wall clock, ... */
    int64_t wall_at_ms;  /* ... at this time of this loop; 0: not known yet */
    /* membership of the view */
    int64_t return_ms; /* it was late and left the view; it comes back no earlier than this */
} Peer;

/* A controller node without a vote that follows the log, so that it can be given a vote at once.
 * Invariant: generation grows each time the slot is taken or freed; tasks of an earlier generation end. */
typedef struct Learner {
    uint64_t disk; /* 0: the slot is free */
    uint64_t generation;
    int64_t since_ms;
    int64_t ready_since_ms; /* INT64_MAX: it is not ready */
} Learner;

/* A snapshot that arrives in pieces. Invariant: bytes.count < total. */
typedef struct IncomingSnapshot {
    uint64_t term, index; /* of the last entry that the snapshot covers */
    uint64_t total;       /* bytes */
    uint64_t checksum;    /* CRC of all bytes */
    Bytes bytes;          /* those that have arrived, from the beginning on */
} IncomingSnapshot;

/* A submitted change that waits for its delivery. Owned by the task that submitted it. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t term, index; /* of its entry */
    bool done;            /* status and result are set */
    Status status;
    ChangeResult result;
    Signal ended;
} Waiter;

/* The replicated log of one node. Times are ms of this process's loop. */
struct Replication {
    /* --- from the caller --- */
    ReplicationSettings settings;
    Loop *loop;

    /* --- the disk ---
     * Invariants: entries up to queued_index have been given to the journal, in order; while
     * compacting or recovering the whole journal is being rewritten. */
    Journal *journal;
    const char *node_name;
    uint64_t disk;            /* the id of this node's disk: its identity as a voter */
    uint64_t queued_index;    /* later entries have not been given to the journal yet */
    bool compacting;          /* rewritten after a snapshot was made */
    bool recovering;          /* rewritten after a failed write */
    bool disk_failure_logged; /* the failure has been logged; until the disk takes writes again */
    /* The state was larger than a snapshot may be, in the log that began at tried_index: its size, and how many bytes
     * of entries the log had. */
    size_t too_large_bytes, tried_log_bytes;
    uint64_t tried_index;
    int64_t shrunk_ms; /* when a full state was last measured */

    /* --- the log ---
     * Invariants: delivered_index <= commit_index <= last index of the log; all up to
     * delivered_index have been given to the state machine, in order, once since it was last
     * loaded. */
    Log *log;
    uint64_t commit_index, delivered_index;
    Waiter *waiters;
    Signal changed; /* raised after a delivery or a change of phase */

    /* --- the list of voters ---
     * Invariants: list is that of the newest VOTERS entry in the log (REPLICATION_CHANGE_VOTERS), committed
     * or not, else of the snapshot, else the list of the founding; last is that of the newest TERM entry,
     * likewise; of the VOTERS entries in the log all but the newest are committed. At a vacant place voters
     * is 0, in_view false and lease.until_ms INT64_MIN. */
    uint64_t cluster;            /* id of the cluster that the disk belongs to; 0: none */
    VoterList *founded;          /* the list of the founding; never null */
    VoterList *list;             /* the newest; never null */
    uint64_t list_index;         /* of its entry; 0: it is the list of the founding */
    uint64_t list_committed;     /* the highest index of a list known to be committed */
    bool list_went_back;         /* the log has lost that list: this node votes no more */
    uint64_t voters[VOTER_MOST]; /* the disks of list, by place */
    size_t places, voter_count;  /* the length of list; how many places are not vacant */
    TermRecord last;             /* the last view in the log */
    void *last_mem;              /* owns what last points to */

    /* --- the voter ---
     * Invariant: the promise in lock is on the disk before anything is answered under it. */
    LockVoter lock;
    bool restarted;                      /* this node has restarted, and has been in no view since */
    uint64_t verified_index;             /* entries up to it are known to equal those of the promised term's leader */
    IncomingSnapshot *incoming_snapshot; /* a snapshot that arrives in pieces; null: none */
    uint64_t other_histories;            /* refused requests to drop committed entries */
    int64_t other_notified_ms;           /* when such a request was last logged */
    Signal released;                     /* the leader has released its lease ... */
    bool named_successor;                /* ... and named this node to be the next leader */

    /* --- the log's clock and the wall clock ---
     * Invariant: clock_base_ms >= clock_log_ms once clock_runs. */
    int64_t clock_base_ms, clock_at_ms; /* the log's clock when it was set, and this loop's time then */
    int64_t clock_log_ms;               /* the latest time in the log: the clock is never set below it */
    bool clock_runs;                    /* it was set, and advances with this loop's clock */
    int64_t wall_offset_ms;             /* the voters' median wall clock minus this loop's time */
    bool wall_known;

    /* --- election and lease ---
     * A lead is the time from the start of an election of this node to the next one, or to its loss of the lead.
     * Invariants: phase is LEADING only once the first entry of term is committed; the tasks of a lead end
     * when lead_generation is no longer theirs. */
    ReplicationPhase phase;
    uint64_t lead_generation;    /* grows with each election and each loss of the lead */
    uint64_t term;               /* the term that this node leads, or led last */
    uint64_t promised_most;      /* the highest term that a peer has answered to have promised */
    LockLease lease;             /* how long each voter has granted the lease */
    int64_t pause_us;            /* the longest that a majority took lately, or this process stood still (lease.c) */
    bool has_lease;              /* the lease was won and not given up; also during a reelection */
    bool reelecting;             /* the election under way is by the leader, whose lease runs on */
    int64_t won_ms;              /* when the lease was won from another node, or from none */
    size_t elections_lost;       /* in a row */
    int64_t lost_logged_ms;      /* when the last of them was logged */
    int64_t rest_until_ms;       /* it does not stand for election before */
    int64_t restarted_since_ms;  /* since when elections have waited for the last view's members; 0: they do not */
    int64_t outreached_since_ms; /* since when a voter has reached many more members than this leader; 0: none does */

    /* --- the leader: replication ---
     * Invariant: synced_index <= queued_index while this node leads. */
    uint64_t term_entry_index; /* of the newest TERM entry that this leader ordered */
    bool in_view[VOTER_MOST];  /* by place: the voters that each commit waits for */
    int64_t changed_ms;        /* when the view last changed */
    uint64_t view_changes;     /* since the start; for status */
    Peer peers[SLOT_MOST];     /* by slot */
    uint64_t synced_index;     /* the leader's own journal has synced entries up to this */
    int slow_times;            /* own syncs in a row longer than VOTER_SLOW_MS */
    Signal grew;               /* raised when an entry was added to the log */

    /* --- the leader: learners and changes of membership --- */
    Learner learners[LEARNER_MOST];
    uint64_t learners_generation; /* the lead_generation that the learners belong to */
    uint64_t learners_passed;     /* a disk that was not ready in time: others get a slot first */
    Signal membership;            /* raised when a change of the voters is to be considered at once */
    int64_t contact_most_ms;      /* how long the next contact round before a change may take; 0: POLL_GRACE_MS */

    /* --- the leader: contact rounds (contact.h) --- */
    uint64_t contact_asked;    /* how many rounds were requested: the number of the newest */
    uint64_t contact_learners; /* the newest round that learners have to answer as well */
    Signal contact_update;     /* raised when a round is requested */
    Signal contact_made;       /* raised when a peer has answered one */
};

#endif
