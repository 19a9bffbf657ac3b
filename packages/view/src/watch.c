/* What the holder watches, and who stands for the lock. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "inside.h"

/* Why a seat in the view is to leave it; null: it is not. */
static const char *leaves(const View *view, int place, bool spare, int64_t nowMs)
{
    const Peer *peer = &view->peers[place];
    const bool near = peer->matchIndex > 0 && peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log);
    if (seatDead(view, view->seats[place], false))
        return "its disk is gone";
    if (nowMs - peer->answeredMs > LOCK_HOLD_MS)
        return "silent";
    if (!spare)
        return NULL;
    const Member *member = membersFindDisk(view->props.members, view->seats[place]);
    if (member != NULL && member->record.leaving)
        return "its core leaves";
    if (peer->appendSinceMs != INT64_MAX && nowMs - peer->appendSinceMs > SEAT_LATE_MS)
        return "does not sync in time";
    if (peer->slowTimes >= SEAT_SLOW_TIMES)
        return "slow";
    return !near && nowMs - view->changedMs > SEAT_LATE_MS ? "far behind" : NULL;
}

static bool returns(const View *view, int place, int64_t nowMs)
{
    const Peer *peer = &view->peers[place];
    const Member *member = membersFindDisk(view->props.members, view->seats[place]);
    return (member == NULL || !member->record.leaving) && nowMs - peer->answeredMs <= LOCK_RENEW_MS * 2 &&
           peer->appendSinceMs == INT64_MAX && peer->matchIndex > 0 &&
           peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log) && peer->appendTookMs < SEAT_SLOW_MS / 2 &&
           peer->syncMs < SEAT_SLOW_MS / 2 && nowMs >= peer->returnMs && !seatDead(view, view->seats[place], false);
}

/* Changes the view under the same epoch: takes in who is up to date, lets go who
 * keeps the others waiting, as long as a majority stays. True when a promise given
 * to another asks for a new epoch; skip is filled in then. */
static bool viewTend(View *view, bool skip[SEAT_MOST])
{
    const int64_t nowMs = loopNowMs(view->loop);
    bool inView[SEAT_MOST], anew = false, changed = false;
    size_t count = 0;
    memcpy(inView, view->inView, sizeof(inView));
    for (int i = 0; i < SEAT_MOST; i++) {
        count += inView[i];
        skip[i] = false;
    }
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] != 0 && view->seats[i] != view->disk && !inView[i] && returns(view, i, nowMs)) {
            inView[i] = changed = true;
            count++;
            ring_say(view->props.ring, RING_NOTE, nowMs, "seat %016" PRIx64 " comes into the view", view->seats[i]);
        }
    for (int i = 0; i < SEAT_MOST; i++) {
        Peer *peer = &view->peers[i];
        if (view->seats[i] == 0 || view->seats[i] == view->disk)
            continue;
        /* a seat that has promised more takes nothing of ours, in the view or not */
        const bool silent = nowMs - peer->answeredMs > 2 * LOCK_RENEW_MS;
        skip[i] = silent || seatDead(view, view->seats[i], false);
        anew |= !skip[i] && peer->promised > view->epoch && nowMs - view->changedMs > LOCK_RENEW_MS;
        if (!inView[i])
            continue;
        const char *why = view->inView[i] ? leaves(view, i, count > viewMajority(view), nowMs) : NULL;
        if (why != NULL && count > viewMajority(view)) {
            inView[i] = false;
            changed = true;
            count--;
            peer->returnMs = nowMs + SEAT_REST_MS;
            peer->slowTimes = 0;
            ring_say(view->props.ring, RING_ALERT, nowMs, "seat %016" PRIx64 " leaves the view: %s", view->seats[i],
                     why);
            continue;
        }
        /* it restarted within the view; one just taken in takes a renewal to be heard of */
        changed |= peer->woke && nowMs - view->changedMs > 2 * LOCK_RENEW_MS;
    }
    if (!anew && changed)
        leadTurn(view, inView);
    return anew;
}

/* The best partition is the largest. All that hold a majority of the seats can
 * reach each other's seats, but a leader may be cut off from other members: when
 * a seat in the view sees many more of them, the lock is better there. */
static bool viewBlind(View *view)
{
    const int64_t nowMs = loopNowMs(view->loop);
    const uint64_t own = membersSight(view->props.members);
    bool blind = false;
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->inView[i] && view->seats[i] != view->disk && nowMs - view->peers[i].answeredMs < LOCK_HOLD_MS)
            blind |= view->peers[i].sight > own + SIGHT_MARGIN && view->peers[i].sight > own + own / 2;
    if (!blind || nowMs - view->wonMs < MEMBER_QUIET_MS)
        view->blindSinceMs = 0;
    else if (view->blindSinceMs == 0)
        view->blindSinceMs = nowMs;
    return view->blindSinceMs != 0 && nowMs - view->blindSinceMs > SIGHT_HAND_MS;
}

