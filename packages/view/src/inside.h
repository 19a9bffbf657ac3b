#ifndef VIEW_SRC_INSIDE_H
#define VIEW_SRC_INSIDE_H

#include "view/log.h"
#include "view/view.h"

/* What the leader knows of one voter or learner, under its epoch.
 * Invariant: matchIndex is synced there; nextIndex > matchIndex. */
typedef struct Peer {
    uint64_t matchIndex, nextIndex;
    int64_t answered_ms;   /* it last answered anything */
    int64_t renewedMs;     /* when the last renewal that it granted was sent; INT64_MIN: none */
    int64_t appendSinceMs; /* an append is out since then; INT64_MAX: none */
    int64_t appendTookMs;  /* the last one */
    bool refill;           /* its log can't be mended by entries: send the snapshot */
    bool woke;
    int slowTimes;    /* appends in a row that took longer than SEAT_SLOW_MS */
    int64_t returnMs; /* it left the view for being late: not back before this */
    uint64_t promised;
    int64_t wall_ms, wallAtMs; /* its wall clock, and our clock when it was told; wallAtMs 0: never */
    int64_t syncMs;
    uint64_t sight;
    uint64_t contact; /* the newest round of contact that it has answered */
} Peer;

/* The slots of peers: one for each place of a voter, then one for each learner. */
#define SLOT_MOST (SEAT_MOST + LEARNER_MOST)

/* A core without a vote that follows the log, so that it can be given one at once.
 * Invariant: turn grows each time that the slot is given; tasks of an earlier turn end. */
typedef struct Learner {
    uint64_t disk; /* 0: the slot is free */
    uint64_t turn;
    int64_t since_ms;
    int64_t readySinceMs; /* INT64_MAX: it is not ready */
} Learner;

/* A snapshot that comes in pieces. Invariant: bytes.count < total. */
typedef struct Filling {
    uint64_t epoch, index; /* of the snapshot */
    uint64_t total, checksum;
    Bytes bytes;
} Filling;

/* A submitted change that waits for its delivery. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t epoch, index;
    bool done;
    Status status;
    ChangeResult result;
    Signal ended;
} Waiter;

/* Invariants:
 *  - deliveredIndex <= commitIndex <= last index; all up to deliveredIndex have
 *    been given to the state, in order, once since it was last loaded;
 *  - seats and last are those of the newest SEATS and VIEW entries in the log,
 *    committed or not;
 *  - a place in seats that nobody has is 0, and so are inView, peers and
 *    hold.sent_ms of it;
 *  - phase is LEADING only after the first entry of epoch was committed;
 *  - of the SEATS entries in the log all but the newest are committed;
 *  - tasks of a lead end when leadTurn is no longer theirs. */
struct View {
    ViewProps props;
    Loop *loop;
    Journal *journal;
    const char *node_name;
    uint64_t disk;
    /* the seat */
    uint64_t cluster;
    SeatList *founded;         /* never null */
    SeatList *list;            /* the newest; never null */
    uint64_t listIndex;        /* of its entry; 0: it is the founded one */
    uint64_t seats[SEAT_MOST]; /* the disks of list */
    size_t places, seatCount;  /* the length of list; how many of them somebody has */
    ViewRecord last;
    void *lastMem;
    LockSeat lock;
    bool woke;
    Log *log;
    uint64_t verifiedIndex; /* entries known to be the holder's, under the promised epoch */
    uint64_t commitIndex, deliveredIndex;
    int64_t clockBaseMs, clockAtMs; /* the log's clock, and our own when it was told */
    int64_t clockLogMs;             /* the latest in the log: it never goes back behind that */
    bool clockRuns;                 /* it was told, or it is ours: before that, our own time says nothing of it */
    Filling *filling;               /* null: none is coming in */
    bool compacting;
    uint64_t otherHistories; /* orders to drop what is committed */
    int64_t otherToldMs;
    uint64_t listCommitted; /* the highest index of a list of voters known to be committed */
    bool listOld;           /* the log would make it lead by an older one: it does not vote any more */
    bool too_large;         /* its state is larger than a snapshot may be */
    bool mending;           /* the whole journal is written again after a failure */
    /* the holder */
    ViewPhase phase;
    uint64_t leadTurn;
    uint64_t epoch;
    LockHold hold;
    int64_t wonMs;
    bool holding;   /* the lock was won and not given up (also while a view is opened anew) */
    bool reopening; /* the opening under way is of a holder that never lost the lock */
    uint64_t viewIndex;
    bool inView[SEAT_MOST];
    Peer peers[SLOT_MOST];
    Learner learners[LEARNER_MOST];
    uint64_t learnersTurn;   /* the lead that they follow */
    uint64_t learnersPassed; /* a disk that was not ready in time; others go first */
    int64_t askMs;           /* the next round of contact before a change takes at most so long; 0: the least */
    Signal membership;       /* a change of membership is to be weighed at once */
    uint64_t queuedIndex;    /* handed to the own journal; what follows is synced after it */
    uint64_t syncedIndex;    /* own journal, as far as this lead knows */
    int64_t changedMs;       /* the last change of view */
    uint64_t viewChanges;
    int64_t rest_until_ms;
    int64_t blindSinceMs; /* since when a seat sees many more members than we do; 0: none does */
    int64_t wokenSinceMs; /* since when an opening waits for the last view's members; 0: none does */
    int64_t wallOffsetMs;
    bool wallKnown;
    Waiter *waiters;
    Signal grew;
    int slowTimes;   /* own syncs in a row that took longer than SEAT_SLOW_MS */
    Signal released; /* the holder of the lock has given it up */
    bool named;      /* ... and named this seat to be the next */
    Signal news;
    uint64_t contactAsked;    /* rounds of contact that were asked for */
    uint64_t contactLearners; /* the newest one that learners are asked in as well */
    Signal contactNews;       /* one more is */
    Signal contactMade;       /* a seat has answered one */
};

