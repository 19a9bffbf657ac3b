#ifndef AGENT_SRC_ATTEMPTS_H
#define AGENT_SRC_ATTEMPTS_H

/* The attempt table. All changes of an attempt's phase are made here, except three: from ORDERED to SENT (answer.c),
 * from SENT back to ORDERED (worker.c), and to STOPPING if the orders no longer want the attempt (orders.c). */

#include "state.h"

/* Creates the empty attempt table of the agent. */
void attempts_init(Agent *agent);

/* Returns null if the attempt is not in the table. */
Attempt *attempt_find(Agent *agent, const char *job, uint64_t task, uint64_t attempt);
/* The attempt of the task with the highest number; null if there is none. */
Attempt *attempt_newest(Agent *agent, const char *job, uint64_t task);
/* The attempt's identity, copied to mem. */
AttemptId attempt_id(void *mem, const Attempt *attempt);

/* Adds an attempt; copies the order. */
Attempt *attempt_add(Agent *agent, const Order *order, AttemptPhase phase);
/* Adds a step of the attempt to the job's trace (package trace). */
void attempt_trace(Agent *agent, const Attempt *attempt, TraceStep step);

/* Records the worker's report that the attempt is running, with its checkpoint and progress. */
void attempt_running(Agent *agent, Attempt *attempt, const AttemptUpdate *update);
/* Ends the attempt; has no effect if it has already ended. inferred: the agent infers the end, the worker has not
 * reported it. */
void attempt_end(Agent *agent, Attempt *attempt, AttemptStatus word, const char *text, bool inferred);
/* Ends an attempt whose order expired before the worker was known to start it. */
void attempt_expire(Agent *agent, Attempt *attempt);
/* Queues the attempt's end, with this result, to be reported to the leader, possibly again. */
void attempt_report_end(Agent *agent, Attempt *attempt, AttemptStatus word, const char *text);
/* Records that the leader has committed the attempt's end. */
void attempt_end_committed(Agent *agent, Attempt *attempt);

/* Stops every attempt that may be running, and withdraws those not yet given to the worker. */
void attempts_stop_all(Agent *agent);
/* True if an earlier agent process may have given the attempt to the worker, though no report has listed it. */
bool attempt_may_run_unlisted(const Agent *agent, const Attempt *attempt);
/* Ends every attempt that was given to the worker's process, because that has ended or its lease has expired. ORDERED
 * attempts stay, and those that may run unlisted in another process of the worker. */
void attempts_end_given(Agent *agent, const char *why);
/* Withdraws an ORDERED attempt that is not to be given to this worker: it ends, so that the leader places it elsewhere.
 * Until the agent is settled, an earlier agent process may have given it, so it is stopped instead. */
void attempt_withdraw(Agent *agent, Attempt *attempt, const char *why);
/* Withdraws all ORDERED attempts; has no effect until the agent is settled. */
void attempts_withdraw(Agent *agent, const char *why);
/* Removes COMMITTED attempts that are too old or too many. */
void attempts_remove_old(Agent *agent);

#endif
