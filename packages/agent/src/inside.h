#ifndef AGENT_SRC_INSIDE_H
#define AGENT_SRC_INSIDE_H

#include "agent/agent.h"
#include "agent/report.h"
#include "api/show.h"
#include "base/map.h"
#include "heartbeat/lease.h"
#include "lock/lock.h"
#include "routing/messages.h"
#include "attempt.h"
#include "trace/trace.h"

struct Heartbeat;

/* Invariants:
 *  - no attempt is given to the worker while hold does not run, nor one whose
 *    term is older than hold.term when it was ordered, nor any once it leaves;
 *  - worker_until_ms is never earlier than the end of any lease passed on to the
 *    worker of the present boot;
 *  - settled: attempts holds everything that may run on the worker;
 *  - boots holds the boots known to be over; the present one is none of them. */
struct Agent {
    Loop *loop;
    Recorder *recorder;
    const Settings *settings;
    const char *worker_name;
    Rpc *rpc;
    Members *members;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    uint64_t incarnation;
    uint64_t number; /* of the last heartbeat or telling */
    Lease lease;
    /* heartbeats */
    struct Heartbeat *heartbeat; /* the newest on its way; null: none */
    size_t heartbeats;           /* on their way */
    int64_t heartbeat_due_ms;    /* the next, unless there is news */
    bool heartbeat_now;          /* there is news that does not wait */
    uint64_t have, have_term;    /* of the last orders taken: no older ones are taken after them */
    uint64_t saved_term;         /* whose leader the attempts' told_turn speaks of */
    int64_t heartbeat_ms;        /* its last heartbeat was answered then; 0: none was */
    bool alone;                  /* its lease runs by the second survival rule */
    /* the worker */
    Worker worker;
    void *worker_mem;
    Room others; /* of the worker's room, in use by what is not ours */
    char *boot;  /* null: none has been heard, or the last one is over */
    char *boots[BOOTS_KEPT];
    size_t boot_count;
    uint64_t seq; /* of the present boot's newest report; 0: it tells none */
    bool worker_live, worker_leaving, settled;
    int64_t leave_until_ms; /* leaving: it stays at least until then; 0: not told */
    uint64_t questions;     /* of the worker; only the newest is answered */
    int64_t started_ms, asked_ms, worker_until_ms;
    Attempts attempts;
    Signal for_worker; /* there is something to answer the worker with */
    Signal to_tell;    /* there is something to tell the leader */
    bool leaving;
    Trace *trace;
    uint64_t term_told;
};

void attempts_init(Agent *agent);
Attempt *attempt_find(Agent *agent, const char *job, uint64_t task, uint64_t attempt);
/* The highest of the task; null: none. */
Attempt *attempt_newest(Agent *agent, const char *job, uint64_t task);
Attempt *attempt_add(Agent *agent, const Order *order, AttemptPhase phase);
void attempt_trace(Agent *agent, const Attempt *attempt, TraceStep step);
/* The worker says that it runs, and how far it has come. */
void attempt_runs(Agent *agent, Attempt *attempt, const AttemptNews *news);
/* guessed: the worker has not said so itself. */
void attempt_end(Agent *agent, Attempt *attempt, AttemptWord word, const char *text, bool guessed);
/* Its end is to be told (again), with this word. */
void attempt_retell(Agent *agent, Attempt *attempt, AttemptWord word, const char *text);
void attempt_known(Agent *agent, Attempt *attempt);
/* Everything that may run is to stop. */
void attempts_stop(Agent *agent);
/* Nothing runs there any more; what was never given goes elsewhere. */
void attempts_gone(Agent *agent, const char *why);
/* An offered round that is not to be given: it goes elsewhere. While an earlier agent
 * may have given it, it is stopped first. */
void attempt_withdraw(Agent *agent, Attempt *attempt, const char *why);
void attempts_withdraw(Agent *agent, const char *why);
void attempts_forget(Agent *agent);

void heartbeat_start(Agent *agent);
/* The leader is to hear at once. */
void heartbeat_now(Agent *agent);
/* Null-terminated into address; false: no leader is known. */
bool leader_address(Agent *agent, char address[ADDRESS_MAX]);
void orders_take(Agent *agent, const HeartbeatAnswer *answer, int64_t sent_ms);
void tell_start(Agent *agent);
void alone_start(Agent *agent);
void worker_take(Agent *agent, HttpTask *task, const char *name);
void watch_start(Agent *agent);

#endif
