/* The first half of an election: the pre-vote, which decides whether this node may stand, and the promises (Raft:
 * votes; Paxos: prepare) of a majority for a higher term. */
#include "base/term.h"
#include "election.h"
#include "leadership.h"
#include "poll.h"
#include "state.h"
#include "voter_list.h"

/* --- the pre-vote --------------------------------------------- */

/* Whether log a is more up to date than log b (Raft 5.4.1). */
static bool log_more_up_to_date(const VoterAnswer *a, const VoterAnswer *b)
{
    return a->log_term > b->log_term || (a->log_term == b->log_term && a->log_index > b->log_index);
}

/* Whether the disk is in the last view that the voter's log records. */
static bool last_view_includes(const VoterAnswer *answer, uint64_t disk)
{
    for (size_t i = 0; i < answer->configuration_members_count; i++)
        if (answer->configuration_members[i].disk == disk)
            return true;
    return false;
}

/* Returns the answer with the newest view; NULL: no voter has answered. any_restarted (out): one of the voters that
 * answered has restarted. */
static const VoterAnswer *newest_view_answer(const Poll *poll, bool *any_restarted)
{
    const VoterAnswer *newest = NULL;
    *any_restarted = false;
    for (int i = 0; i < VOTERS_MAX; i++) {
        const VoterAnswer *answer = &poll->answers[i];
        if (!poll_reached(poll->status[i]))
            continue;
        *any_restarted |= answer->restarted;
        /* within one term, the longer log has the later view change */
        if (newest == NULL || answer->configuration_term > newest->configuration_term ||
            (answer->configuration_term == newest->configuration_term && log_more_up_to_date(answer, newest)))
            newest = answer;
    }
    return newest;
}

/* Whether the voters that answered may form a view. If none of them has restarted, any majority may. If disks may lose
 * synced data, restarted voters may have lost what they acknowledged: then every member of the last recorded view must
 * have answered, or RESTARTED_VOTERS_WAIT_MS must have passed. repair (out): committed changes may have been lost. */
static bool view_allowed(Replication *replication, const Poll *poll, bool *repair)
{
    bool any_restarted;
    const VoterAnswer *newest = newest_view_answer(poll, &any_restarted);
    *repair =
        any_restarted && !replication->settings.disks_durable && newest != NULL && newest->configuration_term != 0;
    if (!*repair)
        return true;
    bool heard_all = true;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (last_view_includes(newest, replication->voters[i]) && !poll_reached(poll->status[i]))
            heard_all = false;
    if (heard_all) {
        replication->last_view_wait_since_ms = 0;
        return true;
    }
    const int64_t now_ms = loop_now_ms(replication->loop);
    if (replication->last_view_wait_since_ms == 0)
        replication->last_view_wait_since_ms = now_ms;
    return now_ms - replication->last_view_wait_since_ms >= RESTARTED_VOTERS_WAIT_MS;
}

/* Summary of the voters' answers in the pre-vote. */
typedef struct Prevote {
    size_t count;    /* number of voters that answered */
    size_t unleased; /* those of them that have granted no valid lease to another node */
    bool removed;    /* this node is no longer a voter */
    bool ahead;      /* another node has been promised a higher term and granted a lease */
} Prevote;

/* Counts the answers, and determines the highest term that any voter or member knows. */
static Prevote prevote_count(Election *election, const Poll *poll)
{
    const Replication *replication = election->replication;
    Prevote prevote = {0};
    /* voters whose disks lost synced data have lost promises; the members that followed a leader still know its
     * term */
    election->highest_term = replication->lock.promised;
    if (members_leader_term(replication->settings.members) > election->highest_term)
        election->highest_term = members_leader_term(replication->settings.members);
    /* a learner follows only a term at least as high as the one it has promised */
    if (replication->promised_highest > election->highest_term)
        election->highest_term = replication->promised_highest;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (poll_reached(poll->status[i])) {
            prevote.count++;
            prevote.removed |= poll->status[i] == STATUS_NO_VOTER;
            if (poll->answers[i].promised > election->highest_term)
                election->highest_term = poll->answers[i].promised;
            const bool other = poll->answers[i].held && poll->answers[i].holder != replication->disk;
            prevote.unleased += !other;
            prevote.ahead |= other && poll->answers[i].promised > replication->lock.promised;
        }
    return prevote;
}

