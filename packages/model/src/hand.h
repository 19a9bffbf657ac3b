#ifndef MODEL_SRC_HAND_H
#define MODEL_SRC_HAND_H

#include "book.h"
#include "ledger.h"

/* Members of a gang under one attempt number, or one task by itself. They work from the
 * moment when all are there, at the pace of the slowest, and end as one.
 * Invariant: freed with its last member. */
typedef struct Crew {
    struct Hands *hands;
    uint64_t attempt, needed;
    struct HandRun *members[128];
    size_t count;
    bool begun;
    int64_t work_us, done_us; /* work to be done; done until last_ms */
    int64_t from_ms;          /* what of it was saved before */
    int64_t last_ms, rate;    /* work us in each ms */
    int64_t fail_us;          /* a member fails by itself there */
    struct HandRun *failing;
} Crew;

/* A run on a worker. Times are true ones but those of the lease, which are the worker's. */
typedef struct HandRun {
    struct HandRun *next, *next_live;
    struct Hand *hand;
    BookTask *task;
    uint64_t attempt;
    Crew *crew;
    int64_t began_ms, stop_at_ms; /* 0: it is not being stopped */
} HandRun;

typedef struct HandEnd {
    HandEnded told;
    BookTask *task;
    bool lapsed_since; /* the lease was over since: nobody need take note of it */
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
    int64_t grey_percent;      /* so many of its attempts fail */
    bool hangs;                /* nothing on it comes forward */
    bool up;
    bool leaving;
    int64_t leave_at_ms, leave_ack_ms;
    bool leave_ack_touch; /* the machine that acknowledged was in touch */
    /* of the process */
    void *mem;
    Loop *loop;
    uint64_t sequence, fence, end_number;
    int64_t lease_until_ms;
    HandRun *runs;
    HandEnd *ends;
    size_t end_count;
    Map *highest; /* task to the highest round stopped or ended here */
    Signal work, news;
    bool news_open;
} Hand;

typedef struct Hands {
    Ground *ground;
    Book *book;
    Ledger *ledger;
    Hand list[SIDES_MAX];
    size_t count;
    uint64_t boots;
} Hands;

Hands *hands_new(void *mem, Book *book, Ledger *ledger);
void hands_start(Hands *hands);
void hand_start(Hand *hand);
/* The process ends at once; power: nobody is told. */
void hand_crash(Hand *hand, bool power);
/* It says that it leaves, and does so after that span. */
void hand_leave(Hand *hand, int64_t after_ms);
void hand_slow(Hand *hand, int64_t times);
void hand_hang(Hand *hand, bool hangs);
Room hand_used(const Hand *hand);
/* Crews of its runs look anew at how fast they are. */
void hand_pace(Hand *hand);

/* --- what it runs ------------------------------------------------------------------------- */
/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t hand_saved_ms(const HandRun *run, bool all);
/* The run is no more, without an end: out of all lists. */
void hand_run_drop(HandRun *run);
/* The run has come to this end, which is listed until it is seen. */
void hand_run_end(HandRun *run, AttemptWord word);
/* A task of its process: what comes due. */
void hand_work_main(void *arg);
/* An answer to a heartbeat that was sent then, by the worker's clock. */
void hand_orders_take(Hand *hand, const HandOrders *orders, int64_t sent_ms);

/* --- crews -------------------------------------------------------------------------------- */
/* The run takes its place in the crew of its attempt. */
void crew_join(Hands *hands, HandRun *run, int64_t from_ms);
void crew_leave(HandRun *run);
/* What it has done until now. */
void crew_advance(Crew *crew);
void crew_pace(Crew *crew);
/* When something is due next; INT64_MAX: nothing. */
int64_t crew_next_ms(const Crew *crew);
int64_t crew_progress_ms(const Crew *crew);

/* --- rules at a worker ---------------------------------------------------------------------- */
/* Everything that must hold when a task is about to start. False: it is of no job at all. */
bool start_check(Hand *hand, const HandStart *start);
/* An end has been listed, and has been taken note of. */
void end_noted(Hand *hand, const HandEnd *end);
/* A member of a gang has ended because the others did not come. */
void alone_check(const HandRun *run);

#endif
