/* The attempt table: finds attempts by identity, moves them through their phases, and removes old ones. */
#include "attempts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define KEY_MAX (ID_MAX + 48) /* Buffer size in bytes for a job's name and two numbers */

static const char *task_key(char key[KEY_MAX], const char *job, uint64_t task)
{
    snprintf(key, KEY_MAX, "%" PRIu64 " %s", task, job);
    return key;
}

static const char *attempt_key(char key[KEY_MAX], const char *job, uint64_t task, uint64_t attempt)
{
    snprintf(key, KEY_MAX, "%" PRIu64 " %" PRIu64 " %s", attempt, task, job);
    return key;
}

void attempts_init(Agent *agent)
{
    agent->attempts.by_id = map_new(agent);
    agent->attempts.newest = map_new(agent);
}

Attempt *attempt_find(Agent *agent, const char *job, uint64_t task, uint64_t attempt)
{
    char key[KEY_MAX];
    return map_get(agent->attempts.by_id, attempt_key(key, job, task, attempt));
}

Attempt *attempt_newest(Agent *agent, const char *job, uint64_t task)
{
    char key[KEY_MAX];
    return map_get(agent->attempts.newest, task_key(key, job, task));
}

AttemptId attempt_id(void *mem, const Attempt *attempt)
{
    return (AttemptId){talloc_strdup(mem, attempt->order.job), attempt->order.task, attempt->order.attempt};
}

static void chain_remove(Attempt *attempt)
{
    AttemptChain *chain = attempt->chain;
    if (attempt->prev != NULL)
        attempt->prev->next = attempt->next;
    else
        chain->first = attempt->next;
    if (attempt->next != NULL)
        attempt->next->prev = attempt->prev;
    else
        chain->last = attempt->prev;
    chain->count--;
}

static void chain_append(AttemptChain *chain, Attempt *attempt)
{
    attempt->chain = chain;
    attempt->prev = chain->last;
    attempt->next = NULL;
    if (chain->last != NULL)
        chain->last->next = attempt;
    else
        chain->first = attempt;
    chain->last = attempt;
    chain->count++;
}

/* Replaces a text of the attempt. The empty text is never allocated. */
static void text_set(Attempt *attempt, const char **at, const char *text)
{
    if (*at == text)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(attempt, text) : "";
}

Attempt *attempt_add(Agent *agent, const Order *order, AttemptPhase phase)
{
    Attempt *attempt = talloc_zero(agent, Attempt);
    char key[KEY_MAX];
    shape_copy(&Order_shape, order, attempt, &attempt->order);
    attempt->phase = phase;
    attempt->saved = attempt->text = "";
    attempt->changed_ms = loop_now_ms(agent->loop);
    chain_append(&agent->attempts.live, attempt);
    map_set(agent->attempts.by_id, attempt_key(key, order->job, order->task, order->attempt), attempt);
    const Attempt *newest = attempt_newest(agent, order->job, order->task);
    if (newest == NULL || newest->order.attempt < order->attempt)
        map_set(agent->attempts.newest, task_key(key, order->job, order->task), attempt);
    return attempt;
}

void attempt_trace(Agent *agent, const Attempt *attempt, TraceStep step)
{
    char detail[48];
    snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 "%s%s", attempt->order.task,
             attempt->order.attempt, step == TRACE_OVER ? " " : "",
             step == TRACE_OVER ? attempt_status_name(attempt->word) : "");
    trace_record(agent->trace, step, detail, "job:%s", attempt->order.job);
}

/* Records the progress. It is reported to the leader once the attempt has run for PROGRESS_FIRST_MS, and then each time
 * its run time has grown by half: often enough to notice an attempt that makes no progress, rarely enough to cost
 * almost nothing. */
static void progress_record(Agent *agent, Attempt *attempt, uint64_t percent)
{
    attempt->percent = percent;
    attempt->percent_ms = loop_now_ms(agent->loop) - attempt->running_since_ms;
    if (attempt->progress_due_ms == 0)
        attempt->progress_due_ms = PROGRESS_FIRST_MS;
    if (attempt->percent_ms < attempt->progress_due_ms)
        return;
    attempt->progress_due_ms = attempt->percent_ms + attempt->percent_ms / 2;
    attempt->progress_version++;
}

