/* Reports to the leader how attempts ended, repeatedly until the leader has committed the ends. Answers a leader that
 * repairs its state table (see controller/src/repair.c) with the attempts that are running and those that were done. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "attempts.h"
#include "heartbeat.h"
#include "tasks.h"

/* An update with the current state of the attempt, allocated on mem. */
static AttemptUpdate attempt_update(const Agent *agent, void *mem, const Attempt *attempt)
{
    const bool done = attempt->phase >= PHASE_ENDED;
    return (AttemptUpdate){.job = talloc_strdup(mem, attempt->order.job),
                           .task = attempt->order.task,
                           .attempt = attempt->order.attempt,
                           .worker = agent->worker_name,
                           .word = done ? attempt->word : ATTEMPT_RUNNING,
                           .text = talloc_strdup(mem, attempt->text),
                           .saved = talloc_strdup(mem, attempt->saved),
                           .ran_ms = done ? attempt->ran_ms
                                     : attempt->running_since_ms != 0
                                         ? loop_now_ms(agent->loop) - attempt->running_since_ms
                                         : 0};
}

/* Adds the ends that the leader has not committed yet to the report, oldest first; returns their number. */
static size_t ends_collect(Agent *agent, void *mem, NotifyAsk *ask)
{
    const size_t count =
        agent->attempts.ended.count < REPORT_UPDATES_MAX ? agent->attempts.ended.count : REPORT_UPDATES_MAX;
    ask->updates = talloc_zero_array(mem, AttemptUpdate, (unsigned)count);
    for (const Attempt *attempt = agent->attempts.ended.first; attempt != NULL && ask->updates_count < count;
         attempt = attempt->next)
        ask->updates[ask->updates_count++] = attempt_update(agent, mem, attempt);
    return ask->updates_count;
}

/* Handles the leader's answer: the ends in the report are committed. */
static void ends_committed(Agent *agent, const NotifyAsk *ask)
{
    for (size_t i = 0; i < ask->updates_count; i++) {
        const AttemptUpdate *update = &ask->updates[i];
        Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
        if (attempt != NULL && attempt->phase == PHASE_ENDED && attempt->word == update->word)
            attempt_end_committed(agent, attempt);
    }
    /* A worker that has shut down is removed from the fleet once all ends of its attempts are committed; the next
     * heartbeat reports that. */
    if (agent->worker_leaving && !agent->worker_live && agent->attempts.live.count + agent->attempts.ended.count == 0)
        heartbeat_request(agent);
}

/* A report in flight. Reference counted: freed by the last of its users, which are the task that sends it and the task
 * that waits for it. */
typedef struct EndReport {
    Agent *agent;
    size_t references;
    NotifyAsk ask;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
    bool done;
    Status status;
} EndReport;

static void end_report_release(EndReport *report)
{
    if (--report->references == 0)
        talloc_free(report);
}

static void end_report_main(void *arg)
{
    EndReport *report = arg;
    Agent *agent = report->agent;
    NotifyAnswer answer = {0};
    report->status =
        rpc_call_peer(agent->rpc, report, &(RpcTarget){report->address, report->peer, NULL}, MESSAGE_NOTIFY,
                      &NotifyAsk_shape, &report->ask, SUBMIT_TIMEOUT_MS, &NotifyAnswer_shape, &answer);
    if (report->status == STATUS_OK)
        ends_committed(agent, &report->ask);
    report->done = true;
    signal_raise(agent->loop, &agent->report_signal);
    end_report_release(report);
}

/* Suspends the coroutine until the report is answered or another leader is known, so that the loss of the leader does
 * not cost the entire timeout. */
static Status end_report_send(Agent *agent, EndReport *report)
{
    report->ask.number = ++agent->number;
    report->references++;
    loop_spawn(agent->loop, "end-report", end_report_main, report);
    while (!report->done) {
        char address[ADDRESS_MAX];
        if (leader_address(agent, address) && strcmp(address, report->address) != 0)
            return STATUS_NOT_LEADER;
        /* heartbeat.c raises the signal too, when it finds another leader. */
        signal_wait(agent->loop, &agent->report_signal, loop_now_ms(agent->loop) + HEARTBEAT_MS);
    }
    return report->status;
}

static void end_reports_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        EndReport *report = talloc_zero(agent, EndReport);
        report->agent = agent;
        report->references = 1;
        report->ask = (NotifyAsk){.agent = agent->worker_name, .incarnation = agent->incarnation};
        if (ends_collect(agent, report, &report->ask) == 0) {
            end_report_release(report);
            signal_wait(agent->loop, &agent->report_signal, loop_now_ms(agent->loop) + HEARTBEAT_MS * 4);
            continue;
        }
        char last_address[ADDRESS_MAX];
        Status status = STATUS_NO_LEADER;
        report->peer = members_leader_peer(agent->members);
        if (leader_address(agent, report->address))
            status = end_report_send(agent, report);
        snprintf(last_address, sizeof(last_address), "%s", report->address);
        end_report_release(report);
        if (status == STATUS_OK)
            continue;
        /* Retried until it is committed; immediately if there is another leader. */
        char address[ADDRESS_MAX];
        if (!leader_address(agent, address) || strcmp(address, last_address) == 0)
            loop_sleep(agent->loop, HEARTBEAT_MS / 5);
    }
}

static Status on_repair_query(void *arg, void *mem, const void *request, void *answer)
{
    Agent *agent = arg;
    RepairList *list = answer;
    (void)request;
    const Attempts *attempts = &agent->attempts;
    const size_t capacity = attempts->live.count + attempts->ended.count + attempts->committed.count;
    AttemptList result = {talloc_zero_array(mem, AttemptUpdate, (unsigned)capacity), 0};
    for (const Attempt *attempt = attempts->live.first; attempt != NULL; attempt = attempt->next)
        if (attempt->phase != PHASE_ORDERED)
            result.updates[result.updates_count++] = attempt_update(agent, mem, attempt);
    const Attempt *firsts[] = {attempts->ended.first, attempts->committed.first};
    for (size_t i = 0; i < sizeof(firsts) / sizeof(firsts[0]); i++)
        for (const Attempt *attempt = firsts[i]; attempt != NULL; attempt = attempt->next)
            if (attempt->word == ATTEMPT_DONE)
                result.updates[result.updates_count++] = attempt_update(agent, mem, attempt);
    if (result.updates_count == 0)
        return STATUS_OK;
    list->items = talloc_zero(mem, RepairItem);
    list->items[0].change = CHANGE_ATTEMPTS;
    list->items_count = 1;
    shape_pack(&AttemptList_shape, &result, mem, &list->items[0].payload);
    return STATUS_OK;
}

void end_reports_start(Agent *agent)
{
    rpc_handle(agent->rpc, MESSAGE_RETELL, &Nothing_shape, &RepairList_shape, on_repair_query, agent);
    loop_spawn(agent->loop, "end-reports", end_reports_main, agent);
}
