/* Election: whether this node may stand, and the promises (Raft: votes; Paxos: prepare) of a majority
 * for a higher term. */
#include "base/term.h"
#include "election.h"
#include "leading.h"
#include "poll.h"
#include "state.h"
#include "voter_list.h"

/* --- a look: may this node stand? --------------------------------------------------- */

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

/* The answer that has the last view; null: nobody has answered. any_restarted: one of them restarted. */
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

/* Whether a view may rest on the voters that answered. With none of them restarted, any majority
 * will do. Where disks may lose what they synced, restarted ones may have lost what they
 * acknowledged: then each member of the last recorded view is heard first, or waited for.
 * repair: committed changes may have been lost. */
static bool may_rest(Replication *replication, const Poll *poll, bool *repair)
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

/* What the voters said of themselves, before any promise is asked of them. */
typedef struct Heard {
    size_t count; /* who answered */
    size_t free;  /* who of them has no lease granted to another */
    bool removed; /* this node is no voter any more */
    bool ahead;   /* another has been promised a higher term and a lease */
} Heard;

/* Counts the answers, and finds the highest term that anybody has heard of. */
static Heard heard_of(Opening *opening, const Poll *poll)
{
    const Replication *replication = opening->replication;
    Heard heard = {0};
    /* disks that lose what they synced may have forgotten promises; members that followed a leader
     * have not forgotten its term */
    opening->highest = replication->lock.promised;
    if (members_leader_term(replication->settings.members) > opening->highest)
        opening->highest = members_leader_term(replication->settings.members);
    for (int i = 0; i < VOTER_MOST; i++)
        if (poll_reached(poll->status[i])) {
            heard.count++;
            heard.removed |= poll->status[i] == STATUS_NO_VOTER;
            if (poll->answers[i].promised > opening->highest)
                opening->highest = poll->answers[i].promised;
            const bool other = poll->answers[i].held && poll->answers[i].holder != replication->disk;
            heard.free += !other;
            heard.ahead |= other && poll->answers[i].promised > replication->lock.promised;
        }
    return heard;
}

Status election_hear(Opening *opening)
{
    Replication *replication = opening->replication;
    Poll *poll = poll_voters(replication, 0, opening->skip);
    const Heard heard = heard_of(opening, poll);
    const bool rest = may_rest(replication, poll, &opening->repair);
    poll_leave(poll);
    if (lead_over(replication, opening->turn))
        return STATUS_NOT_LEADER;
    if (heard.removed) { /* the vote was given to another disk; this node learns more from whoever leads */
        lead_down(replication, VOTER_LOST_REST_MS);
        return STATUS_NO_VOTER;
    }
    /* where a majority has no lease granted to another, nobody has it; but one that is being
     * elected just now in a higher term goes first */
    const bool held = opening->new_holder && heard.count >= replication_majority(replication) &&
                      (heard.free < replication_majority(replication) || heard.ahead);
    if (heard.count >= replication_majority(replication) && rest && !held)
        return STATUS_OK;
    lead_down(replication, 0);
    return held ? STATUS_OTHER_HOLDER : rest ? STATUS_UNREACHABLE : STATUS_RESTARTED;
}

/* --- promises ----------------------------------------------------------------------- */

size_t promised_count(const Replication *replication, const bool in_configuration[VOTER_MOST])
{
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++)
        count += replication->voters[i] != 0 && in_configuration[i];
    return count;
}

/* Voters far behind the best log come into the view only once they are near; the view stays a
 * majority, with this node in it. */
static void lag_leave(const Replication *replication, const Poll *poll, int best, bool in_configuration[VOTER_MOST])
{
    const VoterAnswer *most = &poll->answers[best];
    size_t count = promised_count(replication, in_configuration);
    for (int i = 0; i < VOTER_MOST && count > replication_majority(replication); i++) {
        const VoterAnswer *one = &poll->answers[i];
        if (in_configuration[i] && replication->voters[i] != replication->disk &&
            (one->log_term < most->log_term || one->log_index + LOG_BATCH_ENTRIES < most->log_index)) {
            in_configuration[i] = false;
            count--;
        }
    }
}

/* Who has promised, and which of them has the best log: the own one, if it is as good as any. */
static void promises_count(Opening *opening, const Poll *poll)
{
    Replication *replication = opening->replication;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (poll->status[i] != STATUS_OK || poll->disks[i] != replication->voters[i])
            continue;
        opening->in_configuration[i] = true;
        const VoterAnswer *a = &poll->answers[i];
        const VoterAnswer *b = opening->best >= 0 ? &poll->answers[opening->best] : NULL;
        if (b == NULL || log_ahead(a, b) || (!log_ahead(b, a) && replication->voters[i] == replication->disk))
            opening->best = i;
        lock_lease_answered(&replication->lease, i, poll->sent_ms[i]);
    }
}

/* What is known of the peers at the beginning of the term. */
static void peers_begin(Replication *replication, const Poll *poll)
{
    for (int i = 0; i < VOTER_MOST; i++) {
        if (poll->status[i] == STATUS_OK || poll_reached(poll->status[i]))
            lead_answered(replication, i, &poll->answers[i]);
        replication->peers[i].match_index = 0;
        replication->peers[i].next_index = poll_reached(poll->status[i]) ? poll->answers[i].log_index + 1 : UINT64_MAX;
        replication->peers[i].append_since_ms = INT64_MAX;
        replication->peers[i].reinstall = false;
        replication->peers[i].renewed_ms = INT64_MIN;
        replication->peers[i].return_ms = 0;
    }
}

/* The promises are too few. The others need not wait out the lease that they granted with them. */
static void promises_lost(Opening *opening, bool own_failed)
{
    Replication *replication = opening->replication;
    if (lead_over(replication, opening->turn))
        return;
    replication->term = opening->term;
    lead_release(replication, 0);
    lead_down(replication, own_failed ? SLOW_DISK_REST_MS : 0);
}

Status election_promises(Opening *opening)
{
    Replication *replication = opening->replication;
    opening->term = term_next(opening->highest, replication->disk);
    Poll *poll = poll_voters(replication, opening->term, opening->skip);
    /* a lease that lapsed before this question was sent was not kept without a gap */
    const int64_t held_until_ms = lock_lease_until(&replication->lease);
    for (int i = 0; i < VOTER_MOST; i++)
        opening->new_holder |= poll->status[i] == STATUS_OK && poll->sent_ms[i] >= held_until_ms;
    replication->reopening = !opening->new_holder;
    if (opening->new_holder)
        lock_lease_clear(&replication->lease);
    promises_count(opening, poll);
    const int own = replication_own_voter(replication);
    const bool own_failed =
        own >= 0 && (poll->status[own] == STATUS_DISK_FAILED || poll->status[own] == STATUS_UNREACHABLE);
    const bool lost = lead_over(replication, opening->turn) ||
                      promised_count(replication, opening->in_configuration) < replication_majority(replication) ||
                      own < 0 || !opening->in_configuration[own];
    if (!lost) {
        lag_leave(replication, poll, opening->best, opening->in_configuration);
        peers_begin(replication, poll);
    }
    for (int i = 0; i < VOTER_MOST; i++)
        opening->promised[i] = poll->status[i] == STATUS_OK ? poll->disks[i] : 0;
    poll_leave(poll);
    if (lost)
        promises_lost(opening, own_failed);
    return lost ? STATUS_OTHER_HOLDER : STATUS_OK;
}
