#ifndef MODEL_SRC_CALLER_H
#define MODEL_SRC_CALLER_H

#include "door.h"
#include "hand.h"

/* Those who hand jobs in: a machine for each zone. They try again with the same id, ask
 * for states, cancel, and check what they are told. */
typedef struct Callers {
    Ground *ground;
    Door *door;
    Book *book;
    Ledger *ledger;
    int machines[4];
    int64_t timesMilli[SITE_KINDS_MAX]; /* rate of a kind now, of its usual */
    int64_t poisonPercent;
    int64_t wall_ms; /* of the first turn of timed jobs */
    uint64_t drawn;
    bool over;        /* no more is handed in */
    int64_t finishMs; /* since then */
    /* first tries, before the closing fault and once it must be over */
    int64_t closingMs, backMs; /* the fault, and the machines' return; 0: none yet */
    GroundNode *lastTaker;     /* who has accepted a job last */
    int64_t lastTakenMs;
    size_t sentBefore, servedBefore, sentAfter, servedAfter;
} Callers;

Callers *callersNew(void *mem, Door *door, Book *book, Ledger *ledger);
/* Hands in from now on until over. */
void callersStart(Callers *callers);
/* Asks each accepted job once more: within finishMs each must be answered. */
void callersFinish(Callers *callers);
/* What callers' queues are in a document. */
void callersQueue(const Site *site, size_t kind, DocumentQueue *queue);
/* Looks for jobs that stand still; called often in the end. */
void callersIdle(Callers *callers, const Hands *hands);
/* What must hold in the end. */
void callersEnd(Callers *callers);

/* Draws a job of the kind. */
void draftDraw(const Callers *callers, const SiteKind *kind, Dice *dice, Draft *draft);

#endif