#define SNAPSHOT_FIELDS(X)   \
    X(LST, seats, DiskId)    \
    X(ONE, last, ViewRecord) \
    X(BIN, state, 0)         \
    X(LST, cores, SeatCore)
SHAPE(Snapshot, SNAPSHOT_FIELDS)

int viewSeatOf(const View *view, uint64_t disk);
int viewOwnSeat(const View *view);
/* How many seats decide. */
size_t viewMajority(const View *view);
/* Whether it holds the lock and orders, by its own clock; others may not be told
 * so yet, when too few disks would hold what it acknowledges. */
bool viewOrders(const View *view);
/* Reads seats and last out of the log again. */
void viewReread(View *view);
void viewDeliver(View *view);
/* The records that stand for all this node knows; on mem. */
Record *viewRecords(View *view, void *mem, size_t *count);
void viewCompactMaybe(View *view, bool force);
/* Puts a snapshot in place of everything; false when it is not one. */
Status viewLoad(View *view, const Record *snapshot);
/* What a disk that keeps what it has synced may never come to: it would drop what was
 * committed from index on. Told, counted and refused with OTHER_HISTORY. */
Status historyRefuse(View *view, uint64_t index);
void viewWaitersEnd(View *view, Status status);
/* An entry of the log was made then. */
void viewClockTell(View *view, int64_t clock_ms);
/* The holder's clock is so now: ours must not run ahead of it, or what is due would
 * be due early under us. */
void viewClockSet(View *view, int64_t clock_ms);

/* Its writes fail: nothing may be promised or taken. */
bool viewDiskFailed(const View *view);
/* Spawns the task that tries a failed disk again. */
void diskStart(View *view);

/* The list of seats. */
void seatsFirst(View *view);
/* Takes a list as the newest; what the holder knew of a place counts for nothing
 * once another has it. */
void seatsTake(View *view, const SeatList *list, uint64_t index);
void seatsFounded(View *view, const SeatList *list);
/* The list of these disks, with what is known of their cores; on mem. */
SeatList *seatsOf(const View *view, void *mem, const uint64_t disks[], size_t count);
/* The list with the disk at the place, or the place vacated (0); on mem. */
SeatList *seatsWith(const View *view, void *mem, int place, uint64_t disk);
/* Where the core of a place's disk is asked; false when nobody knows. */
bool seatAddress(const View *view, int place, char address[ADDRESS_MAX]);
/* The disk of a slot: a voter's place, or a learner's. */
uint64_t slotDisk(const View *view, int slot);
/* Whether the disk is gone for certain: its core has come back with another, at the
 * same address when asked for. */
bool seatDead(const View *view, uint64_t disk, bool sameAddress);
/* Where its core stands; empty when nobody knows. */
const char *seatZone(const View *view, uint64_t disk);
/* Whether the disk of a voter is gone for so long, or for certain, that it is to be replaced. */
bool voterGone(const View *view, int place);
/* Whether it answers and has all that is committed. */
bool voterLive(const View *view, int place);
/* Adds to the sight the learners, and how many losses are borne and asked for. */
void votersSight(const View *view, ViewSight *sight);
/* The leader keeps the number of voters wanted, one committed change at a time. */
void votersStart(View *view);