/* Whether this seat knows no holder, and may be one itself. */
static bool mayStand(View *view)
{
    const int64_t nowMs = loopNowMs(view->loop);
    if (!viewFounded(view) || !viewSeated(view) || viewDiskFailed(view) || nowMs < view->restUntilMs)
        return false;
    /* a holder whose disk is gone holds nothing any more */
    if (view->lock.holder != view->disk && seatDead(view, view->lock.holder, true))
        lockRelease(&view->lock, view->lock.promised, view->lock.holder, nowMs);
    return !lockHeld(&view->lock, nowMs) && lockMayPromise(&view->lock, UINT64_MAX, view->disk, nowMs) == STATUS_OK;
}

/* Seats stand one after another, from the place after the last holder's on, so that
 * two do not ask for each other's promise; a small draw parts those that know
 * different lists. */
static int64_t turnMs(View *view)
{
    const int last = viewSeatOf(view, view->lock.holder), own = viewOwnSeat(view);
    const int places = (int)view->places;
    const int rank = last < 0 ? own : (own - last - 1 + places) % places;
    return rank * PROPOSE_TURN_MS + (int64_t)(loopRandom(view->loop) % (PROPOSE_TURN_MS / 3));
}

static void watchMain(void *arg)
{
    View *view = arg;
    int64_t dueMs = 0;   /* it should look then */
    int64_t againMs = 0; /* waited for before it stood again; 0: it did not have to */
    while (!loopStopping(view->loop)) {
        const int64_t nowMs = loopNowMs(view->loop);
        /* after a pause of its own, it first reads what has come in meanwhile */
        const bool paused = dueMs != 0 && nowMs - dueMs > WATCH_MS;
        if (view->phase == VIEW_LEADING && paused && nowMs < lockHoldUntil(&view->hold)) {
            dueMs = nowMs + WATCH_MS / 4;
            loopSleep(view->loop, WATCH_MS / 4);
            continue;
        }
        if (view->phase == VIEW_LEADING) {
            bool skip[SEAT_MOST];
            const int64_t sinceMs = journalSyncSince(view->journal);
            if (nowMs >= lockHoldUntil(&view->hold)) {
                ring_say(view->props.ring, RING_ALERT, nowMs, "the hold of the lock has lapsed");
                leadDown(view, 0);
            } else if ((sinceMs != INT64_MAX && nowMs - sinceMs > APPEND_EXPIRY_MS) ||
                       (((sinceMs != INT64_MAX && nowMs - sinceMs > SEAT_LATE_MS) ||
                         view->slowTimes >= SEAT_SLOW_TIMES) &&
                        leadNext(view, true) != 0)) {
                view->slowTimes = 0;
                ring_say(view->props.ring, RING_ALERT, nowMs, "own disk is slow: hands the lock over");
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewBlind(view)) {
                ring_say(view->props.ring, RING_ALERT, nowMs,
                         "another seat sees many more members: hands the lock over");
                view->blindSinceMs = 0;
                leadDown(view, SLOW_DISK_REST_MS);
            } else if (viewTend(view, skip)) {
                (void)viewOpen(view, skip); /* the next turn looks again */
            }
        } else if (view->phase == VIEW_FOLLOWING && !mayStand(view)) {
            againMs = 0;
        } else if (view->phase == VIEW_FOLLOWING) {
            if (!view->named && againMs == 0) /* one that the last holder named goes first */
                loopSleep(view->loop, turnMs(view));
            view->named = false;
            if (view->phase == VIEW_FOLLOWING && mayStand(view)) {
                const bool skip[SEAT_MOST] = {false};
                /* grants lapse one after another: at first it looks again soon */
                againMs = viewOpen(view, skip) == STATUS_OK ? 0
                          : againMs == 0                    ? PROPOSE_AGAIN_MS
                          : 2 * againMs < PROPOSE_MS        ? 2 * againMs
                                                            : PROPOSE_MS;
                if (againMs > 0)
                    loopSleep(view->loop, againMs + (int64_t)(loopRandom(view->loop) % (uint64_t)(againMs)));
            }
        }
        dueMs = loopNowMs(view->loop) + WATCH_MS;
        /* the moment that the holder's hold lapses is known */
        const int64_t lapseMs = view->lock.holdUntilMs;
        const bool soon = view->phase == VIEW_FOLLOWING && lapseMs > loopNowMs(view->loop) && lapseMs < dueMs;
        signalWait(view->loop, &view->released, soon ? lapseMs : dueMs);
    }
}

void viewWatch(View *view)
{
    loopSpawn(view->loop, "watch", watchMain, view);
}
