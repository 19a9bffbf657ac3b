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
    if (slot >= SEAT_MOST || contact <= peer->contact)
        return;
    peer->contact = contact;
    signalRaise(view->loop, &view->contactMade);
}

bool contactOwed(const View *view, int slot)
{
    return slot < SEAT_MOST && slotDisk(view, slot) != view->disk && view->peers[slot].contact < view->contactAsked;
}

void contactRest(View *view, int slot, int64_t restMs)
{
    if (slot >= SEAT_MOST || slotDisk(view, slot) == view->disk)
        loopSleep(view->loop, restMs);
    else
        signalWait(view->loop, &view->contactNews, loopNowMs(view->loop) + restMs);
}

Status viewContact(View *view, int64_t untilMs)
{
    if (!viewLeading(view))
        return STATUS_NOT_LEADER;
    const uint64_t epoch = view->epoch, wanted = ++view->contactAsked;
    signalRaise(view->loop, &view->contactNews);
    while (contactCount(view, wanted) < viewMajority(view)) {
        if (!signalWait(view->loop, &view->contactMade, untilMs))
            return STATUS_EXPIRED;
        if (view->epoch != epoch || !viewLeading(view))
            return STATUS_NOT_LEADER;
    }
    return view->epoch == epoch && viewLeading(view) ? STATUS_OK : STATUS_NOT_LEADER;
}
