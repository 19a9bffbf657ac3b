#ifndef AGENT_REPORT_H
#define AGENT_REPORT_H

/* A worker's report to its agent and the orders that answer it, independent of the protocol that the worker speaks.
 * Protocol adapters (src/report_json.c here, and those of other platforms) translate to and from these types. An
 * attempt is identified by job, task number (TASK_NUMBER) and attempt number. */

#include "agent/agent.h"
#include "heartbeat/messages.h"

/* What a worker reports about itself. All texts belong to the caller and must stay valid until agent_report returns. */
typedef struct WorkerReport {
    const char *boot; /* Identifies the worker's process; attempts and leases never outlive it */
    Worker worker;    /* Its name is ignored: an agent serves one worker */
    bool one_process; /* True if the worker never has two processes at a time: a live one proves that others have ended
                       */
    uint64_t seq;     /* Grows with each report of a boot, so that a late report is recognized; 0: not given */
    /* The newest report of this boot whose answer the worker had when it sent this one. It proves that this report was
     * sent after that one arrived, however late it is itself. 0: not known */
    uint64_t answered_seq;
    bool leaving;     /* The worker is draining: it accepts no new attempts */
    int64_t leave_ms; /* If leaving: the worker stays for at least this long; 0: not given */
    bool left;        /* The worker has shut down cleanly: no attempt runs there any more */
    /* The worker's process will end soon, but may run on for a while; the report describes nothing else. Its attempts
     * run on for as long, and no longer than its lease. */
    bool departs;
    bool free_given;         /* True if free is given */
    Resources free;          /* Unused capacity, as the worker counts it */
    int64_t wait_ms;         /* The answer may be delayed by this long */
    size_t starts_bytes_max; /* The starts of an answer take at most this many bytes as JSON; 0: no bound */
    /* The worker sends no other report before this one is answered, not even when an attempt ends. */
    bool waits_for_answer;
    /* Running attempts, and ended attempts whose end the worker does not know to be committed. */
    const AttemptUpdate *running, *ended;
    size_t running_count, ended_count;
    bool ends_cut; /* More attempts may have ended than the report lists: one that it does not list may have ended */
} WorkerReport;

/* The answer to a report. The lease counts from when the worker sent its report.
 * Invariants: fence never decreases within one boot; a lease that is passed on ends before the agent's own, even on
 * a clock that is CLOCK_SLOW_PERCENT slow. */
typedef struct WorkerOrders {
    uint64_t term;    /* The newest term that the agent knows */
    uint64_t fence;   /* Fencing token: the counter of the term */
    int64_t lease_ms; /* The worker's lease in ms; 0: none, and then nothing is started */
    const Order *starts;
    size_t starts_count;
    int64_t start_within_ms; /* Time from now within which the starts must begin */
    const AttemptId *stops;  /* Attempts to stop */
    size_t stops_count;
    const AttemptId *committed_ends; /* Reported ends that are committed: the worker may forget them */
    size_t committed_ends_count;
    int64_t next_report_ms; /* The next report is not needed before this time, unless an attempt ends */
} WorkerOrders;

/* Processes a report and answers it. Suspends the coroutine, for report->wait_ms at most, until there is something to
 * answer with.
 * in: *gone is read again after each wait; true: the sender has disconnected. mem is the talloc parent of the orders.
 * out: *orders; the attempts in starts count as given to the worker from now on.
 * return: OK; CLOSED: a newer report has arrived, this report is a late one, or the sender has disconnected;
 * DUPLICATE_WORKER: the process of another boot may still be running, or this boot has ended. */
Status agent_report(Agent *agent, void *mem, const bool *gone, const WorkerReport *report, WorkerOrders *orders);

#endif