Status election_prevote(Election *election)
{
    Replication *replication = election->replication;
    Poll *poll = poll_voters(replication, 0, election->skip);
    const Prevote prevote = prevote_count(election, poll);
    const bool rest = view_allowed(replication, poll, &election->repair);
    poll_unref(poll);
    if (leadership_over(replication, election->generation))
        return STATUS_NOT_LEADER;
    if (prevote.removed) { /* another disk has replaced this one as a voter; the leader will send the list */
        leader_step_down(replication, EX_VOTER_REST_MS);
        return STATUS_NO_VOTER;
    }
    /* if a majority has granted the lease to no other node, no other node has it; but a candidate that already has a
     * promise of a higher term takes precedence */
    const bool held = election->new_holder && prevote.count >= replication_majority(replication) &&
                      (prevote.unleased < replication_majority(replication) || prevote.ahead);
    if (prevote.count >= replication_majority(replication) && rest && !held)
        return STATUS_OK;
    leader_step_down(replication, 0);
    return held ? STATUS_OTHER_HOLDER : rest ? STATUS_UNREACHABLE : STATUS_RESTARTED;
}

/* --- promises ----------------------------------------------------------------------- */

size_t promised_count(const Replication *replication, const bool in_view[VOTERS_MAX])
{
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX; i++)
        count += replication->voters[i] != 0 && in_view[i];
    return count;
}

/* Removes voters far behind the best log from the first view; they join once they have caught up. The view remains a
 * majority that includes this node. */
static void lagging_voters_drop(const Replication *replication, const Poll *poll, int best, bool in_view[VOTERS_MAX])
{
    const VoterAnswer *most = &poll->answers[best];
    size_t count = promised_count(replication, in_view);
    for (int i = 0; i < VOTERS_MAX && count > replication_majority(replication); i++) {
        const VoterAnswer *one = &poll->answers[i];
        if (in_view[i] && replication->voters[i] != replication->disk &&
            (one->log_term < most->log_term || one->log_index + LOG_BATCH_ENTRIES < most->log_index)) {
            in_view[i] = false;
            count--;
        }
    }
}

/* Records which voters have promised, and which of them has the best log; on a tie, this node is chosen. */
static void promises_collect(Election *election, const Poll *poll)
{
    Replication *replication = election->replication;
    for (int i = 0; i < VOTERS_MAX; i++) {
        if (poll->status[i] != STATUS_OK || poll->disks[i] != replication->voters[i])
            continue;
        election->in_view[i] = true;
        const VoterAnswer *a = &poll->answers[i];
        const VoterAnswer *b = election->best >= 0 ? &poll->answers[election->best] : NULL;
        if (b == NULL || log_more_up_to_date(a, b) ||
            (!log_more_up_to_date(b, a) && replication->voters[i] == replication->disk))
            election->best = i;
        lock_lease_granted(&replication->lease, i, poll->sent_ms[i], LOCK_GRANT_MS);
    }
}

/* Initialises the state of the peers at the beginning of the term. */
static void peers_init(Replication *replication, const Poll *poll)
{
    for (int i = 0; i < VOTERS_MAX; i++) {
        if (poll->status[i] == STATUS_OK || poll_reached(poll->status[i]))
            peer_answer_record(replication, i, &poll->answers[i]);
        replication->peers[i].match_index = 0;
        replication->peers[i].next_index = poll_reached(poll->status[i]) ? poll->answers[i].log_index + 1 : UINT64_MAX;
        replication->peers[i].append_since_ms = INT64_MAX;
        replication->peers[i].refuses_since_ms = INT64_MAX;
        replication->peers[i].reinstall = false;
        replication->peers[i].renewed_ms = INT64_MIN;
        replication->peers[i].rejoin_ms = 0;
    }
}

/* Gives up after too few promises. Releases the lease that was granted with them, so that no node waits until it
 * expires. */
static void promises_give_up(Election *election)
{
    Replication *replication = election->replication;
    if (leadership_over(replication, election->generation))
        return;
    replication->term = election->term;
    leader_release_lease(replication, 0);
    leader_step_down(replication, 0);
}

Status election_promises(Election *election)
{
    Replication *replication = election->replication;
    election->term = term_next(election->highest_term, replication->disk);
    Poll *poll = poll_voters(replication, election->term, election->skip);
    /* a lease that ended before this request was sent was not held without interruption */
    const int64_t held_until_ms = lock_lease_until(&replication->lease);
    for (int i = 0; i < VOTERS_MAX; i++)
        election->new_holder |= poll->status[i] == STATUS_OK && poll->sent_ms[i] >= held_until_ms;
    replication->reelecting = !election->new_holder;
    if (election->new_holder)
        lock_lease_clear(&replication->lease);
    promises_collect(election, poll);
    const int own = replication_own_voter(replication);
    const bool lost = leadership_over(replication, election->generation) ||
                      promised_count(replication, election->in_view) < replication_majority(replication) || own < 0 ||
                      !election->in_view[own];
    if (!lost) {
        lagging_voters_drop(replication, poll, election->best, election->in_view);
        peers_init(replication, poll);
    }
    for (int i = 0; i < VOTERS_MAX; i++)
        election->promised[i] = poll->status[i] == STATUS_OK ? poll->disks[i] : 0;
    poll_unref(poll);
    if (lost)
        promises_give_up(election);
    return lost ? STATUS_OTHER_HOLDER : STATUS_OK;
}
