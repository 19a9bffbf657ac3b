/* The isolated agent: the second survival rule of XenServer's HA design. If no leader answers, nobody holds the
 * lock and all members see each other, the members may go on. The agent asks every controller that it knows, which
 * includes all voters, and the other members of its partial view, whether they know a lock holder. If all of them
 * answer that they know none, its lease is extended, counted from when the oldest of these requests was sent.
 *
 * Why this is safe: a lock is won with the votes of a majority of the voters. Each voter had granted nothing when it
 * answered, so any lock is won after the oldest request was sent, and its winner treats no member as lost for a
 * entire lease after that. This rests on the voters alone, which the controllers name: a voter that the agent does
 * not know has not answered, and the poll fails. The members of the view only make the agent stop more often. */
#include <string.h>
#include <talloc.h>

#include "tasks.h"

/* One poll of the known members. Reference counted: freed by the last of its users, which are the poll itself and one
 * task for each request. */
typedef struct Poll {
    Agent *agent;
    size_t references, pending;
    Signal answer_arrived;
    bool none_known;                   /* Every member asked so far has answered that it knows no holder */
    uint64_t answered[VOTERS_MAX * 4]; /* The disks of the controllers that have answered so */
    size_t answered_count;
    uint64_t voters[VOTERS_MAX]; /* The disks of the voters, as a controller named them */
    size_t voter_count;          /* 0: no controller has named them */
} Poll;

/* The request to one member. */
typedef struct PollRequest {
    Poll *poll;
    uint64_t disk;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
} PollRequest;

static void poll_release(Poll *poll)
{
    if (--poll->references == 0)
        talloc_free(poll);
}

/* Records the voters that a controller names; the poll fails if two controllers name different ones. */
static void voters_record(Poll *poll, const KnowAnswer *answer)
{
    if (answer->voters_count == 0 || answer->voters_count > VOTERS_MAX)
        return;
    const bool answered_before = poll->voter_count > 0;
    if (answered_before && poll->voter_count != answer->voters_count)
        poll->none_known = false;
    poll->voter_count = answer->voters_count;
    for (size_t i = 0; i < answer->voters_count; i++) {
        if (answered_before && poll->voters[i] != answer->voters[i].disk)
            poll->none_known = false;
        poll->voters[i] = answer->voters[i].disk;
    }
}

static void poll_request_main(void *arg)
{
    PollRequest *request = arg;
    Poll *poll = request->poll;
    Agent *agent = poll->agent;
    const KnowAsk ask = {0};
    KnowAnswer answer = {0};
    const Status status =
        rpc_call_peer(agent->rpc, request, &(RpcTarget){request->address, request->peer, NULL}, MESSAGE_KNOW,
                      &KnowAsk_shape, &ask, REQUEST_TIMEOUT_MS, &KnowAnswer_shape, &answer);
    if (status != STATUS_OK || answer.knows || answer.term > agent->lease.term) {
        poll->none_known = false;
    } else if (request->disk != 0) {
        if (poll->answered_count < sizeof(poll->answered) / sizeof(poll->answered[0]))
            poll->answered[poll->answered_count++] = request->disk;
        voters_record(poll, &answer);
    }
    poll->pending--;
    signal_raise(agent->loop, &poll->answer_arrived);
    poll_release(poll);
    talloc_free(request);
}

/* True if every voter is among the controllers that know no holder. */
static bool voters_answered(const Poll *poll)
{
    for (size_t s = 0; s < poll->voter_count; s++) {
        bool found = false;
        for (size_t i = 0; i < poll->answered_count && !found; i++)
            found = poll->answered[i] == poll->voters[s];
        if (!found)
            return false;
    }
    return poll->voter_count > 0;
}

/* Suspends the coroutine. Asks all controllers, or all other known members, and records their answers. */
static void poll_members(Poll *poll, bool controllers)
{
    Agent *agent = poll->agent;
    const MemberTable *table = members_table(agent->members);
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        /* A member that shut down cleanly is excluded: it runs nothing and has no lease. */
        if (record->leaving || (record->role == ROLE_CONTROLLER) != controllers ||
            strcmp(record->id, members_self(agent->members)->id) == 0)
            continue;
        PollRequest *request = talloc_zero(agent, PollRequest);
        request->poll = poll;
        request->disk = controllers ? record->disk : 0;
        strncpy(request->address, record->address, sizeof(request->address) - 1);
        request->peer = member_peer(record);
        poll->references++;
        poll->pending++;
        loop_spawn(agent->loop, "isolated-poll", poll_request_main, request);
    }
    while (poll->pending > 0)
        signal_wait(agent->loop, &poll->answer_arrived, INT64_MAX);
}

/* Suspends the coroutine. Polls the known members; if none knows a holder, the lease is extended, counted from the
 * beginning of the poll. */
static void poll_run(Agent *agent)
{
    Poll *poll = talloc_zero(agent, Poll);
    poll->agent = agent;
    poll->references = 1;
    poll->none_known = true;
    const int64_t sent_ms = loop_now_ms(agent->loop);
    /* The controllers come first: if the holder is lost, one of them does not answer, which makes the requests to all
     * other members unnecessary. */
    poll_members(poll, true);
    if (poll->none_known && voters_answered(poll))
        poll_members(poll, false);
    const int64_t lease_ms = agent->settings->cluster_settings.lease_ms;
    /* A lease that has expired meanwhile is not revived: its attempts are being stopped. */
    if (poll->none_known && voters_answered(poll) && lease_runs(&agent->lease, loop_now_ms(agent->loop))) {
        if (!agent->isolated)
            log_event(agent->recorder, LOG_AGENT_ISOLATED, loop_now_ms(agent->loop), &(LogFields){0});
        agent->isolated = true;
        if (sent_ms + lease_ms > agent->lease.until_ms)
            agent->lease.until_ms = sent_ms + lease_ms;
    }
    poll_release(poll);
}

static void isolated_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        const int64_t left_ms = lease_left_ms(&agent->lease, loop_now_ms(agent->loop));
        const int64_t late_ms = agent->settings->cluster_settings.lease_ms / 2;
        /* The second half of the lease: several heartbeats have not been answered. */
        if (left_ms > 0 && left_ms < late_ms)
            poll_run(agent);
        loop_sleep(agent->loop, left_ms > late_ms ? left_ms - late_ms : HEARTBEAT_MS / 5);
    }
}

static Status on_know(void *arg, void *mem, const void *request, void *answer)
{
    Agent *agent = arg;
    KnowAnswer *out = answer;
    (void)mem;
    (void)request;
    /* This agent's heartbeats are answered, so there is a holder. */
    out->knows =
        agent->heartbeat_answered_ms != 0 && loop_now_ms(agent->loop) - agent->heartbeat_answered_ms < 2 * HEARTBEAT_MS;
    out->term = agent->lease.term;
    return STATUS_OK;
}

void isolated_start(Agent *agent)
{
    rpc_handle(agent->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, agent);
    loop_spawn(agent->loop, "isolated", isolated_main, agent);
}
