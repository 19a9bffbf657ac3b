/* Election: the pre-vote, whether this node may stand, and the promises (Raft: votes; Paxos: prepare) of a majority for
 * a higher term. */
#include "base/term.h"
#include "election.h"
#include "leading.h"
#include "poll.h"
#include "state.h"
#include "voter_list.h"

/* --- the pre-vote: may this node stand? --------------------------------------------- */

/* Whether the log of a is more up to date than that of b (Raft 5.4.1). */
static bool log_ahead(const VoterAnswer *a, const VoterAnswer *b)
{
    return a->log_term > b->log_term || (a->log_term == b->log_term && a->log_index > b->log_index);
}

/* Whether the disk is in the last view that the voter has recorded. */
static bool among(const VoterAnswer *answer, uint64_t disk)
{
    for (size_t i = 0; i < answer->configuration_members_count; i++)
        if (answer->configuration_members[i].disk == disk)
            return true;
    return false;
}

/* The answer with the last view; null: nobody has answered. any_restarted: one of those that answered has restarted. */
static const VoterAnswer *last_view_of(const Poll *poll, bool *any_restarted)
{
    const VoterAnswer *newest = NULL;
    *any_restarted = false;
    for (int i = 0; i < VOTER_MOST; i++) {
        const VoterAnswer *answer = &poll->answers[i];
        if (!poll_reached(poll->status[i]))
            continue;
        *any_restarted |= answer->restarted;
        /* of one term, the longer log has the later change of view */
        if (newest == NULL || answer->configuration_term > newest->configuration_term ||
            (answer->configuration_term == newest->configuration_term && log_ahead(answer, newest)))
            newest = answer;
    }
    return newest;
}

/* Whether the voters that answered may form a view. If none of them has restarted, any majority will do. Where disks
 * may lose what they synced, restarted voters may have lost what they acknowledged: then every member of the last
 * recorded view has to answer, or has been waited for for RESTARTED_WAIT_MS. repair: committed changes may have been
 * lost. */
static bool view_may_rest_on(Replication *replication, const Poll *poll, bool *repair)
{
    bool any_restarted;
    const VoterAnswer *newest = last_view_of(poll, &any_restarted);
    *repair = any_restarted && !replication->settings.disks_keep && newest != NULL && newest->configuration_term != 0;
    if (!*repair)
        return true;
    bool heard_all = true;
    for (int i = 0; i < VOTER_MOST; i++)
        if (among(newest, replication->voters[i]) && !poll_reached(poll->status[i]))
            heard_all = false;
    if (heard_all) {
        replication->restarted_since_ms = 0;
        return true;
    }
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (replication->restarted_since_ms == 0)
        replication->restarted_since_ms = now_ms;
    return now_ms - replication->restarted_since_ms >= RESTARTED_WAIT_MS;
}

/* What the voters said of themselves in the pre-vote. */
typedef struct Prevote {
    size_t count; /* those that answered */
    size_t free;  /* those of them that have granted no other node a lease that runs */
    bool removed; /* this node is no voter any more */
    bool ahead;   /* another has been promised a higher term and a lease */
} Prevote;

/* Counts the answers, and finds the highest term that anybody has heard of. */
static Prevote prevote_count(Election *election, const Poll *poll)
{
    const Replication *replication = election->replication;
    Prevote prevote = {0};
    /* voters whose disks lost what they synced have lost promises; the members that followed a leader still know its
     * term */
    election->highest = replication->lock.promised;
    if (members_leader_term(replication->settings.members) > election->highest)
        election->highest = members_leader_term(replication->settings.members);
    /* a learner follows only a term as high as its promise */
    if (replication->promised_most > election->highest)
        election->highest = replication->promised_most;
    for (int i = 0; i < VOTER_MOST; i++)
        if (poll_reached(poll->status[i])) {
            prevote.count++;
            prevote.removed |= poll->status[i] == STATUS_NO_VOTER;
            if (poll->answers[i].promised > election->highest)
                election->highest = poll->answers[i].promised;
            const bool other = poll->answers[i].held && poll->answers[i].holder != replication->disk;
            prevote.free += !other;
            prevote.ahead |= other && poll->answers[i].promised > replication->lock.promised;
        }
    return prevote;
}

