#ifndef REPLICATION_SRC_STATE_H
#define REPLICATION_SRC_STATE_H

#include "base/log_event.h"
#include "replication/log.h"
#include "replication/replication.h"

/* What one node keeps of the replicated log: struct View and its parts, grouped by concern.
 * It holds data alone; the functions of each protocol step are declared in a header of their own.
 *
 * A voter has a place in the list of voters, a learner has a slot after the places; both are
 * peers of the leader. The view is the set of voters that each commit waits for. */

/* Peers: one for each place of a voter, then one for each learner. */
#define SLOT_MOST (VOTER_MOST + LEARNER_MOST)

/* What the leader knows of one voter or learner, in its term. Times are those of the own
 * loop (ms).
 * Invariant: match_index is synced at the peer; next_index > match_index. */
typedef struct Peer {
    /* replication */
    uint64_t match_index, next_index;
    int64_t append_since_ms; /* sent then, not answered yet; INT64_MAX: none is out */
    int64_t append_took_ms;  /* the last append that was answered, in ms */
    int slow_times;          /* appends in a row that took longer than VOTER_SLOW_MS */
    bool reinstall;          /* no entries can make its log match: it wants the snapshot */
    /* lease and contact */
    int64_t renewed_ms; /* the question that it last answered with a grant was sent then; INT64_MIN: none */
    uint64_t contact;   /* the newest round of contact that it has answered */
    /* its answers */
    int64_t answered_ms; /* any answer */
    uint64_t promised;   /* the term that it had promised then */
    bool restarted;      /* it restarted, and no view has brought it up to date since */
    int64_t sync_ms;     /* how long its last sync took */
    uint64_t reach;      /* how many members it reaches */
    int64_t wall_ms;     /* its wall clock ... */
    int64_t wall_at_ms;  /* ... at this time of the own loop; 0: not known yet */
    /* membership of the view */
    int64_t return_ms; /* it left the view for being late, and comes back no earlier */
} Peer;

/* A controller node without a vote that follows the log, so that it can be given a vote at once.
 * Invariant: turn grows each time that the slot is given; tasks of an earlier turn end. */
typedef struct Learner {
    uint64_t disk; /* 0: the slot is free */
    uint64_t turn;
    int64_t since_ms;
    int64_t ready_since_ms; /* INT64_MAX: it is not ready */
} Learner;

/* A snapshot that arrives in pieces. Invariant: bytes.count < total. */
typedef struct Filling {
    uint64_t term, index; /* of the last entry that the snapshot covers */
    uint64_t total;       /* bytes */
    uint64_t checksum;    /* CRC of all bytes */
    Bytes bytes;          /* those that have arrived, from the beginning on */
} Filling;

/* A submitted change that waits for its delivery. Owned by the task that submitted it. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t term, index; /* of its entry */
    bool done;            /* status and result are set */
    Status status;
    ChangeResult result;
    Signal ended;
} Waiter;

/* The replicated log of one node. Times are those of the own loop (ms). */
struct Replication {
    /* --- from the caller --- */
    ReplicationSettings settings;
    Loop *loop;

    /* --- the disk ---
     * Invariants: entries up to queued_index have been given to the journal, in order; while
     * compacting or mending the whole journal is being rewritten. */
    Journal *journal;
    const char *node_name;
    uint64_t disk;            /* the id of the own disk: the node's identity as a voter */
    uint64_t queued_index;    /* what follows it is written later */
    bool compacting;          /* after a snapshot */
    bool mending;             /* after a failed write */
    bool disk_failure_logged; /* ... which has been logged; until the disk takes writes again */
    bool too_large;           /* the state is larger than a snapshot may be */

    /* --- the log ---
     * Invariants: delivered_index <= commit_index <= last index of the log; all up to
     * delivered_index have been given to the state machine, in order, once since it was last
     * loaded. */
    Log *log;
    uint64_t commit_index, delivered_index;
    Waiter *waiters;
    Signal updates; /* a delivery, or a change of phase */