void attempt_running(Agent *agent, Attempt *attempt, const AttemptUpdate *update)
{
    if (attempt->phase == PHASE_ORDERED || attempt->phase == PHASE_SENT) {
        attempt->phase = PHASE_RUNNING;
        attempt_trace(agent, attempt, TRACE_RUNS);
    }
    if (attempt->running_since_ms == 0)
        attempt->running_since_ms = attempt->given_ms != 0 ? attempt->given_ms : loop_now_ms(agent->loop);
    if (attempt->progress_version == 0 || strcmp(attempt->saved, update->saved) != 0) {
        text_set(attempt, &attempt->saved, update->saved);
        attempt->progress_version++; /* The next heartbeat carries it */
    }
    progress_record(agent, attempt, update->percent);
}

void attempt_report_end(Agent *agent, Attempt *attempt, AttemptStatus word, const char *text)
{
    attempt->phase = PHASE_ENDED;
    attempt->word = word;
    text_set(attempt, &attempt->text, text);
    chain_remove(attempt);
    chain_append(&agent->attempts.ended, attempt);
    signal_raise(agent->loop, &agent->report_signal);
}

void attempt_end(Agent *agent, Attempt *attempt, AttemptStatus word, const char *text, bool inferred)
{
    if (attempt->phase >= PHASE_ENDED)
        return;
    const int64_t now_ms = loop_now_ms(agent->loop);
    attempt->inferred = inferred;
    const int64_t since_ms = attempt->running_since_ms != 0 || inferred ? attempt->running_since_ms : attempt->given_ms;
    attempt->ran_ms = since_ms != 0 ? now_ms - since_ms : 0;
    attempt->changed_ms = now_ms;
    /* Thousands of ended attempts are kept, so their payloads are freed. */
    talloc_free((void *)(uintptr_t)attempt->order.payload);
    talloc_free((void *)(uintptr_t)attempt->order.saved);
    attempt->order.payload = attempt->order.saved = "";
    attempt_report_end(agent, attempt, word, text);
    attempt_trace(agent, attempt, TRACE_OVER);
}

void attempt_expire(Agent *agent, Attempt *attempt)
{
    attempt_end(agent, attempt, ATTEMPT_REFUSED, "the order expired before it started", true);
}

void attempt_end_committed(Agent *agent, Attempt *attempt)
{
    attempt->phase = PHASE_COMMITTED;
    attempt->changed_ms = loop_now_ms(agent->loop);
    chain_remove(attempt);
    chain_append(&agent->attempts.committed, attempt);
    attempt_trace(agent, attempt, TRACE_KNOWN);
    signal_raise(agent->loop, &agent->answer_signal);
}

void attempt_withdraw(Agent *agent, Attempt *attempt, const char *why)
{
    if (agent->settled)
        attempt_end(agent, attempt, ATTEMPT_STOPPED, why, true);
    else
        attempt->phase = PHASE_STOPPING; /* An earlier agent process may have given it */
}

bool attempt_may_run_unlisted(const Agent *agent, const Attempt *attempt)
{
    return !agent->settled && attempt->listed_in == 0;
}

void attempts_withdraw(Agent *agent, const char *why)
{
    if (!agent->settled)
        return; /* The worker may run them; none is given to it before that is known */
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase == PHASE_ORDERED)
            attempt_withdraw(agent, attempt, why);
    }
}

void attempts_stop_all(Agent *agent)
{
    attempts_withdraw(agent, "the lease expired before it started");
    for (Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
        attempt->phase = PHASE_STOPPING;
    signal_raise(agent->loop, &agent->answer_signal);
}

void attempts_end_given(Agent *agent, const char *why)
{
    for (Attempt *attempt = agent->attempts.live.first, *next; attempt != NULL; attempt = next) {
        next = attempt->next;
        if (attempt->phase != PHASE_ORDERED && !attempt_may_run_unlisted(agent, attempt))
            attempt_end(agent, attempt, attempt->phase == PHASE_STOPPING ? ATTEMPT_STOPPED : ATTEMPT_LOST, why, true);
    }
}

void attempts_remove_old(Agent *agent)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    Attempts *attempts = &agent->attempts;
    while (attempts->committed.first != NULL) {
        Attempt *attempt = attempts->committed.first;
        if (now_ms - attempt->changed_ms <= REPAIR_KEEP_MS && attempts->committed.count <= ENDED_ATTEMPTS_KEPT_MAX)
            return;
        char key[KEY_MAX];
        chain_remove(attempt);
        map_remove(attempts->by_id, attempt_key(key, attempt->order.job, attempt->order.task, attempt->order.attempt));
        if (attempt_newest(agent, attempt->order.job, attempt->order.task) == attempt)
            map_remove(attempts->newest, task_key(key, attempt->order.job, attempt->order.task));
        talloc_free(attempt);
    }
}
