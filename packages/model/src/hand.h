#ifndef MODEL_SRC_HAND_H
#define MODEL_SRC_HAND_H

#include "book.h"
#include "ledger.h"

/* Members of a gang under one round number, or one task by itself. They work from the
 * moment when all are there, at the pace of the slowest, and end as one.
 * Invariant: freed with its last member. */
typedef struct Crew {
    struct Hands *hands;
    uint64_t round, needed;
    struct HandRun *members[128];
    size_t count;
    bool begun;
    int64_t workUs, doneUs; /* work to be done; done until last_ms */
    int64_t from_ms;        /* what of it was saved before */
    int64_t last_ms, rate;  /* work us in each ms */
    int64_t failUs;         /* a member fails by itself there */
    struct HandRun *failing;
} Crew;

/* A run on a worker. Times are true ones but those of the hold, which are the worker's. */
typedef struct HandRun {
    struct HandRun *next, *nextLive;
    struct Hand *hand;
    BookTask *task;
    uint64_t round;
    Crew *crew;
    int64_t began_ms, stopAtMs; /* 0: it is not being stopped */
} HandRun;

typedef struct HandEnd {
    HandEnded told;
    BookTask *task;
    bool lapsedSince; /* the hold was over since: nobody need take note of it */
} HandEnd;

/* A stand-in for a worker: it does what it is told, keeps what it runs only as long as
 * it is held, and tells each end until it is seen. Invariant: runs, ends and highest
 * live as long as its process. */
typedef struct Hand {
    struct Hands *hands;
    GroundNode *side;
    int machine, number;
    uint64_t life;
    char boot[24], rack[24];
    const char *kind, *zone, *label;
    Room room;
    int64_t speed, slow_times; /* percent; times */
    int64_t greyPercent;       /* so many of its rounds fail */
    bool hangs;                /* nothing on it comes forward */
    bool up;
    bool leaving;
    int64_t leave_at_ms, leaveAckMs;
    bool leaveAckTouch; /* the machine that acknowledged was in touch */
    /* of the process */
    void *mem;
    Loop *loop;
    uint64_t sequence, fence, endNumber;
    int64_t hold_until_ms;
    HandRun *runs;
    HandEnd *ends;
    size_t endCount;
    Map *highest; /* task to the highest round stopped or ended here */
    Signal work, news;
    bool newsOpen;
} Hand;

typedef struct Hands {
    Ground *ground;
    Book *book;
    Ledger *ledger;
    Hand list[SIDES_MAX];
    size_t count;
    uint64_t boots;
} Hands;

Hands *handsNew(void *mem, Book *book, Ledger *ledger);
void handsStart(Hands *hands);
void handStart(Hand *hand);
/* The process ends at once; power: nobody is told. */
void handCrash(Hand *hand, bool power);
/* It says that it leaves, and does so after that span. */
void handLeave(Hand *hand, int64_t after_ms);
void handSlow(Hand *hand, int64_t times);
void handHang(Hand *hand, bool hangs);
Room handUsed(const Hand *hand);
/* Crews of its runs look anew at how fast they are. */
void handPace(Hand *hand);

/* --- what it runs ------------------------------------------------------------------------- */
/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t handSavedMs(const HandRun *run, bool all);
/* The run is no more, without an end: out of all lists. */
void handRunDrop(HandRun *run);
/* The run has come to this end, which is listed until it is seen. */
void handRunEnd(HandRun *run, RoundWord word);
/* A task of its process: what comes due. */
void handWorkMain(void *arg);
/* An answer to a beat that was sent then, by the worker's clock. */
void handOrdersTake(Hand *hand, const HandOrders *orders, int64_t sent_ms);

/* --- crews -------------------------------------------------------------------------------- */
/* The run takes its place in the crew of its round. */
void crewJoin(Hands *hands, HandRun *run, int64_t from_ms);
void crewLeave(HandRun *run);
/* What it has done until now. */
void crewAdvance(Crew *crew);
void crewPace(Crew *crew);
/* When something is due next; INT64_MAX: nothing. */
int64_t crewNextMs(const Crew *crew);
int64_t crewProgressMs(const Crew *crew);

/* --- rules at a worker ---------------------------------------------------------------------- */
/* Everything that must hold when a task is about to start. False: it is of no job at all. */
bool startCheck(Hand *hand, const HandStart *start);
/* An end has been listed, and has been taken note of. */
void endNoted(Hand *hand, const HandEnd *end);
/* A member of a gang has ended because the others did not come. */
void aloneCheck(const HandRun *run);

#endif