    /* --- the list of voters ---
     * Invariants: it is that of the newest VOTERS entry in the log, committed or not, else of
     * the snapshot, else the founded one; last is the newest REPLICATION entry, likewise; of the
     * VOTERS entries in the log all but the newest are committed. A place that nobody has is 0
     * in voters, and so are its in_configuration and hold.sent_ms (INT64_MIN). */
    uint64_t cluster;            /* 0: the disk belongs to none */
    VoterList *founded;          /* never null */
    VoterList *list;             /* the newest; never null */
    uint64_t list_index;         /* of its entry; 0: it is the founded one */
    uint64_t list_committed;     /* the highest index of a list known to be committed */
    bool list_old;               /* the list went back behind that one: this node votes no more */
    uint64_t voters[VOTER_MOST]; /* the disks of list, by place */
    size_t places, voter_count;  /* the length of list; how many places somebody has */
    TermRecord last;             /* the last view */
    void *last_mem;              /* owns what last points to */

    /* --- the voter ---
     * Invariant: the promise in lock is on the disk before anything is answered under it. */
    LockVoter lock;
    bool restarted;             /* restarted, and no view has brought this node up to date since */
    uint64_t verified_index;    /* entries up to it are known to equal those of the leader of the promised term */
    Filling *incoming_snapshot; /* a snapshot that arrives in pieces; null: none */
    uint64_t other_histories;   /* refused orders to drop what is committed */
    int64_t other_notified_ms;  /* such an order was last logged */
    Signal released;            /* the leader has released its lease ... */
    bool named;                 /* ... and named this node to be the next leader */

    /* --- the log's clock and the wall clock ---
     * Invariant: clock_base_ms >= clock_log_ms once clock_runs. */
    int64_t clock_base_ms, clock_at_ms; /* the log's clock, and the own time when it was set */
    int64_t clock_log_ms;               /* the latest time in the log: the clock never goes back behind it */
    bool clock_runs;                    /* it was set: before that the own time says nothing of it */
    int64_t wall_offset_ms;             /* the voters' median wall clock minus the own time */
    bool wall_known;

    /* --- election and lease ---
     * Invariants: phase is LEADING only once the first entry of term is committed; the tasks
     * of a lead end when lead_turn is no longer theirs. */
    ReplicationPhase phase;
    uint64_t lead_turn;         /* grows with each election and each loss of the lead */
    uint64_t term;              /* the term that this node leads, or led last */
    LockLease lease;            /* when each voter last granted the lease */
    bool holding;               /* the lease was won and not given up, also while a further term is opened */
    bool reopening;             /* the election under way is by a leader whose lease never lapsed */
    int64_t won_ms;             /* the lease was won from another, or from nobody */
    int64_t rest_until_ms;      /* it does not stand before */
    int64_t restarted_since_ms; /* an election has waited since then for the last view's members; 0: none does */
    int64_t blind_since_ms;     /* a voter has reached many more members than the leader since then; 0: none does */

    /* --- the leader: replication ---
     * Invariant: synced_index <= queued_index while this node leads. */
    uint64_t replication_index;        /* of the newest REPLICATION entry that this leader ordered */
    bool in_configuration[VOTER_MOST]; /* by place: each commit waits for it */
    int64_t changed_ms;                /* the last change of the view */
    uint64_t configuration_changes;    /* so many */
    Peer peers[SLOT_MOST];             /* by place, then by learner's slot */
    uint64_t synced_index;             /* the own journal has synced so far, as far as this lead knows */
    int slow_times;                    /* own syncs in a row that took longer than VOTER_SLOW_MS */
    Signal grew;                       /* an entry was added to the log */

    /* --- the leader: learners and changes of membership --- */
    Learner learners[LEARNER_MOST];
    uint64_t learners_turn;   /* the lead that they follow */
    uint64_t learners_passed; /* a disk that was not ready in time; others go first */
    Signal membership;        /* a change of membership is to be weighed at once */
    int64_t ask_ms;           /* the next round of contact before a change takes at most so long; 0: the least */

    /* --- the leader: rounds of contact --- */
    uint64_t contact_asked;    /* how many were asked for */
    uint64_t contact_learners; /* the newest one that learners are asked in as well */
    Signal contact_update;     /* one more was asked for */
    Signal contact_made;       /* a peer has answered one */
};

#endif
