/* The agent's beats: what the leader knows of it, how long its lease runs, and the
 * question for orders, in one. The leader holds a beat back until there are newer
 * orders; what does not wait goes in another meanwhile. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* One on its way; freed when it has come to its end. */
typedef struct Beat {
    Agent *agent;
    uint64_t number;
    int64_t sent_ms;
    char address[ADDRESS_MAX];
    PeerLife peer;
    uint64_t *turns; /* of each of the told rounds' saved */
} Beat;

bool leader_address(Agent *agent, char address[ADDRESS_MAX])
{
    const char *leader = members_leader_address(agent->members);
    if (leader == NULL)
        return false;
    snprintf(address, ADDRESS_MAX, "%s", leader);
    return true;
}

void beat_now(Agent *agent)
{
    agent->beat_now = true;
    signal_raise(agent->loop, members_leader_signal(agent->members));
}

static RoundId id_of(void *mem, const Round *round)
{
    return (RoundId){talloc_strdup(mem, round->order.job), round->order.task, round->order.round};
}

static void rounds_tell(Agent *agent, Beat *beat, BeatAsk *ask)
{
    const Rounds *rounds = &agent->rounds;
    const int64_t now_ms = loop_now_ms(agent->loop);
    ask->rounds = talloc_array(beat, RoundId, (unsigned)(rounds->lives.count + rounds->ended.count));
    ask->saved = talloc_array(beat, RoundSaved, (unsigned)rounds->lives.count);
    beat->turns = talloc_array(beat, uint64_t, (unsigned)rounds->lives.count);
    for (const Round *round = rounds->lives.first; round != NULL; round = round->next) {
        ask->rounds[ask->rounds_count++] = id_of(beat, round);
        if (round->saved_turn == round->told_turn)
            continue;
        beat->turns[ask->saved_count] = round->saved_turn;
        ask->saved[ask->saved_count++] = (RoundSaved){talloc_strdup(beat, round->order.job),
                                                      round->order.task,
                                                      round->order.round,
                                                      talloc_strdup(beat, round->saved),
                                                      round->runs_ms != 0 ? now_ms - round->runs_ms : 0,
                                                      round->percent,
                                                      round->percent_ms};
    }
    for (const Round *round = rounds->ended.first; round != NULL; round = round->next)
        ask->rounds[ask->rounds_count++] = id_of(beat, round);
}

static void ask_fill(Agent *agent, Beat *beat, BeatAsk *ask)
{
    const int64_t now_ms = loop_now_ms(agent->loop);
    *ask = (BeatAsk){.agent = agent->worker_name,
                     .incarnation = agent->incarnation,
                     .number = beat->number,
                     .worker_live = agent->worker_live,
                     .leaving = agent->worker_leaving || agent->leaving,
                     .settled = agent->settled,
                     .others = agent->others,
                     .leave_ms = agent->leave_until_ms > now_ms ? agent->leave_until_ms - now_ms : 0,
                     .have = agent->have,
                     .have_epoch = agent->have_epoch,
                     .wait_ms = BEAT_WAIT_MS};
    shape_copy(&Worker_shape, &agent->worker, beat, &ask->worker);
    rounds_tell(agent, beat, ask);
}

/* The leader of this epoch has what the beat told. */
static void saved_known(Agent *agent, const Beat *beat, const BeatAsk *ask, uint64_t epoch)
{
    if (epoch != agent->saved_epoch) {
        agent->saved_epoch = epoch;
        for (Round *round = agent->rounds.lives.first; round != NULL; round = round->next)
            round->told_turn = 0;
    }
    for (size_t i = 0; i < ask->saved_count; i++) {
        const RoundSaved *saved = &ask->saved[i];
        Round *round = round_find(agent, saved->job, saved->task, saved->round);
        if (round != NULL && beat->turns[i] > round->told_turn)
            round->told_turn = beat->turns[i];
    }
}

