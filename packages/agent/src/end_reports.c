/* Reports to the leader how attempts ended, again until it has committed that; and answers a leader that repairs its
 * state table (see controller/src/repair.c) with the attempts that run and those that finished well. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "attempts.h"
#include "heartbeat.h"
#include "tasks.h"

static AttemptUpdate update_of(const Agent *agent, void *mem, const Attempt *attempt)
{
    const bool over = attempt->phase >= PHASE_ENDED;
    return (AttemptUpdate){.job = talloc_strdup(mem, attempt->order.job),
                           .task = attempt->order.task,
                           .attempt = attempt->order.attempt,
                           .worker = agent->worker_name,
                           .word = over ? attempt->word : ATTEMPT_RUNNING,
                           .text = talloc_strdup(mem, attempt->text),
                           .saved = talloc_strdup(mem, attempt->saved),
                           .ran_ms = over                    ? attempt->ran_ms
                                     : attempt->runs_ms != 0 ? loop_now_ms(agent->loop) - attempt->runs_ms
                                                             : 0};
}

/* Fills in the ends that the leader has not committed yet, the oldest first; returns how many. */
static size_t ends_gather(Agent *agent, void *mem, NotifyAsk *ask)
{
    const size_t count = agent->attempts.ended.count < TELLING_MOST ? agent->attempts.ended.count : TELLING_MOST;
    ask->updates = talloc_zero_array(mem, AttemptUpdate, (unsigned)count);
    for (const Attempt *attempt = agent->attempts.ended.first; attempt != NULL && ask->updates_count < count;
         attempt = attempt->next)
        ask->updates[ask->updates_count++] = update_of(agent, mem, attempt);
    return ask->updates_count;
}

/* The leader has answered: the ends in the report are committed. */
static void ends_committed(Agent *agent, const NotifyAsk *ask)
{
    for (size_t i = 0; i < ask->updates_count; i++) {
        const AttemptUpdate *update = &ask->updates[i];
        Attempt *attempt = attempt_find(agent, update->job, update->task, update->attempt);
        if (attempt != NULL && attempt->phase == PHASE_ENDED && attempt->word == update->word)
            attempt_known(agent, attempt);
    }
    /* a worker that has shut down is taken off the fleet once no end of its attempts is open: the next heartbeat says
     * so */
    if (agent->worker_leaving && !agent->worker_live && agent->attempts.lives.count + agent->attempts.ended.count == 0)
        heartbeat_now(agent);
}

/* A report in flight. Freed by the last of its users: the task that asks and the one that waits for it. */
typedef struct EndReport {
    Agent *agent;
    size_t users;
    NotifyAsk ask;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
    bool over;
    Status status;
} EndReport;

static void end_report_leave(EndReport *report)
{
    if (--report->users == 0)
        talloc_free(report);
}

static void end_report_main(void *arg)
{
    EndReport *report = arg;
    Agent *agent = report->agent;
    NotifyAnswer answer = {0};
    report->status = rpc_ask_peer(agent->rpc, report, &(RpcTarget){report->address, report->peer, NULL}, MESSAGE_NOTIFY,
                                  &NotifyAsk_shape, &report->ask, SUBMIT_TIMEOUT_MS, &NotifyAnswer_shape, &answer);
    if (report->status == STATUS_OK)
        ends_committed(agent, &report->ask);
    report->over = true;
    signal_raise(agent->loop, &agent->to_report);
    end_report_leave(report);
}

/* Waits until the report is answered, or another leader is known, so that a lost leader does not cost the whole
 * time-out. */
static Status end_report_send(Agent *agent, EndReport *report)
{
    report->ask.number = ++agent->number;
    report->users++;
    loop_spawn(agent->loop, "telling", end_report_main, report);
    while (!report->over) {
        char address[ADDRESS_MAX];
        if (leader_address(agent, address) && strcmp(address, report->address) != 0)
            return STATUS_NOT_LEADER;
        /* the signal is raised by heartbeat.c too, when it finds another leader */
        signal_wait(agent->loop, &agent->to_report, loop_now_ms(agent->loop) + HEARTBEAT_MS);
    }
    return report->status;
}

static void end_reports_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        EndReport *report = talloc_zero(agent, EndReport);
        report->agent = agent;
        report->users = 1;
        report->ask = (NotifyAsk){.agent = agent->worker_name, .incarnation = agent->incarnation};
        if (ends_gather(agent, report, &report->ask) == 0) {
            end_report_leave(report);
            signal_wait(agent->loop, &agent->to_report, loop_now_ms(agent->loop) + HEARTBEAT_MS * 4);
            continue;
        }
        char old[ADDRESS_MAX];
        Status status = STATUS_NO_LEADER;
        report->peer = members_leader_peer(agent->members);
        if (leader_address(agent, report->address))
            status = end_report_send(agent, report);
        snprintf(old, sizeof(old), "%s", report->address);
        end_report_leave(report);
        if (status == STATUS_OK)
            continue;
        /* tried again until it is committed; with another leader at once */
        char address[ADDRESS_MAX];
        if (!leader_address(agent, address) || strcmp(address, old) == 0)
            loop_sleep(agent->loop, HEARTBEAT_MS / 5);
    }
}

static Status on_retell(void *arg, void *mem, const void *question, void *answer)
{
    Agent *agent = arg;
    RepairList *list = answer;
    (void)question;
    const Attempts *attempts = &agent->attempts;
    const size_t most = attempts->lives.count + attempts->ended.count + attempts->known.count;
    AttemptList kept = {talloc_zero_array(mem, AttemptUpdate, (unsigned)most), 0};
    for (const Attempt *attempt = attempts->lives.first; attempt != NULL; attempt = attempt->next)
        if (attempt->phase != PHASE_OFFERED)
            kept.updates[kept.updates_count++] = update_of(agent, mem, attempt);
    const Attempt *firsts[] = {attempts->ended.first, attempts->known.first};
    for (size_t i = 0; i < sizeof(firsts) / sizeof(firsts[0]); i++)
        for (const Attempt *attempt = firsts[i]; attempt != NULL; attempt = attempt->next)
            if (attempt->word == ATTEMPT_DONE)
                kept.updates[kept.updates_count++] = update_of(agent, mem, attempt);
    if (kept.updates_count == 0)
        return STATUS_OK;
    list->items = talloc_zero(mem, RepairItem);
    list->items[0].change = CHANGE_ATTEMPTS;
    list->items_count = 1;
    shape_pack(&AttemptList_shape, &kept, mem, &list->items[0].payload);
    return STATUS_OK;
}

void end_reports_start(Agent *agent)
{
    rpc_handle(agent->rpc, MESSAGE_RETELL, &Nothing_shape, &RepairList_shape, on_retell, agent);
    loop_spawn(agent->loop, "tell", end_reports_main, agent);
}