/* The leader has every core without a vote follow the log, in as many slots as there are. */
void learnersFollow(View *view);
/* Whether the member is a core that runs, is of this cluster and has no vote. */
bool learnerMayFollow(const View *view, const Member *row);
/* A lead that is over has no learners. */
void learnersClear(View *view);
/* Whether the learner has nearly all of the log, and grants the lease. */
bool learnerReady(const View *view, size_t learner);
/* Ready for at least the span in which a loss is made good. */
bool learnerSteady(const View *view, size_t learner);
/* The slot is free again: its disk has a vote now. */
void learnerDone(View *view, size_t learner);
/* The span in which a loss is made good. */
int64_t viewBackMs(const View *view);
/* How many voters the settings ask for: twice the losses to be borne, and one. */
size_t votersWanted(const View *view);

/* The seat's part; each may wait for the disk. */
void seatDescribe(const View *view, void *mem, SeatAnswer *answer);
Status seatPropose(View *view, const ProposeAsk *ask);
Status seatAppend(View *view, const AppendAsk *ask);
Status seatFill(View *view, const FillAsk *ask);
/* Puts the snapshot and what follows it in the place of the whole log, in one write. */
Status seatReplace(View *view, const Record *snapshot, const Record *entries, size_t entryCount);
void seatLog(View *view, void *mem, const LogAsk *ask, LogAnswer *answer);
void seatServe(View *view);

/* Asking all seats at once. Freed by whichever of the asking task and the asked
 * ones ends last. */
typedef struct Poll {
    View *view;
    ProposeAsk ask;
    size_t users;
    int pending;
    Signal ended;
    uint64_t disks[SEAT_MOST]; /* asked; 0: none at that place */
    Status status[SEAT_MOST];
    SeatAnswer answers[SEAT_MOST];
    int64_t sent_ms[SEAT_MOST];
} Poll;

/* Waits until all have answered or can't be reached; once a majority of seats
 * that never slept has answered, a short grace is enough. Ends with pollLeave. */
Poll *pollSeats(View *view, uint64_t epoch, const bool skip[SEAT_MOST]);
void pollLeave(Poll *poll);
/* Whether the answer is the seat's own. */
bool pollReached(Status status);

/* Takes a snapshot or a piece of one. OK: whole is all of it, on the ask or on filling; BUSY: more must come; LOG_GAP:
 * another piece is wanted; BAD_FRAME: it is spoilt. */
Status fillTake(View *view, const FillAsk *ask, Record *whole);
void fillDrop(View *view);
/* Bytes of the one that is coming in. */
uint64_t fillCount(const View *view);

/* A task of one lead for the disk at a slot.
 * Invariant: disk is not 0; the task is over once another disk has the slot, or a
 * learner's slot was given anew. */
typedef struct Lead {
    View *view;
    uint64_t turn;
    int slot;
    uint64_t disk;
    uint64_t learnerTurn; /* 0: a voter's slot */
} Lead;

/* The holder's part. */
bool leadPeerOver(const Lead *lead);
/* Waits. Sends the disk the snapshot. */
void fillOne(View *view, const Lead *lead, const char *address);
void leadDown(View *view, int64_t restMs);
bool leadOver(const View *view, uint64_t turn);
/* Spawns the task that keeps the grant of the disk at the slot; ... its log. */
void leadRenew(View *view, int slot);
void leadPeer(View *view, int slot);
void leadAnswered(View *view, int slot, const SeatAnswer *answer);
/* Tells all other seats that what they granted under the epoch is not used. next:
 * the disk that is to take over at once; 0: whoever comes first. */
void leadRelease(View *view, uint64_t next);
/* Spawns the task that syncs the own journal. */
void leadLocal(View *view);
/* Commits what every seat in the view, and a majority of the seats, has synced. */
void leadCommit(View *view);
/* The first entry of a view. */
void leadViewEntry(View *view, const bool inView[SEAT_MOST], bool repair);
/* Changes the view under the same epoch. What was ordered before is committed
 * together with the change, so that the last view recorded has all of it. */
void leadTurn(View *view, const bool inView[SEAT_MOST]);
/* The seat in the view that is to follow: the least behind; quick: only one whose
 * disk is; 0: none. */
uint64_t leadNext(const View *view, bool quick);
/* Stops taking changes, collects the logs of a majority, takes the best one,
 * trims the others to it, opens the next epoch and goes on. skip: seats that
 * are to stay out. Waits. */
Status viewOpen(View *view, const bool skip[SEAT_MOST]);
/* The seat at the slot has granted the lock in answer to a question that was sent when the
 * rounds of contact up to this one had been asked for. */
void contactGranted(View *view, int slot, uint64_t contact);
/* Whether a round of contact waits for the seat at the slot. */
bool contactOwed(const View *view, int slot);
/* Waits, at most so long, until all voters and learners that are taken for alive have
 * answered a question that was sent since; the number of the round. */
uint64_t contactMembers(View *view, int64_t mostMs);
/* Sleeps so long, or until another round of contact is asked for. */
void contactRest(View *view, int slot, int64_t restMs);
/* Watches the hold and the seats of the view. */
void viewWatch(View *view);

#endif
