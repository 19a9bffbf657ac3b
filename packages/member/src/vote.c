/* The seeds' votes for a founder. Each seed has one in its life; a majority of the
 * seeds founds. All processes of a first start know the same seeds, so at most one
 * majority comes about, whoever hears whom. */
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

void members_set_voter(Members *members, bool voter)
{
    members->vote.mine = voter;
}

uint64_t members_lowest_empty(const Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    uint64_t lowest = 0;
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        const bool self = strcmp(row->record.id, members->self.id) == 0;
        if (row->record.role == ROLE_CONTROLLER && (self ? members->self.empty : row->record.empty) &&
            (self || !member_quiet(row, now_ms)) && (lowest == 0 || row->record.disk < lowest))
            lowest = row->record.disk;
    }
    return lowest;
}

static bool vote_take(Members *members, const VoteAsk *ask)
{
    Vote *vote = &members->vote;
    if (ask->back) {
        if (vote->disk == ask->disk && vote->round <= ask->round)
            vote->disk = 0;
        vote->back_disk = ask->disk;
        vote->back_round = ask->round;
        return true;
    }
    if (!vote->mine || rpc_cluster(members->rpc) != 0 || ask->disk == 0 ||
        (ask->disk == vote->back_disk && ask->round <= vote->back_round))
        return false;
    const uint64_t lowest = members_lowest_empty(members);
    if (vote->disk == 0 && (lowest == 0 || ask->disk <= lowest)) {
        vote->disk = ask->disk;
        vote->round = ask->round;
    }
    return vote->disk == ask->disk;
}

Status vote_asked(void *arg, void *mem, const void *question, void *answer)
{
    (void)mem;
    ((VoteAnswer *)answer)->granted = vote_take(arg, question);
    return STATUS_OK;
}

/* Freed by whichever ends last. */
typedef struct Voting {
    Members *members;
    VoteAsk ask;
    size_t users, pending, granted;
    Signal ended;
} Voting;

typedef struct VotePart {
    Voting *voting;
    const char *address;
} VotePart;

static void voting_leave(Voting *voting)
{
    if (--voting->users == 0)
        talloc_free(voting);
}

static void part_main(void *arg)
{
    VotePart *part = arg;
    Voting *voting = part->voting;
    Members *members = voting->members;
    VoteAnswer answer = {0};
    if (strcmp(part->address, members->self.address) == 0)
        answer.granted = vote_take(members, &voting->ask);
    else if (rpc_ask(members->rpc, part, part->address, MESSAGE_VOTE, &VoteAsk_shape, &voting->ask, ASK_TIMEOUT_MS,
                     &VoteAnswer_shape, &answer) != STATUS_OK)
        answer.granted = false;
    voting->granted += answer.granted;
    voting->pending--;
    signal_raise(members->loop, &voting->ended);
    voting_leave(voting);
    talloc_free(part);
}

size_t members_votes(Members *members, uint64_t disk, uint64_t round, bool back, size_t *seed_count)
{
    Voting *voting = talloc_zero(members, Voting);
    *voting = (Voting){.members = members, .ask = {disk, round, back}, .users = 1};
    *seed_count = 0;
    for (int i = 0; i < SEEDS; i++) {
        bool again = members->seeds[i] == NULL;
        for (int k = 0; k < i && !again; k++)
            again = members->seeds[k] != NULL && strcmp(members->seeds[k], members->seeds[i]) == 0;
        if (again)
            continue;
        ++*seed_count;
        VotePart *part = talloc_zero(members, VotePart);
        *part = (VotePart){voting, talloc_strdup(part, members->seeds[i])};
        voting->users++;
        voting->pending++;
        loop_spawn(members->loop, "vote", part_main, part);
    }
    while (voting->pending > 0)
        signal_wait(members->loop, &voting->ended, INT64_MAX);
    const size_t granted = voting->granted;
    voting_leave(voting);
    return granted;
}
