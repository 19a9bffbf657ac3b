/* Heartbeats: each reports the agent's state to the leader, renews the agent's lease, and requests orders. The leader
 * delays its answer until there are newer orders; what must be reported immediately goes in another heartbeat
 * meanwhile. The lease counts from when the heartbeat was sent, so that it expires here before it expires by the
 * leader's count (XenServer's HA design: a holder counts from sending, a granter from answering). */
#include "heartbeat.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "attempts.h"
#include "orders.h"

/* A heartbeat in flight. Its task frees it when it has been answered or has failed. */
typedef struct Heartbeat {
    Agent *agent;
    uint64_t number;
    uint64_t description_number; /* Which description of the worker it carries */
    int64_t sent_ms;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
    uint64_t *progress_versions; /* The progress_version of each attempt whose checkpoint it carries */
} Heartbeat;

bool leader_address(Agent *agent, char address[ADDRESS_MAX])
{
    const char *leader = members_leader_address(agent->members);
    if (leader == NULL)
        return false;
    snprintf(address, ADDRESS_MAX, "%s", leader);
    return true;
}

void heartbeat_request(Agent *agent)
{
    agent->heartbeat_needed = true;
    signal_raise(agent->loop, members_leader_signal(agent->members));
}

/* Fills in all attempts that may run or whose end is not committed, and the checkpoints that the leader does not
 * have. */
static void heartbeat_fill_attempts(Agent *agent, Heartbeat *heartbeat, HeartbeatAsk *ask)
{
    const Attempts *attempts = &agent->attempts;
    const int64_t now_ms = loop_now_ms(agent->loop);
    ask->attempts = talloc_array(heartbeat, AttemptId, (unsigned)(attempts->live.count + attempts->ended.count));
    ask->saved = talloc_array(heartbeat, AttemptSaved, (unsigned)attempts->live.count);
    heartbeat->progress_versions = talloc_array(heartbeat, uint64_t, (unsigned)attempts->live.count);
    for (const Attempt *attempt = attempts->live.first; attempt != NULL; attempt = attempt->next) {
        ask->attempts[ask->attempts_count++] = attempt_id(heartbeat, attempt);
        if (attempt->progress_version == attempt->leader_version)
            continue;
        heartbeat->progress_versions[ask->saved_count] = attempt->progress_version;
        ask->saved[ask->saved_count++] =
            (AttemptSaved){talloc_strdup(heartbeat, attempt->order.job),
                           attempt->order.task,
                           attempt->order.attempt,
                           talloc_strdup(heartbeat, attempt->saved),
                           attempt->running_since_ms != 0 ? now_ms - attempt->running_since_ms : 0,
                           attempt->percent,
                           attempt->percent_ms};
    }
    for (const Attempt *attempt = attempts->ended.first; attempt != NULL; attempt = attempt->next)
        ask->attempts[ask->attempts_count++] = attempt_id(heartbeat, attempt);
}

static void heartbeat_fill(Agent *agent, Heartbeat *heartbeat, HeartbeatAsk *ask)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    /* If the wall clock was set back, this incarnation is older than the previous one, which other members remember and
     * have reported (member table). Once a heartbeat was answered the incarnation stays: attempts are bound to it. */
    if (agent->heartbeat_answered_ms == 0)
        agent->incarnation = members_self(agent->members)->incarnation;
    *ask = (HeartbeatAsk){.agent = agent->worker_name,
                          .incarnation = agent->incarnation,
                          .number = heartbeat->number,
                          .worker_live = agent->worker_live,
                          .leaving = agent->worker_leaving || agent->leaving,
                          .settled = agent->settled,
                          .others = agent->others,
                          .leave_ms = agent->leave_until_ms > now_ms ? agent->leave_until_ms - now_ms : 0,
                          .have = agent->have,
                          .have_term = agent->have_term,
                          .wait_ms = HEARTBEAT_WAIT_MS};
    shape_copy(&Worker_shape, &agent->worker, heartbeat, &ask->worker);
    heartbeat->description_number = agent->description_number;
    heartbeat_fill_attempts(agent, heartbeat, ask);
}

/* Records that the leader of this term has the checkpoints that the heartbeat carried; a leader of another term has
 * only these. */
static void checkpoints_acknowledged(Agent *agent, const Heartbeat *heartbeat, const HeartbeatAsk *ask, uint64_t term)
{
    if (term != agent->saved_term) {
        agent->saved_term = term;
        for (Attempt *attempt = agent->attempts.live.first; attempt != NULL; attempt = attempt->next)
            attempt->leader_version = 0;
    }
    for (size_t i = 0; i < ask->saved_count; i++) {
        const AttemptSaved *saved = &ask->saved[i];
        Attempt *attempt = attempt_find(agent, saved->job, saved->task, saved->attempt);
        if (attempt != NULL && heartbeat->progress_versions[i] > attempt->leader_version)
            attempt->leader_version = heartbeat->progress_versions[i];
    }
}