Status election_prevote(Election *election)
{
    Replication *replication = election->replication;
    Poll *poll = poll_voters(replication, 0, election->skip);
    const Prevote prevote = prevote_count(election, poll);
    const bool rest = view_may_rest_on(replication, poll, &election->repair);
    poll_leave(poll);
    if (lead_over(replication, election->generation))
        return STATUS_NOT_LEADER;
    if (prevote.removed) { /* another disk has become a voter in its place; the leader will send the list */
        lead_down(replication, VOTER_LOST_REST_MS);
        return STATUS_NO_VOTER;
    }
    /* no other node has the lease where a majority has granted it to none; but a candidate that already has a promise
     * of a higher term goes first */
    const bool held = election->new_holder && prevote.count >= replication_majority(replication) &&
                      (prevote.free < replication_majority(replication) || prevote.ahead);
    if (prevote.count >= replication_majority(replication) && rest && !held)
        return STATUS_OK;
    lead_down(replication, 0);
    return held ? STATUS_OTHER_HOLDER : rest ? STATUS_UNREACHABLE : STATUS_RESTARTED;
}

/* --- promises ----------------------------------------------------------------------- */

size_t promised_count(const Replication *replication, const bool in_view[VOTER_MOST])
{
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        count += replication->voters[i] != 0 && in_view[i];
    return count;
}

/* Leaves voters far behind the best log out of the first view; they join once they have caught up. The view stays a
 * majority with this node in it. */
static void laggards_drop(const Replication *replication, const Poll *poll, int best, bool in_view[VOTER_MOST])
{
    const VoterAnswer *most = &poll->answers[best];
    size_t count = promised_count(replication, in_view);
    for (int i = 0; i < VOTER_MOST && count > replication_majority(replication); i++) {
        const VoterAnswer *one = &poll->answers[i];
        if (in_view[i] && replication->voters[i] != replication->disk &&
            (one->log_term < most->log_term || one->log_index + LOG_BATCH_ENTRIES < most->log_index)) {
            in_view[i] = false;
            count--;
        }
    }
}

/* Records who has promised, and which of them has the best log: this node, if its log is as good as any. */
static void promises_count(Election *election, const Poll *poll)
{
    Replication *replication = election->replication;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (poll->status[i] != STATUS_OK || poll->disks[i] != replication->voters[i])
            continue;
        election->in_view[i] = true;
        const VoterAnswer *a = &poll->answers[i];
        const VoterAnswer *b = election->best >= 0 ? &poll->answers[election->best] : NULL;
        if (b == NULL || log_ahead(a, b) || (!log_ahead(b, a) && replication->voters[i] == replication->disk))
            election->best = i;
        lock_lease_answered(&replication->lease, i, poll->sent_ms[i], LOCK_GRANT_MS);
    }
}

/* Sets what is known of the peers at the beginning of the term. */
static void peers_begin(Replication *replication, const Poll *poll)
{
    for (int i = 0; i < VOTER_MOST; i++) {
        if (poll->status[i] == STATUS_OK || poll_reached(poll->status[i]))
            lead_answered(replication, i, &poll->answers[i]);
        replication->peers[i].match_index = 0;
        replication->peers[i].next_index = poll_reached(poll->status[i]) ? poll->answers[i].log_index + 1 : UINT64_MAX;
        replication->peers[i].append_since_ms = INT64_MAX;
        replication->peers[i].refuses_since_ms = INT64_MAX;
        replication->peers[i].reinstall = false;
        replication->peers[i].renewed_ms = INT64_MIN;
        replication->peers[i].return_ms = 0;
    }
}

/* There are too few promises. The lease that was granted with them is released, so that nobody waits for its end. */
static void promises_lost(Election *election)
{
    Replication *replication = election->replication;
    if (lead_over(replication, election->generation))
        return;
    replication->term = election->term;
    lead_release(replication, 0);
    lead_down(replication, 0);
}

Status election_promises(Election *election)
{
    Replication *replication = election->replication;
    election->term = term_next(election->highest, replication->disk);
    Poll *poll = poll_voters(replication, election->term, election->skip);
    /* a lease that ended before this request was sent did not run on without a gap */
    const int64_t held_until_ms = lock_lease_until(&replication->lease);
    for (int i = 0; i < VOTER_MOST; i++)
        election->new_holder |= poll->status[i] == STATUS_OK && poll->sent_ms[i] >= held_until_ms;
    replication->reelecting = !election->new_holder;
    if (election->new_holder)
        lock_lease_clear(&replication->lease);
    promises_count(election, poll);
    const int own = replication_own_voter(replication);
    const bool lost = lead_over(replication, election->generation) ||
                      promised_count(replication, election->in_view) < replication_majority(replication) || own < 0 ||
                      !election->in_view[own];
    if (!lost) {
        laggards_drop(replication, poll, election->best, election->in_view);
        peers_begin(replication, poll);
    }
    for (int i = 0; i < VOTER_MOST; i++)
        election->promised[i] = poll->status[i] == STATUS_OK ? poll->disks[i] : 0;
    poll_leave(poll);
    if (lost)
        promises_lost(election);
    return lost ? STATUS_OTHER_HOLDER : STATUS_OK;
}
