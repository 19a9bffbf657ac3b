#ifndef AGENT_SRC_STATE_H
#define AGENT_SRC_STATE_H

/* The agent's state, shared by all files of this package. Layers, each of which calls only those before it: attempts
 * (the attempt table); orders; heartbeat; end_reports, isolated, deadlines, boot, worker and answer (the interface to
 * the worker); report_json and http (HTTP); agent. */

#include "base/arrivals.h"
#include "base/log_event.h"
#include "base/term.h"
#include "agent/agent.h"
#include "agent/report.h"
#include "heartbeat/lease.h"
#include "routing/messages.h"
#include "lock/lock.h"
#include "attempt.h"
#include "trace/trace.h"

struct Heartbeat;

/* A process of the worker. Times are on the agent's clock. Invariant: alive_ms <= arrived_ms. */
typedef struct Boot {
    char *name;
    uint64_t seq;       /* Number of its newest report; 0: not given */
    int64_t arrived_ms; /* When that report arrived */
    int64_t alive_ms;   /* It is known to have been alive at this time; 0: not known */
    int64_t current_ms; /* When it became the current boot; 0: it has not */
    bool departs;       /* It has said that it will end soon */
    bool ended;         /* It has said that it has ended: later reports are refused */
} Boot;

/* The agent. Invariants:
 *  - No attempt is given to the worker while the lease is not valid, nor one that was ordered in a term older than
 *    lease.term, nor any once the worker drains.
 *  - worker_lease_until_ms is never earlier than the end of any lease passed on to the worker's current boot, by this
 *    agent process or an earlier one.
 *  - If settled is true, attempts holds every attempt that may run on the worker.
 *  - boot is one of boots. */
struct Agent {
    Loop *loop;
    Recorder *recorder;
    const Settings *settings;
    const char *worker_name;
    Rpc *rpc;
    Members *members;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    uint64_t incarnation;
    uint64_t number; /* Number of the last heartbeat or report of ends */
    Lease lease;     /* The agent's lease from the leader */
    /* Heartbeats */
    struct Heartbeat *heartbeat;   /* The newest heartbeat in flight; null if there is none */
    size_t heartbeats;             /* Number of heartbeats in flight */
    int64_t heartbeat_due_ms;      /* When the next heartbeat is due, unless one is needed immediately */
    bool heartbeat_needed;         /* A heartbeat is needed immediately */
    uint64_t have, have_term;      /* Version and term of the last orders applied; older orders are ignored */
    uint64_t saved_term;           /* The term of the leader that the attempts' leader_version refers to */
    int64_t heartbeat_answered_ms; /* When a heartbeat was last answered; 0: never */
    bool isolated;                 /* The lease is extended by the second survival rule (isolated.c) */
    /* The worker */
    Worker worker;
    uint64_t description_number;    /* Number of changes of worker so far */
    void *worker_mem;               /* talloc parent of what worker points to */
    Resources others;               /* The worker's capacity that is used by others than this agent's attempts */
    Boot *boot;                     /* The current boot; null: none has reported, or the last one has ended */
    Boot *boots[WORKER_STARTS_MAX]; /* Ring buffer of the newest boots that have reported */
    size_t boot_count;              /* Number of boots ever put into boots */
    bool worker_live, worker_leaving, settled;
    int64_t leave_until_ms;           /* If draining: the worker stays at least until then; 0: not given */
    uint64_t report_number;           /* Number of the newest report; only that one is answered */
    uint64_t applied_number;          /* Number of the last report that was applied to the attempt table */
    int64_t last_report_ms;           /* When the worker's last report arrived; 0: none has */
    Arrivals reports;                 /* How soon the worker reports again after an answer */
    int64_t worker_lease_until_ms;    /* No lease passed on to the worker is valid after this time */
    int64_t inherited_lease_until_ms; /* No lease that an earlier agent process passed on is valid after this time */
    Attempts attempts;
    Signal answer_signal; /* Raised when there is something to answer the worker with */
    Signal report_signal; /* Raised when there is an end to report, or another leader */
    bool leaving;         /* True while the agent itself shuts down */
    Trace *trace;
    uint64_t term_traced; /* The newest term that was added to the trace */
};

#endif
