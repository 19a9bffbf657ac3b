/* A round of contact: that this node is still the only one that leads, shown by answers to
 * questions that were sent after the round began. No clock is asked. */
#include "inside.h"

/* How many voters are known to grant the lock to this node since the round was asked for. */
static size_t contact_count(const View *view, uint64_t wanted)
{
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        if (view->voters[i] == 0)
            continue;
        if (view->voters[i] == view->disk)
            count += view->lock.promised == view->term && view->lock.released != view->term;
        else
            count += view->peers[i].contact >= wanted;
    }
    return count;
}

void contact_granted(View *view, int slot, uint64_t contact)
{
    Peer *peer = &view->peers[slot];
    if (contact <= peer->contact)
        return;
    peer->contact = contact;
    signal_raise(view->loop, &view->contact_made);
}

bool contact_owed(const View *view, int slot)
{
    const uint64_t wanted = slot < VOTER_MOST ? view->contact_asked : view->contact_learners;
    return slot_disk(view, slot) != view->disk && view->peers[slot].contact < wanted;
}

void contact_rest(View *view, int slot, int64_t rest_ms)
{
    const int64_t until_ms = loop_now_ms(view->loop) + rest_ms;
    while (signal_wait(view->loop, &view->contact_news, until_ms))
        if (contact_owed(view, slot))
            return;
}

/* Whether all that are taken for alive have answered the round. */
static bool contact_whole(const View *view, uint64_t wanted)
{
    bool whole = true;
    for (int i = 0; i < SLOT_MOST; i++) {
        if (slot_disk(view, i) == 0 || slot_disk(view, i) == view->disk)
            continue;
        const bool lives = i < VOTER_MOST ? voter_live(view, i) : learner_ready(view, (size_t)(i - VOTER_MOST));
        whole &= !lives || view->peers[i].contact >= wanted;
    }
    return whole;
}

uint64_t contact_members(View *view, int64_t most_ms)
{
    const uint64_t turn = view->lead_turn, wanted = ++view->contact_asked;
    const int64_t until_ms = loop_now_ms(view->loop) + most_ms;
    view->contact_learners = wanted;
    signal_raise(view->loop, &view->contact_news);
    while (!lead_over(view, turn) && !contact_whole(view, wanted))
        if (!signal_wait(view->loop, &view->contact_made, until_ms))
            break;
    return wanted;
}

Status view_contact(View *view, int64_t until_ms)
{
    if (!view_leading(view))
        return STATUS_NOT_LEADER;
    const uint64_t term = view->term, wanted = ++view->contact_asked;
    signal_raise(view->loop, &view->contact_news);
    while (contact_count(view, wanted) < view_majority(view)) {
        if (!signal_wait(view->loop, &view->contact_made, until_ms))
            return STATUS_EXPIRED;
        if (view->term != term || !view_leading(view))
            return STATUS_NOT_LEADER;
    }
    return view->term == term && view_leading(view) ? STATUS_OK : STATUS_NOT_LEADER;
}
