/* A round of contact: that this node is still the only one that leads, shown by answers to
 * questions that were sent after the round began. No clock is asked. */
#include "inside.h"

/* How many seats are known to grant the lock to this node since the round was asked for. */
static size_t contactCount(const View *view, uint64_t wanted)
{
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        if (view->seats[i] == 0)
            continue;
        if (view->seats[i] == view->disk)
            count += view->lock.promised == view->epoch && view->lock.released != view->epoch;
        else
            count += view->peers[i].contact >= wanted;
    }
    return count;
}

void contactGranted(View *view, int slot, uint64_t contact)
{
    Peer *peer = &view->peers[slot];
    if (contact <= peer->contact)
        return;
    peer->contact = contact;
    signal_raise(view->loop, &view->contactMade);
}

bool contactOwed(const View *view, int slot)
{
    const uint64_t wanted = slot < SEAT_MOST ? view->contactAsked : view->contactLearners;
    return slotDisk(view, slot) != view->disk && view->peers[slot].contact < wanted;
}

void contactRest(View *view, int slot, int64_t restMs)
{
    const int64_t until_ms = loop_now_ms(view->loop) + restMs;
    while (signal_wait(view->loop, &view->contactNews, until_ms))
        if (contactOwed(view, slot))
            return;
}

/* Whether all that are taken for alive have answered the round. */
static bool contactWhole(const View *view, uint64_t wanted)
{
    bool whole = true;
    for (int i = 0; i < SLOT_MOST; i++) {
        if (slotDisk(view, i) == 0 || slotDisk(view, i) == view->disk)
            continue;
        const bool lives = i < SEAT_MOST ? voterLive(view, i) : learnerReady(view, (size_t)(i - SEAT_MOST));
        whole &= !lives || view->peers[i].contact >= wanted;
    }
    return whole;
}

uint64_t contactMembers(View *view, int64_t mostMs)
{
    const uint64_t turn = view->leadTurn, wanted = ++view->contactAsked;
    const int64_t until_ms = loop_now_ms(view->loop) + mostMs;
    view->contactLearners = wanted;
    signal_raise(view->loop, &view->contactNews);
    while (!leadOver(view, turn) && !contactWhole(view, wanted))
        if (!signal_wait(view->loop, &view->contactMade, until_ms))
            break;
    return wanted;
}

Status viewContact(View *view, int64_t until_ms)
{
    if (!viewLeading(view))
        return STATUS_NOT_LEADER;
    const uint64_t epoch = view->epoch, wanted = ++view->contactAsked;
    signal_raise(view->loop, &view->contactNews);
    while (contactCount(view, wanted) < viewMajority(view)) {
        if (!signal_wait(view->loop, &view->contactMade, until_ms))
            return STATUS_EXPIRED;
        if (view->epoch != epoch || !viewLeading(view))
            return STATUS_NOT_LEADER;
    }
    return view->epoch == epoch && viewLeading(view) ? STATUS_OK : STATUS_NOT_LEADER;
}
