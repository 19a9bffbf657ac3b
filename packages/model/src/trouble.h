#ifndef MODEL_SRC_TROUBLE_H
#define MODEL_SRC_TROUBLE_H

#include "model/model.h"
#include "operator.h"

/* What may befall a day. Where CORE is set at most the losses that are to be borne
 * are in it at once. X(name, core, planned, meaning) */
#define TROUBLE_LIST(X)                                                         \
    X(coreKill, true, false, "a core's process is killed")                      \
    X(corePower, true, false, "a core loses power")                             \
    X(coreFreeze, true, false, "a core stands still")                           \
    X(coreCut, true, false, "a core is cut off from the other cores")           \
    X(coreAlone, true, false, "a core is cut off from all")                     \
    X(diskSlow, true, false, "a core's disk is slow")                           \
    X(coreWipe, true, false, "a core returns with an empty disk")               \
    X(coreReplace, true, false, "a core is replaced by an empty one elsewhere") \
    X(ackPower, true, false, "whoever acknowledged something loses power")      \
    X(ackWipe, true, false, "... and its disk")                                 \
    X(zoneOff, true, false, "a zone loses power")                               \
    X(gateKill, false, false, "a gate's process is killed")                     \
    X(gateFreeze, false, false, "a gate stands still")                          \
    X(gateCut, false, false, "a gate is cut off")                               \
    X(sideKill, false, false, "agents are killed")                              \
    X(sideFreeze, false, false, "agents stand still")                           \
    X(sideCut, false, false, "agents are cut off, their workers run on")        \
    X(sideOff, false, false, "machines with worker and agent lose power")       \
    X(handCrash, false, false, "workers crash and come back")                   \
    X(handGone, false, false, "workers are lost for good")                      \
    X(handSlow, false, false, "workers turn slow")                              \
    X(handGrey, false, false, "workers fail part of what they run")             \
    X(handHang, false, false, "nothing on some workers comes forward")          \
    X(handLeave, false, true, "workers leave in order")                         \
    X(handSpot, false, false, "workers leave at short notice")                  \
    X(burst, false, false, "many jobs of a kind come at once")                  \
    X(poison, false, true, "jobs come that can never be done")                  \
    X(roll, true, true, "machines are stopped and started in turn")             \
    X(change, false, true, "the document changes")                              \
    X(storm, false, true, "documents come in quick succession")                 \
    X(race, false, true, "two operators change it at once")                     \
    X(spoilt, false, true, "invalid documents are sent")                        \
    X(big, false, true, "the document grows")                                   \
    X(zoneDrain, false, true, "a zone is emptied and taken back")

typedef enum TroubleKind {
#define X(name, core, planned, meaning) TROUBLE_##name,
    TROUBLE_LIST(X)
#undef X
        TROUBLE_COUNT
} TroubleKind;

const char *troubleName(TroubleKind kind);
const char *troubleMeaning(TroubleKind kind);
TroubleKind troubleOf(const char *name); /* TROUBLE_COUNT: none */

/* A day under way: all that troubles touch. */
typedef struct Day {
    Ground *ground;
    Book *book;
    Ledger *ledger;
    Hands *hands;
    Door *door;
    Callers *callers;
    Operator *operator;
} Day;

/* One trouble, drawn: what it strikes follows from its own dice. */
typedef struct Trouble {
    Day *day;
    TroubleKind kind;
    int64_t atMs, forMs; /* since traffic began; how long */
    Dice dice;
    char whom[16]; /* "": drawn */
    /* struck: to be healed */
    GroundNode *nodes[SIDES_MAX];
    Hand *struck[SIDES_MAX];
    size_t count;
    const char *zone;
} Trouble;

bool troubleCore(TroubleKind kind);
void troubleBegin(Trouble *trouble);
void troubleEnd(Trouble *trouble);

#endif
