/* The votes of the seeds for the founder of a new cluster. Each seed grants one vote in its lifetime, and a majority of
 * the seeds decides. All processes of a first start are given the same seeds, so any two majorities share a seed and at
 * most one controller founds a cluster, whatever messages are lost. */
#include "vote.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "state.h"
#include "loop/loop.h"
#include "table.h"
#include "wire/rpc.h"

/* --- a seed: granting its vote ---------------------------------------------------- */

void members_set_voter(Members *members, bool voter)
{
    members->vote.available = voter;
}

uint64_t members_lowest_empty_disk(const Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    uint64_t lowest = 0;
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        const bool self = table_is_self(members, &row->record);
        if (row->record.role == ROLE_CONTROLLER && (self ? members->self.empty : row->record.empty) &&
            (self || !member_quiet(row, now_ms)) && (lowest == 0 || row->record.disk < lowest))
            lowest = row->record.disk;
    }
    return lowest;
}

/* The founder gives the vote back; its proposals up to this one are no longer granted. */
static void vote_return(Vote *vote, const VoteAsk *ask)
{
    if (vote->disk == ask->disk && vote->ballot <= ask->ballot)
        vote->disk = 0;
    vote->returned_disk = ask->disk;
    vote->returned_ballot = ask->ballot;
}

/* Decides whether the seed grants its vote. It never does once it knows a cluster, nor to a proposal that was given
 * back; for the first time it grants only to the lowest empty disk that it has heard of. */
static bool vote_decide(Members *members, const VoteAsk *ask)
{
    Vote *vote = &members->vote;
    if (ask->back) {
        vote_return(vote, ask);
        return true;
    }
    if (!vote->available || rpc_cluster(members->rpc) != 0 || ask->disk == 0 ||
        (ask->disk == vote->returned_disk && ask->ballot <= vote->returned_ballot))
        return false;
    const uint64_t lowest = members_lowest_empty_disk(members);
    if (vote->disk == 0 && (lowest == 0 || ask->disk <= lowest)) {
        vote->disk = ask->disk;
        vote->ballot = ask->ballot;
    }
    return vote->disk == ask->disk;
}

static Status on_vote(void *arg, void *mem, const void *request, void *answer)
{
    (void)mem;
    ((VoteAnswer *)answer)->granted = vote_decide(arg, request);
    return STATUS_OK;
}

void vote_serve(Members *members)
{
    rpc_handle(members->rpc, MESSAGE_VOTE, &VoteAsk_shape, &VoteAnswer_shape, on_vote, members);
}

/* --- a founder: asking the seeds -------------------------------------------------- */

/* One proposal to all seeds. Reference-counted: freed by the last of its users, which are the proposing task and one
 * task for each seed. */
typedef struct VoteProposal {
    Members *members;
    VoteAsk ask;
    size_t references, pending, granted;
    Signal answered;
} VoteProposal;

typedef struct VoteRequest {
    VoteProposal *proposal;
    const char *address;
} VoteRequest;

static void vote_proposal_release(VoteProposal *proposal)
{
    if (--proposal->references == 0)
        talloc_free(proposal);
}

static void vote_request_main(void *arg)
{
    VoteRequest *request = arg;
    VoteProposal *proposal = request->proposal;
    Members *members = proposal->members;
    VoteAnswer answer = {0};
    if (strcmp(request->address, members->self.address) == 0)
        answer.granted = vote_decide(members, &proposal->ask);
    else if (rpc_call(members->rpc, request, request->address, MESSAGE_VOTE, &VoteAsk_shape, &proposal->ask,
                      REQUEST_TIMEOUT_MS, &VoteAnswer_shape, &answer) != STATUS_OK)
        answer.granted = false;
    proposal->granted += answer.granted;
    proposal->pending--;
    signal_raise(members->loop, &proposal->answered);
    vote_proposal_release(proposal);
    talloc_free(request);
}

/* Whether the seed at i has no address, or that of an earlier one. */
static bool seed_skipped(const Members *members, int i)
{
    bool skipped = members->seeds[i] == NULL;
    for (int k = 0; k < i && !skipped; k++)
        skipped = members->seeds[k] != NULL && strcmp(members->seeds[k], members->seeds[i]) == 0;
    return skipped;
}

size_t members_request_votes(Members *members, uint64_t disk, uint64_t ballot, bool give_back, size_t *seed_count)
{
    VoteProposal *proposal = talloc_zero(members, VoteProposal);
    *proposal = (VoteProposal){.members = members, .ask = {disk, ballot, give_back}, .references = 1};
    *seed_count = 0;
    for (int i = 0; i < SEEDS; i++) {
        if (seed_skipped(members, i))
            continue;
        ++*seed_count;
        VoteRequest *request = talloc_zero(members, VoteRequest);
        *request = (VoteRequest){proposal, talloc_strdup(request, members->seeds[i])};
        proposal->references++;
        proposal->pending++;
        loop_spawn(members->loop, "vote", vote_request_main, request);
    }
    while (proposal->pending > 0)
        signal_wait(members->loop, &proposal->answered, INT64_MAX);
    const size_t granted = proposal->granted;
    vote_proposal_release(proposal);
    return granted;
}
