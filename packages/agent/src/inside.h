#ifndef AGENT_SRC_INSIDE_H
#define AGENT_SRC_INSIDE_H

#include "agent/agent.h"
#include "api/show.h"
#include "beat/hold.h"
#include "lock/lock.h"
#include "feed/messages.h"
#include "round.h"
#include "trace/trace.h"

/* Invariants:
 *  - no round is given to the worker while hold does not run, nor one whose
 *    epoch is older than hold.epoch when it was ordered;
 *  - workerUntilMs is never earlier than the end of any hold passed on to the
 *    worker of the present boot;
 *  - settled: rounds holds everything that may run on the worker. */
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
    uint64_t have, haveEpoch; /* of the last orders fetched */
    /* the worker */
    Worker worker;
    void *workerMem;
    Room others; /* of the worker's room, in use by what is not ours */
    const char *boot;
    bool workerLive, workerLeaving, settled;
    uint64_t questions; /* of the worker; only the newest is answered */
    int64_t startedMs, askedMs, workerUntilMs;
    Round *rounds;
    Signal forWorker; /* there is something to answer the worker with */
    Signal toTell;    /* there is something to tell the leader */
    bool leaving;
    int64_t beatMs; /* its last beat was answered then; 0: none was */
    bool alone; /* its hold runs by the second survival rule */
    Trace *trace;
    uint64_t epochTold;
};

Round *roundFind(Agent *agent, const char *job, uint64_t task, uint64_t round);
Round *roundAdd(Agent *agent, const Order *order, RoundPhase phase);
void roundTrace(Agent *agent, const Round *round, TraceStep step);
void roundEnd(Agent *agent, Round *round, RoundWord word, const char *text);
/* Everything that may run is to stop. */
void roundsStop(Agent *agent);
void roundsForget(Agent *agent);

void leaderStart(Agent *agent);
void aloneStart(Agent *agent);
void workerTake(Agent *agent, HttpTask *task, const char *name);
void workerWatch(Agent *agent);

#endif
