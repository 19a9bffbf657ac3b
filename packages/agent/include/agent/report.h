#ifndef AGENT_REPORT_H
#define AGENT_REPORT_H

#include "agent/agent.h"
#include "heartbeat/messages.h"

/* What a worker says of itself, whatever it speaks. Attempts are named by job, task
 * number (TASK_NUMBER) and round. */
typedef struct WorkerReport {
    const char *boot; /* the worker's present life: nothing of one outlives it */
    Worker worker;    /* its name is not looked at: the agent stands beside one worker */
    bool boot_ends;   /* a new boot means for certain that the old one is over */
    uint64_t seq;     /* grows with each report of one boot, so that a late one is known; 0: not told */
    bool leaving;
    int64_t leave_ms; /* leaving: it stays at least so long; 0: not told */
    bool left;        /* it has left in order: nothing runs there any more */
    bool free_told;
    Room free;
    int64_t wait_ms; /* the answer may be held back for so long */
    bool ends_wait;  /* it says nothing more before it is answered, not even that something has ended */
    const AttemptNews *running, *ended;
    size_t running_count, ended_count;
} WorkerReport;

/* What it is told. A lease counts from when the worker sent its question; 0: none,
 * and no start. Invariants: fence never falls within one boot; a lease that is
 * passed on ends, on a clock CLOCK_SLOW_PERCENT slow, before the agent's own. */
typedef struct WorkerOrders {
    uint64_t term;  /* the newest that the agent knows */
    uint64_t fence; /* its counter */
    int64_t lease_ms;
    const Order *starts;
    size_t starts_count;
    int64_t start_ms; /* none of the starts stands longer than this from now */
    const AttemptId *stops;
    size_t stops_count;
    const AttemptId *known; /* of the attempts that it has told as ended: those whose end is committed */
    size_t known_count;
    int64_t again_ms; /* unless something ends there, it need not ask again before */
} WorkerOrders;

/* Waits, at most report->wait_ms, for something to answer with. gone is looked at
 * while it waits. orders hang on mem, and are over once they have been taken: what
 * they start counts as given. CLOSED: another question has come since, or the asker
 * has gone; DUPLICATE_WORKER: another boot may still be running, or this one is over. */
Status agent_report(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders);

#endif
