/* The isolated agent: the second survival rule of the XenServer HA design. When no leader answers, nobody holds the
 * lock and all members see each other, members may go on. The agent asks every member, all voters included, whether it
 * knows a lock holder. When all have said no, its lease runs on from the sending of the oldest of those questions.
 *
 * Why that is safe: a lock is won with the votes of a majority of the voters. Each voter had granted nothing when it
 * answered, so any lock is won later than the oldest question, and its winner treats no member as lost for a whole
 * lease after that. */
#include <string.h>
#include <talloc.h>

#include "tasks.h"

/* One poll of all members. Freed by the last of its users: the poll itself and one task for each question. */
typedef struct Asking {
    Agent *agent;
    size_t users, pending;
    Signal ended;
    bool all;                          /* every member asked so far has answered no */
    uint64_t answered[VOTER_MOST * 4]; /* the disks of the controllers that did */
    size_t answered_count;
    uint64_t voters[VOTER_MOST]; /* the disks of the voters, as a controller told them */
    size_t voter_count;          /* 0: none has told them */
} Asking;

typedef struct AskPart {
    Asking *asking;
    uint64_t disk;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
} AskPart;

static void asking_leave(Asking *asking)
{
    if (--asking->users == 0)
        talloc_free(asking);
}

/* Controllers that know other voters than each other do not all see the same. */
static void voters_note(Asking *asking, const KnowAnswer *answer)
{
    if (answer->voters_count == 0 || answer->voters_count > VOTER_MOST)
        return;
    const bool reported = asking->voter_count > 0;
    if (reported && asking->voter_count != answer->voters_count)
        asking->all = false;
    asking->voter_count = answer->voters_count;
    for (size_t i = 0; i < answer->voters_count; i++) {
        if (reported && asking->voters[i] != answer->voters[i].disk)
            asking->all = false;
        asking->voters[i] = answer->voters[i].disk;
    }
}

static void part_main(void *arg)
{
    AskPart *part = arg;
    Asking *asking = part->asking;
    Agent *agent = asking->agent;
    const KnowAsk ask = {0};
    KnowAnswer answer = {0};
    const Status status = rpc_ask_peer(agent->rpc, part, &(RpcTarget){part->address, part->peer, NULL}, MESSAGE_KNOW,
                                       &KnowAsk_shape, &ask, ASK_TIMEOUT_MS, &KnowAnswer_shape, &answer);
    if (status != STATUS_OK || answer.knows || answer.term > agent->lease.term) {
        asking->all = false;
    } else if (part->disk != 0) {
        if (asking->answered_count < sizeof(asking->answered) / sizeof(asking->answered[0]))
            asking->answered[asking->answered_count++] = part->disk;
        voters_note(asking, &answer);
    }
    asking->pending--;
    signal_raise(agent->loop, &asking->ended);
    asking_leave(asking);
    talloc_free(part);
}

/* Whether every voter is among those that answered no. */
static bool voters_answered(const Asking *asking)
{
    for (size_t s = 0; s < asking->voter_count; s++) {
        bool found = false;
        for (size_t i = 0; i < asking->answered_count && !found; i++)
            found = asking->answered[i] == asking->voters[s];
        if (!found)
            return false;
    }
    return asking->voter_count > 0;
}

/* Asks all controllers, or all other members. Waits for every answer. */
static void ask_those(Asking *asking, bool controllers)
{
    Agent *agent = asking->agent;
    const MemberTable *table = members_table(agent->members);
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        /* one that shut down cleanly is excluded: it runs nothing and has no lease */
        if (record->leaving || (record->role == ROLE_CONTROLLER) != controllers ||
            strcmp(record->id, members_self(agent->members)->id) == 0)
            continue;
        AskPart *part = talloc_zero(agent, AskPart);
        part->asking = asking;
        part->disk = controllers ? record->disk : 0;
        strncpy(part->address, record->address, sizeof(part->address) - 1);
        part->peer = member_peer(record);
        asking->users++;
        asking->pending++;
        loop_spawn(agent->loop, "know", part_main, part);
    }
    while (asking->pending > 0)
        signal_wait(agent->loop, &asking->ended, INT64_MAX);
}

static void ask_all(Agent *agent)
{
    Asking *asking = talloc_zero(agent, Asking);
    asking->agent = agent;
    asking->users = 1;
    asking->all = true;
    const int64_t sent_ms = loop_now_ms(agent->loop);
    /* the controllers first: where the holder is gone one of them does not answer, and then no agent of the cell need
     * ask all others */
    ask_those(asking, true);
    if (asking->all && voters_answered(asking))
        ask_those(asking, false);
    const int64_t lease_ms = agent->settings->bounds.lease_ms;
    /* a lease that has lapsed meanwhile is not revived: its attempts are stopping */
    if (asking->all && voters_answered(asking) && lease_runs(&agent->lease, loop_now_ms(agent->loop))) {
        if (!agent->isolated)
            recorder_write(agent->recorder, RECORDER_ALERT, loop_now_ms(agent->loop),
                           "no lock holder, and every member knows none: goes on while all see each other");
        agent->isolated = true;
        if (sent_ms + lease_ms > agent->lease.until_ms)
            agent->lease.until_ms = sent_ms + lease_ms;
    }
    asking_leave(asking);
}

static void isolated_main(void *arg)
{
    Agent *agent = arg;
    while (!loop_stopping(agent->loop)) {
        const int64_t left_ms = lease_left_ms(&agent->lease, loop_now_ms(agent->loop));
        const int64_t late_ms = agent->settings->bounds.lease_ms / 2;
        /* the second half of the lease: several heartbeats have gone unanswered */
        if (left_ms > 0 && left_ms < late_ms)
            ask_all(agent);
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
