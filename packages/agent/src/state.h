#ifndef AGENT_SRC_STATE_H
#define AGENT_SRC_STATE_H

/* The agent's state, shared by all files of this package. Layers, each calling only those before it:
 * attempts (the attempt table); orders; heartbeat; end_reports, isolated, watch (deadlines), boot, worker and answer
 * (the worker's side); report_json and http (HTTP); agent. */

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

/* Invariants:
 *  - no attempt is given to the worker while the lease does not run, nor one that was ordered under a
 *    term older than lease.term, nor any once the worker drains;
 *  - worker_until_ms is never earlier than the end of any lease passed on to the worker's present boot;
 *  - settled: attempts holds every attempt that may run on the worker;
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
    uint64_t number; /* of the last heartbeat or report of ends */
    Lease lease;     /* the agent's lease from the leader */
    /* heartbeats */
    struct Heartbeat *heartbeat; /* the newest in flight; null: none */
    size_t heartbeats;           /* in flight */
    int64_t heartbeat_due_ms;    /* when the next is due, unless one is needed at once */
    bool heartbeat_now;          /* one is needed at once */
    uint64_t have, have_term;    /* version and term of the last orders taken: older ones are ignored */
    uint64_t saved_term;         /* the term whose leader the attempts' leader_version refers to */
    int64_t heartbeat_ms;        /* when a heartbeat was last answered; 0: none was */
    bool isolated;               /* the lease runs by the second survival rule (isolated.c) */
    /* the worker */
    Worker worker;
    void *worker_mem;        /* talloc parent of what worker points to */
    Resources others;        /* of the worker's capacity, what others than our attempts use */
    char *boot;              /* null: none has reported, or the last one is over */
    char *boots[BOOTS_MOST]; /* ring of the newest that are over */
    size_t boot_count;       /* ever put in */
    uint64_t seq;            /* of the present boot's newest report; 0: it gives none */
    bool worker_live, worker_leaving, settled;
    int64_t leave_until_ms;       /* draining: it stays at least until then; 0: not given */
    uint64_t questions;           /* reports taken; only the newest is answered */
    int64_t started_ms, asked_ms; /* when the agent started; when the worker's last report came */
    Arrivals reports;             /* how soon the worker reports again after an answer */
    int64_t worker_until_ms;      /* no lease passed on to the worker runs after this */
    Attempts attempts;
    Signal for_worker; /* raised when there is something to answer the worker with */
    Signal to_report;  /* raised when there is an end to report, or another leader */
    bool leaving;      /* the agent itself shuts down */
    Trace *trace;
    uint64_t term_traced; /* the newest term that was traced */
};

#endif