static void answer_apply(Agent *agent, const Heartbeat *heartbeat, const HeartbeatAsk *ask,
                         const HeartbeatAnswer *answer)
{
    if (!lease_renewed(&agent->lease, answer->term, heartbeat->sent_ms, answer->lease_ms)) {
        recorder_write(agent->recorder, RECORDER_NOTE, loop_now_ms(agent->loop),
                       "a heartbeat was answered under old term %" PRIu64, term_counter(answer->term));
        return;
    }
    agent->isolated = false;
    agent->heartbeat_answered_ms = loop_now_ms(agent->loop);
    checkpoints_acknowledged(agent, heartbeat, ask, answer->term);
    if (answer->term > agent->term_traced) {
        agent->term_traced = answer->term;
        trace_record(agent->trace, TRACE_LEARNT, "", "view:%" PRIu64, term_counter(answer->term));
    }
    /* Answers may arrive in another order than the heartbeats were sent. */
    if (answer->orders &&
        (answer->term > agent->have_term || (answer->term == agent->have_term && answer->version > agent->have))) {
        HeartbeatAnswer orders = *answer;
        if (heartbeat->description_number != agent->description_number) {
            /* They were given to a worker of the earlier description. */
            orders.starts_count = 0;
            orders.starts_cut = true;
        }
        /* What was cut is asked for again; with version 0 nothing was ever ordered. */
        agent->have = orders.starts_cut && answer->version > 0 ? answer->version - 1 : answer->version;
        agent->have_term = answer->term;
        orders_apply(agent, &orders, heartbeat->sent_ms);
    }
}

static void heartbeat_send_main(void *arg)
{
    Heartbeat *heartbeat = arg;
    Agent *agent = heartbeat->agent;
    HeartbeatAsk ask;
    HeartbeatAnswer answer = {0};
    heartbeat->sent_ms = loop_now_ms(agent->loop);
    heartbeat_fill(agent, heartbeat, &ask);
    const RpcTarget target = {heartbeat->address, heartbeat->peer, NULL};
    const Status status = rpc_call_peer(agent->rpc, heartbeat, &target, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &ask,
                                        HEARTBEAT_WAIT_MS + REQUEST_TIMEOUT_MS, &HeartbeatAnswer_shape, &answer);
    const int64_t now_ms = loop_now_ms(agent->loop);
    if (status == STATUS_OK)
        members_found_leader(agent->members);
    else
        members_seek_leader(agent->members);
    if (status == STATUS_OK)
        answer_apply(agent, heartbeat, &ask, &answer);
    else if (status == STATUS_DUPLICATE_WORKER)
        recorder_write(agent->recorder, RECORDER_ALERT, now_ms, "another agent sends heartbeats for worker %s",
                       agent->worker_name);
    agent->heartbeats--;
    if (agent->heartbeat == heartbeat) {
        agent->heartbeat = NULL;
        if (status != STATUS_OK)
            agent->heartbeat_due_ms = now_ms + HEARTBEAT_MS / 5;
        else if (answer.orders || now_ms - heartbeat->sent_ms >= HEARTBEAT_WAIT_MS)
            agent->heartbeat_due_ms = now_ms;
        else
            agent->heartbeat_due_ms = heartbeat->sent_ms + HEARTBEAT_MS; /* The answer was not delayed */
        signal_raise(agent->loop, members_leader_signal(agent->members));
    }
    talloc_free(heartbeat);
}

static void heartbeat_send(Agent *agent, const char *address)
{
    Heartbeat *heartbeat = talloc_zero(agent, Heartbeat);
    heartbeat->agent = agent;
    heartbeat->number = ++agent->number;
    heartbeat->sent_ms = loop_now_ms(agent->loop);
    snprintf(heartbeat->address, sizeof(heartbeat->address), "%s", address);
    heartbeat->peer = members_leader_peer(agent->members);
    agent->heartbeat = heartbeat;
    agent->heartbeats++;
    agent->heartbeat_needed = false;
    loop_spawn(agent->loop, "beat", heartbeat_send_main, heartbeat);
}

/* True if a heartbeat must be sent now; otherwise *due_ms is when to check again. */
static bool heartbeat_due(const Agent *agent, const char *address, int64_t now_ms, int64_t *due_ms)
{
    *due_ms = now_ms + HEARTBEAT_MS;
    if (agent->heartbeats >= HEARTBEATS_IN_FLIGHT_MAX)
        return false;
    if (agent->heartbeat_needed || (agent->heartbeat != NULL && strcmp(agent->heartbeat->address, address) != 0))
        return true;
    /* If a heartbeat is not answered, the next is sent before its timeout. */
    *due_ms = agent->heartbeat == NULL ? agent->heartbeat_due_ms
                                       : agent->heartbeat->sent_ms + HEARTBEAT_WAIT_MS + REQUEST_TIMEOUT_MS / 2;
    return now_ms >= *due_ms;
}

static void heartbeat_main(void *arg)
{
    Agent *agent = arg;
    char last[ADDRESS_MAX] = "";
    while (!loop_stopping(agent->loop)) {
        const int64_t now_ms = loop_now_ms(agent->loop);
        char address[ADDRESS_MAX];
        int64_t due_ms = now_ms + HEARTBEAT_MS;
        const bool known = leader_address(agent, address);
        if (known && strcmp(address, last) != 0) {
            snprintf(last, sizeof(last), "%s", address);
            /* Ends that the last leader has not answered are reported to this one. */
            signal_raise(agent->loop, &agent->report_signal);
        }
        if (known && heartbeat_due(agent, address, now_ms, &due_ms))
            heartbeat_send(agent, address);
        else
            signal_wait(agent->loop, members_leader_signal(agent->members), due_ms);
    }
}

void heartbeat_start(Agent *agent)
{
    loop_spawn(agent->loop, "beats", heartbeat_main, agent);
}
