#ifndef VIEW_SRC_INSIDE_H
#define VIEW_SRC_INSIDE_H

#include "view/log.h"
#include "view/view.h"

/* What the holder knows of one seat under its epoch.
 * Invariant: matchIndex is synced there; nextIndex > matchIndex. */
typedef struct Partner {
    uint64_t matchIndex, nextIndex;
    int64_t answeredMs;    /* it last answered anything */
    int64_t appendSinceMs; /* an append is out since then; INT64_MAX: none */
    int64_t appendTookMs;  /* the last one */
    bool refill;           /* its log can't be mended by entries: send the snapshot */
    bool woke;
    int slowTimes; /* appends in a row that took longer than SEAT_SLOW_MS */
    uint64_t promised;
    int64_t wallMs, wallAtMs; /* its wall clock, and our clock when it was told; wallAtMs 0: never */
    int64_t syncMs;
    uint64_t sight;
} Partner;

/* A submitted change that waits for its delivery. */
typedef struct Waiter {
    struct Waiter *next;
    uint64_t epoch, index;
    bool done;
    Status status;
    Verdict verdict;
    Signal ended;
} Waiter;

/* Invariants:
 *  - deliveredIndex <= commitIndex <= last index; all up to deliveredIndex have
 *    been given to the state, in order, once since it was last loaded;
 *  - seats and last are those of the newest SEATS and VIEW entries in the log,
 *    committed or not;
 *  - phase is LEADING only after the first entry of epoch was committed;
 *  - tasks of a lead end when leadTurn is no longer theirs. */
struct View {
    ViewProps props;
    Loop *loop;
    Journal *journal;
    const char *nodeName;
    uint64_t disk;
    /* the seat */
    uint64_t cluster;
    uint64_t founded[SEAT_COUNT];
    uint64_t seats[SEAT_COUNT];
    ViewRecord last;
    void *lastMem;
    LockSeat lock;
    bool woke;
    Log *log;
    uint64_t verifiedIndex; /* entries known to be the holder's, under the promised epoch */
    uint64_t commitIndex, deliveredIndex;
    int64_t clockBaseMs, clockAtMs;
    bool compacting;
    /* the holder */
    ViewPhase phase;
    uint64_t leadTurn;
    uint64_t epoch;
    LockHold hold;
    int64_t wonMs;
    bool holding; /* the lock was won and not given up (also while a view is opened anew) */
    bool reopening; /* the opening under way is of a holder that never lost the lock */
    uint64_t viewIndex;
    bool inView[SEAT_COUNT];
    Partner partners[SEAT_COUNT];
    uint64_t queuedIndex; /* handed to the own journal; what follows is synced after it */
    uint64_t syncedIndex; /* own journal, as far as this lead knows */
    int64_t changedMs;    /* the last change of view */
    uint64_t viewChanges;
    int64_t restUntilMs;
    int64_t blindSinceMs; /* since when a seat sees many more members than we do; 0: none does */
    int64_t wokenSinceMs; /* since when an opening waits for the last view's members; 0: none does */
    int64_t wallOffsetMs;
    bool wallKnown;
    Waiter *waiters;
    Signal grew;
    int slowTimes; /* own syncs in a row that took longer than SEAT_SLOW_MS */
    Signal released; /* the holder of the lock has given it up */
    bool named;      /* ... and named this seat to be the next */
    Signal news;
};

#define SNAPSHOT_FIELDS(X) X(LST, seats, DiskId) X(ONE, last, ViewRecord) X(BIN, state, 0)
SHAPE(Snapshot, SNAPSHOT_FIELDS)

int viewSeatOf(const View *view, uint64_t disk);
int viewOwnSeat(const View *view);
/* Reads seats and last out of the log again. */
void viewReread(View *view);
void viewDeliver(View *view);
/* The records that stand for all this node knows; on mem. */
Record *viewRecords(View *view, void *mem, size_t *count);
void viewCompactMaybe(View *view, bool force);
/* Puts a snapshot in place of everything; false when it is not one. */
Status viewLoad(View *view, const Record *snapshot);
void viewWaitersEnd(View *view, Status status);
void viewClockTell(View *view, int64_t clockMs);

/* The seat's part; each may wait for the disk. */
void seatDescribe(const View *view, void *mem, SeatAnswer *answer);
Status seatPropose(View *view, const ProposeAsk *ask);
Status seatAppend(View *view, const AppendAsk *ask);
Status seatFill(View *view, const FillAsk *ask);
void seatLog(View *view, void *mem, const LogAsk *ask, LogAnswer *answer);
void seatServe(View *view);

/* The holder's part. */
void leadStart(View *view);
void leadDown(View *view, int64_t restMs);

#endif