static void answer_take(Agent *agent, const Beat *beat, const BeatAsk *ask, const BeatAnswer *answer)
{
    if (!lease_answered(&agent->lease, answer->epoch, beat->sent_ms, answer->lease_ms)) {
        recorder_write(agent->recorder, RECORDER_NOTE, loop_now_ms(agent->loop),
                       "a beat was answered under old epoch %" PRIu64, epoch_counter(answer->epoch));
        return;
    }
    agent->alone = false;
    agent->beat_ms = loop_now_ms(agent->loop);
    saved_known(agent, beat, ask, answer->epoch);
    if (answer->epoch > agent->epoch_told) {
        agent->epoch_told = answer->epoch;
        trace_say(agent->trace, TRACE_LEARNT, "", "view:%" PRIu64, epoch_counter(answer->epoch));
    }
    /* of two answers the later sent may come first */
    if (answer->orders &&
        (answer->epoch > agent->have_epoch || (answer->epoch == agent->have_epoch && answer->version > agent->have))) {
        agent->have = answer->version;
        agent->have_epoch = answer->epoch;
        orders_take(agent, answer, beat->sent_ms);
    }
}

static void ask_main(void *arg)
{
    Beat *beat = arg;
    Agent *agent = beat->agent;
    BeatAsk ask;
    BeatAnswer answer = {0};
    beat->sent_ms = loop_now_ms(agent->loop);
    ask_fill(agent, beat, &ask);
    const RpcTarget target = {beat->address, beat->peer, NULL};
    const Status status = rpc_ask_peer(agent->rpc, beat, &target, MESSAGE_BEAT, &BeatAsk_shape, &ask,
                                       BEAT_WAIT_MS + ASK_TIMEOUT_MS, &BeatAnswer_shape, &answer);
    const int64_t now_ms = loop_now_ms(agent->loop);
    members_rest(agent->members, status == STATUS_OK ? now_ms + HELLO_REST_MS : 0);
    if (status == STATUS_OK)
        answer_take(agent, beat, &ask, &answer);
    else if (status == STATUS_DUPLICATE_WORKER)
        recorder_write(agent->recorder, RECORDER_ALERT, now_ms, "another agent beats for worker %s",
                       agent->worker_name);
    agent->beats--;
    if (agent->beat == beat) {
        agent->beat = NULL;
        if (status != STATUS_OK)
            agent->beat_due_ms = now_ms + BEAT_MS / 5;
        else if (answer.orders || now_ms - beat->sent_ms >= BEAT_WAIT_MS)
            agent->beat_due_ms = now_ms;
        else
            agent->beat_due_ms = beat->sent_ms + BEAT_MS; /* it was not held back */
        signal_raise(agent->loop, members_leader_signal(agent->members));
    }
    talloc_free(beat);
}

static void beat_send(Agent *agent, const char *address)
{
    Beat *beat = talloc_zero(agent, Beat);
    beat->agent = agent;
    beat->number = ++agent->number;
    beat->sent_ms = loop_now_ms(agent->loop);
    snprintf(beat->address, sizeof(beat->address), "%s", address);
    beat->peer = members_leader_peer(agent->members);
    agent->beat = beat;
    agent->beats++;
    agent->beat_now = false;
    loop_spawn(agent->loop, "beat", ask_main, beat);
}

/* Whether one is to be sent now; else when. */
static bool beat_due(const Agent *agent, const char *address, int64_t now_ms, int64_t *due_ms)
{
    *due_ms = now_ms + BEAT_MS;
    if (agent->beats >= BEATS_MOST)
        return false;
    if (agent->beat_now || (agent->beat != NULL && strcmp(agent->beat->address, address) != 0))
        return true;
    /* one that goes unanswered is not waited for to its end */
    *due_ms = agent->beat == NULL ? agent->beat_due_ms : agent->beat->sent_ms + BEAT_WAIT_MS + ASK_TIMEOUT_MS / 2;
    return now_ms >= *due_ms;
}

static void beat_main(void *arg)
{
    Agent *agent = arg;
    char last[ADDRESS_MAX] = "";
    while (!loop_stopping(agent->loop)) {
        const int64_t now_ms = loop_now_ms(agent->loop);
        char address[ADDRESS_MAX];
        int64_t due_ms = now_ms + BEAT_MS;
        const bool known = leader_address(agent, address);
        if (known && strcmp(address, last) != 0) {
            snprintf(last, sizeof(last), "%s", address);
            signal_raise(agent->loop, &agent->to_tell); /* what the last one has not answered is told to this one */
        }
        if (known && beat_due(agent, address, now_ms, &due_ms))
            beat_send(agent, address);
        else
            signal_wait(agent->loop, members_leader_signal(agent->members), due_ms);
    }
}

void beat_start(Agent *agent)
{
    loop_spawn(agent->loop, "beats", beat_main, agent);
}
