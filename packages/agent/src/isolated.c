/* The isolated agent: the second survival rule of the XenServer HA design. When no leader answers, nobody holds the
 * lock and all members see each other, members may go on. The agent asks every controller that it knows, all voters
 * included, and the other members of its partial view, whether they know a lock holder. When all have said no, its
 * lease runs on from the sending of the oldest of those questions.
 *
 * Why that is safe: a lock is won with the votes of a majority of the voters. Each voter had granted nothing when it
 * answered, so any lock is won later than the oldest question, and its winner treats no member as lost for a whole
 * lease after that. That rests on the voters alone, whom the controllers name: a voter that the agent does not know
 * has not answered, and the poll fails. The members of the view only make the agent stop more often. */
#include <string.h>
#include <talloc.h>

#include "tasks.h"

/* One poll of the members known. Freed by the last of its users: the poll itself and one task for each question. */
typedef struct Poll {
    Agent *agent;
    size_t users, pending;
    Signal ended;
    bool all;                          /* every member asked so far has answered that it knows no holder */
    uint64_t answered[VOTER_MOST * 4]; /* the disks of the controllers that have */
    size_t answered_count;
    uint64_t voters[VOTER_MOST]; /* the disks of the voters, as a controller named them */
    size_t voter_count;          /* 0: none has named them */
} Poll;

/* The question to one member. */
typedef struct PollQuestion {
    Poll *poll;
    uint64_t disk;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
} PollQuestion;

static void poll_leave(Poll *poll)
{
    if (--poll->users == 0)
        talloc_free(poll);
}

/* Takes the voters that a controller names; the poll fails where two controllers name different ones. */
static void voters_note(Poll *poll, const KnowAnswer *answer)
{
    if (answer->voters_count == 0 || answer->voters_count > VOTER_MOST)
        return;
    const bool answered_before = poll->voter_count > 0;
    if (answered_before && poll->voter_count != answer->voters_count)
        poll->all = false;
    poll->voter_count = answer->voters_count;
    for (size_t i = 0; i < answer->voters_count; i++) {
        if (answered_before && poll->voters[i] != answer->voters[i].disk)
            poll->all = false;
        poll->voters[i] = answer->voters[i].disk;
    }
}

static void poll_question_main(void *arg)
{
    PollQuestion *question = arg;
    Poll *poll = question->poll;
    Agent *agent = poll->agent;
    const KnowAsk ask = {0};
    KnowAnswer answer = {0};
    const Status status = rpc_ask_peer(agent->rpc, question, &(RpcTarget){question->address, question->peer, NULL},
                                       MESSAGE_KNOW, &KnowAsk_shape, &ask, ASK_TIMEOUT_MS, &KnowAnswer_shape, &answer);
    if (status != STATUS_OK || answer.knows || answer.term > agent->lease.term) {
        poll->all = false;
    } else if (question->disk != 0) {
        if (poll->answered_count < sizeof(poll->answered) / sizeof(poll->answered[0]))
            poll->answered[poll->answered_count++] = question->disk;
        voters_note(poll, &answer);
    }
    poll->pending--;
    signal_raise(agent->loop, &poll->ended);
    poll_leave(poll);
    talloc_free(question);
}

/* Whether every voter is among those that answered no. */
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

/* Waits. Asks all controllers, or the other members known, and takes their answers. */
static void poll_members(Poll *poll, bool controllers)
{
    Agent *agent = poll->agent;
    const MemberTable *table = members_table(agent->members);
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        /* one that shut down cleanly is excluded: it runs nothing and has no lease */
        if (record->leaving || (record->role == ROLE_CONTROLLER) != controllers ||
            strcmp(record->id, members_self(agent->members)->id) == 0)
            continue;
        PollQuestion *question = talloc_zero(agent, PollQuestion);
        question->poll = poll;
        question->disk = controllers ? record->disk : 0;
        strncpy(question->address, record->address, sizeof(question->address) - 1);
        question->peer = member_peer(record);
        poll->users++;
        poll->pending++;
        loop_spawn(agent->loop, "know", poll_question_main, question);
    }
    while (poll->pending > 0)
        signal_wait(agent->loop, &poll->ended, INT64_MAX);
}

/* Waits. Polls the members known; where every one knows no holder, the lease runs on from the beginning of the poll. */
static void poll_run(Agent *agent)
{
    Poll *poll = talloc_zero(agent, Poll);
    poll->agent = agent;
    poll->users = 1;
    poll->all = true;
    const int64_t sent_ms = loop_now_ms(agent->loop);
    /* the controllers first: where the holder is lost one of them does not answer, which spares the questions to all
     * others */
    poll_members(poll, true);
    if (poll->all && voters_answered(poll))
        poll_members(poll, false);
    const int64_t lease_ms = agent->settings->bounds.lease_ms;
    /* a lease that has lapsed meanwhile is not revived: its attempts are stopping */
    if (poll->all && voters_answered(poll) && lease_runs(&agent->lease, loop_now_ms(agent->loop))) {
        if (!agent->isolated)
            log_event(agent->recorder, LOG_AGENT_ISOLATED, loop_now_ms(agent->loop), &(LogFields){0});
        agent->isolated = true;
        if (sent_ms + lease_ms > agent->lease.until_ms)
            agent->lease.until_ms = sent_ms + lease_ms;
    }
    poll_leave(poll);
}

static void isolated_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        const int64_t left_ms = lease_left_ms(&agent->lease, loop_now_ms(agent->loop));
        const int64_t late_ms = agent->settings->bounds.lease_ms / 2;
        /* the second half of the lease: several heartbeats have gone unanswered */
        if (left_ms > 0 && left_ms < late_ms)
            poll_run(agent);
        loop_sleep(agent->loop, left_ms > late_ms ? left_ms - late_ms : HEARTBEAT_MS / 5);
    }
}

static Status on_know(void *arg, void *mem, const void *question, void *answer)
{
    Agent *agent = arg;
    KnowAnswer *out = answer;
    (void)mem;
    (void)question;
    /* this agent's heartbeats are answered: a holder lives */
    out->knows = agent->heartbeat_ms != 0 && loop_now_ms(agent->loop) - agent->heartbeat_ms < 2 * HEARTBEAT_MS;
    out->term = agent->lease.term;
    return STATUS_OK;
}

void isolated_start(Agent *agent)
{
    rpc_handle(agent->rpc, MESSAGE_KNOW, &KnowAsk_shape, &KnowAnswer_shape, on_know, agent);
    loop_spawn(agent->loop, "alone", isolated_main, agent);
}
