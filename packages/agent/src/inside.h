#ifndef AGENT_SRC_INSIDE_H
#define AGENT_SRC_INSIDE_H

#include "agent/agent.h"
#include "agent/report.h"
#include "api/show.h"
#include "base/map.h"
#include "beat/hold.h"
#include "lock/lock.h"
#include "feed/messages.h"
#include "round.h"
#include "trace/trace.h"

struct Beat;

/* Invariants:
 *  - no round is given to the worker while hold does not run, nor one whose
 *    epoch is older than hold.epoch when it was ordered, nor any once it leaves;
 *  - workerUntilMs is never earlier than the end of any hold passed on to the
 *    worker of the present boot;
 *  - settled: rounds holds everything that may run on the worker;
 *  - boots holds the boots known to be over; the present one is none of them. */
struct Agent {
    Loop *loop;
    Ring *ring;
    const Props *props;
    const char *workerName;
    Courier *courier;
    Members *members;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    uint64_t incarnation;
    uint64_t number; /* of the last beat or telling */
    Hold hold;
    /* beats */
    struct Beat *beat;         /* the newest on its way; null: none */
    size_t beats;              /* on their way */
    int64_t beatDueMs;         /* the next, unless there is news */
    bool beatNow;              /* there is news that does not wait */
    uint64_t have, have_epoch; /* of the last orders taken: no older ones are taken after them */
    uint64_t savedEpoch;       /* whose leader the rounds' toldTurn speaks of */
    int64_t beatMs;            /* its last beat was answered then; 0: none was */
    bool alone;                /* its hold runs by the second survival rule */
    /* the worker */
    Worker worker;
    void *workerMem;
    Room others; /* of the worker's room, in use by what is not ours */
    char *boot;  /* null: none has been heard, or the last one is over */
    char *boots[BOOTS_KEPT];
    size_t bootCount;
    uint64_t seq; /* of the present boot's newest report; 0: it tells none */
    bool worker_live, workerLeaving, settled;
    int64_t leave_until_ms; /* leaving: it stays at least until then; 0: not told */
    uint64_t questions;     /* of the worker; only the newest is answered */
    int64_t started_ms, asked_ms, workerUntilMs;
    Rounds rounds;
    Signal forWorker; /* there is something to answer the worker with */
    Signal toTell;    /* there is something to tell the leader */
    bool leaving;
    Trace *trace;
    uint64_t epochTold;
};

void roundsInit(Agent *agent);
Round *round_find(Agent *agent, const char *job, uint64_t task, uint64_t round);
/* The highest of the task; null: none. */
Round *roundNewest(Agent *agent, const char *job, uint64_t task);
Round *roundAdd(Agent *agent, const Order *order, RoundPhase phase);
void roundTrace(Agent *agent, const Round *round, TraceStep step);
/* The worker says that it runs, and how far it has come. */
void roundRuns(Agent *agent, Round *round, const RoundNews *news);
/* guessed: the worker has not said so itself. */
void roundEnd(Agent *agent, Round *round, RoundWord word, const char *text, bool guessed);
/* Its end is to be told (again), with this word. */
void roundRetell(Agent *agent, Round *round, RoundWord word, const char *text);
void roundKnown(Agent *agent, Round *round);
/* Everything that may run is to stop. */
void roundsStop(Agent *agent);
/* Nothing runs there any more; what was never given goes elsewhere. */
void roundsGone(Agent *agent, const char *why);
/* An offered round that is not to be given: it goes elsewhere. While an earlier agent
 * may have given it, it is stopped first. */
void roundWithdraw(Agent *agent, Round *round, const char *why);
void roundsWithdraw(Agent *agent, const char *why);
void roundsForget(Agent *agent);

void beatStart(Agent *agent);
/* The leader is to hear at once. */
void beatNow(Agent *agent);
/* Null-terminated into address; false: no leader is known. */
bool leaderAddress(Agent *agent, char address[ADDRESS_MAX]);
void ordersTake(Agent *agent, const BeatAnswer *answer, int64_t sent_ms);
void tellStart(Agent *agent);
void aloneStart(Agent *agent);
void worker_take(Agent *agent, HttpTask *task, const char *name);
void watchStart(Agent *agent);

#endif
