#ifndef AGENT_SRC_ATTEMPTS_H
#define AGENT_SRC_ATTEMPTS_H

/* The attempt table: every change of an attempt's phase is made here, except OFFERED to SENT (answer.c),
 * SENT back to OFFERED (worker.c), and to STOPPING where an order no longer wants it (orders.c). */

#include "state.h"

void attempts_init(Agent *agent);

/* Null: not in the table. */
Attempt *attempt_find(Agent *agent, const char *job, uint64_t task, uint64_t attempt);
/* The attempt of the task with the highest number; null: none. */
Attempt *attempt_newest(Agent *agent, const char *job, uint64_t task);
/* Whether the order is for the attempt of this number. */
bool attempt_is(const Order *order, const char *job, uint64_t task, uint64_t number);
/* Its name, copied onto mem. */
AttemptId attempt_id(void *mem, const Attempt *attempt);

/* Adds an attempt; the order is copied. */
Attempt *attempt_add(Agent *agent, const Order *order, AttemptPhase phase);
/* Adds a step of the attempt to the job's trace (trace/). */
void attempt_trace(Agent *agent, const Attempt *attempt, TraceStep step);

/* The worker reports that it runs, with its checkpoint and progress. */
void attempt_runs(Agent *agent, Attempt *attempt, const AttemptUpdate *update);
/* It is over; no effect if it already was. guessed: the agent infers this, the worker has not reported it. */
void attempt_end(Agent *agent, Attempt *attempt, AttemptWord word, const char *text, bool guessed);
/* The order's deadline has come before the worker was known to start it. */
void attempt_expire(Agent *agent, Attempt *attempt);
/* Has its end reported (again) to the leader, with this result. */
void attempt_report_end(Agent *agent, Attempt *attempt, AttemptWord word, const char *text);
/* The leader has committed its end. */
void attempt_known(Agent *agent, Attempt *attempt);

/* Stops every attempt that may run, and withdraws those not given yet. */
void attempts_stop(Agent *agent);
/* Nothing runs on the worker any more: ends every attempt that was given to it. Those still OFFERED stay. */
void attempts_end_given(Agent *agent, const char *why);
/* An OFFERED attempt that is not to be given to this worker: it ends, so that the leader places it elsewhere.
 * Until the agent is settled an earlier agent process may have given it, so it is stopped instead. */
void attempt_withdraw(Agent *agent, Attempt *attempt, const char *why);
/* The same for all OFFERED attempts. */
void attempts_withdraw(Agent *agent, const char *why);
/* Drops KNOWN attempts that are too old or too many. */
void attempts_forget(Agent *agent);

#endif
