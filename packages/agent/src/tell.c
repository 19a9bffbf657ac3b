/* Reports to the leader how attempts ended, again and again until it has committed that; and answers a leader that
 * rebuilds its state table (repair) with all that the agent still knows. */
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

static size_t update_gather(Agent *agent, void *mem, NotifyAsk *ask)
{
    const size_t count = agent->attempts.ended.count < TELLING_MOST ? agent->attempts.ended.count : TELLING_MOST;
    ask->updates = talloc_zero_array(mem, AttemptUpdate, (unsigned)count);
    for (const Attempt *attempt = agent->attempts.ended.first; attempt != NULL && ask->updates_count < count;
         attempt = attempt->next)
        ask->updates[ask->updates_count++] = update_of(agent, mem, attempt);
    return ask->updates_count;
}

static void reported(Agent *agent, const NotifyAsk *ask)
{
    for (size_t i = 0; i < ask->updates_count; i++) {
        const AttemptUpdate *updates = &ask->updates[i];
        Attempt *attempt = attempt_find(agent, updates->job, updates->task, updates->attempt);
        if (attempt != NULL && attempt->phase == PHASE_ENDED && attempt->word == updates->word)
            attempt_known(agent, attempt);
    }
    /* a worker that has shut down is released once none of its attempts is open: the leader must hear that at once */
    if (agent->worker_leaving && !agent->worker_live && agent->attempts.lives.count + agent->attempts.ended.count == 0)
        heartbeat_now(agent);
}

/* A report in flight. Freed by the last of its users: the task that asks and the one that waits for it. */
typedef struct Telling {
    Agent *agent;
    size_t users;
    NotifyAsk ask;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
    bool over;
    Status status;
} Telling;

static void telling_leave(Telling *telling)
{
    if (--telling->users == 0)
        talloc_free(telling);
}

static void ask_main(void *arg)
{
    Telling *telling = arg;
    Agent *agent = telling->agent;
    NotifyAnswer answer = {0};
    telling->status =
        rpc_ask_peer(agent->rpc, telling, &(RpcTarget){telling->address, telling->peer, NULL}, MESSAGE_NOTIFY,
                     &NotifyAsk_shape, &telling->ask, SUBMIT_TIMEOUT_MS, &NotifyAnswer_shape, &answer);
    if (telling->status == STATUS_OK)
        reported(agent, &telling->ask);
    telling->over = true;
    signal_raise(agent->loop, &agent->to_notify);
    telling_leave(telling);
}

/* Waits until it is answered or another leader is known: one that has stopped answering is not waited for until the
 * time-out. */
static Status notify_once(Agent *agent, Telling *telling)
{
    telling->ask.number = ++agent->number;
    telling->users++;
    loop_spawn(agent->loop, "telling", ask_main, telling);
    while (!telling->over) {
        char address[ADDRESS_MAX];
        if (leader_address(agent, address) && strcmp(address, telling->address) != 0)
            return STATUS_NOT_LEADER;
        /* raised by heartbeat.c too, when it finds another leader */
        signal_wait(agent->loop, &agent->to_notify, loop_now_ms(agent->loop) + HEARTBEAT_MS);
    }
    return telling->status;
}

static void notify_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        Telling *telling = talloc_zero(agent, Telling);
        telling->agent = agent;
        telling->users = 1;
        telling->ask = (NotifyAsk){.agent = agent->worker_name, .incarnation = agent->incarnation};
        if (update_gather(agent, telling, &telling->ask) == 0) {
            telling_leave(telling);
            signal_wait(agent->loop, &agent->to_notify, loop_now_ms(agent->loop) + HEARTBEAT_MS * 4);
            continue;
        }
        char old[ADDRESS_MAX];
        Status status = STATUS_NO_LEADER;
        telling->peer = members_leader_peer(agent->members);
        if (leader_address(agent, telling->address))
            status = notify_once(agent, telling);
        snprintf(old, sizeof(old), "%s", telling->address);
        telling_leave(telling);
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
    AttemptList reported = {talloc_zero_array(mem, AttemptUpdate, (unsigned)most), 0};
    for (const Attempt *attempt = attempts->lives.first; attempt != NULL; attempt = attempt->next)
        if (attempt->phase != PHASE_OFFERED)
            reported.updates[reported.updates_count++] = update_of(agent, mem, attempt);
    const Attempt *firsts[] = {attempts->ended.first, attempts->known.first};
    for (size_t i = 0; i < sizeof(firsts) / sizeof(firsts[0]); i++)
        for (const Attempt *attempt = firsts[i]; attempt != NULL; attempt = attempt->next)
            if (attempt->word == ATTEMPT_DONE)
                reported.updates[reported.updates_count++] = update_of(agent, mem, attempt);
    if (reported.updates_count == 0)
        return STATUS_OK;
    list->items = talloc_zero(mem, RepairItem);
    list->items[0].change = CHANGE_ATTEMPTS;
    list->items_count = 1;
    shape_pack(&AttemptList_shape, &reported, mem, &list->items[0].payload);
    return STATUS_OK;
}

void notify_start(Agent *agent)
{
    rpc_handle(agent->rpc, MESSAGE_RETELL, &Nothing_shape, &RepairList_shape, on_retell, agent);
    loop_spawn(agent->loop, "tell", notify_main, agent);
}
