/* Learners: cores without a vote that follow the log all the time, so that a vote can
 * be given to one of them by one committed change, without a transfer. */
#include <string.h>

#include "inside.h"

int64_t viewBackMs(const View *view)
{
    return view->props.seatBackMs > 0 ? view->props.seatBackMs : SEAT_GONE_MS;
}

/* A core that runs, is of this cluster and has no vote. One that leaves follows on: it
 * so learns that its vote has been given away. */
bool learnerMayFollow(const View *view, const Member *row)
{
    return row->record.role == ROLE_CORE && row->record.disk != 0 && !member_quiet(row, loop_now_ms(view->loop)) &&
           viewSeatOf(view, row->record.disk) < 0 && row->record.cluster == view->cluster;
}

static bool follows(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        if (view->learners[i].disk == disk)
            return true;
    return false;
}

void learnerDone(View *view, size_t learner)
{
    Learner *slot = &view->learners[learner];
    slot->disk = 0;
    slot->turn++;
    slot->readySinceMs = INT64_MAX;
}

void learnersClear(View *view)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        learnerDone(view, i);
    view->learnersTurn = view->leadTurn;
}

static void learnerBegin(View *view, size_t learner, uint64_t disk)
{
    Learner *slot = &view->learners[learner];
    const int place = SEAT_MOST + (int)learner;
    *slot = (Learner){disk, slot->turn + 1, loop_now_ms(view->loop), INT64_MAX};
    view->peers[place] =
        (Peer){.nextIndex = logLastIndex(view->log) + 1, .renewedMs = INT64_MIN, .appendSinceMs = INT64_MAX};
    leadRenew(view, place);
    leadPeer(view, place);
}

bool learnerReady(const View *view, size_t learner)
{
    const Peer *peer = &view->peers[SEAT_MOST + learner];
    const int64_t now_ms = loop_now_ms(view->loop);
    return view->learners[learner].disk != 0 && peer->matchIndex > 0 &&
           peer->matchIndex + LOG_BATCH_ENTRIES >= logLastIndex(view->log) && peer->renewedMs != INT64_MIN &&
           now_ms - peer->renewedMs < 2 * LOCK_RENEW_MS && peer->appendTookMs < SEAT_SLOW_MS;
}

bool learnerSteady(const View *view, size_t learner)
{
    const int64_t since_ms = view->learners[learner].readySinceMs;
    return since_ms != INT64_MAX && loop_now_ms(view->loop) - since_ms > viewBackMs(view);
}

static void readyMark(View *view)
{
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        Learner *slot = &view->learners[i];
        if (!learnerReady(view, i))
            slot->readySinceMs = INT64_MAX;
        else if (slot->readySinceMs == INT64_MAX)
            slot->readySinceMs = loop_now_ms(view->loop);
    }
}

/* A free slot for the disk; -1: none. One that has not become ready in time makes way. */
static int slotFor(View *view, uint64_t disk)
{
    for (int i = 0; i < LEARNER_MOST; i++)
        if (view->learners[i].disk == 0)
            return i;
    if (disk == view->learnersPassed)
        return -1;
    for (int i = 0; i < LEARNER_MOST; i++) {
        const Learner *slot = &view->learners[i];
        if (slot->readySinceMs == INT64_MAX && loop_now_ms(view->loop) - slot->since_ms > LEARNER_LATE_MS) {
            view->learnersPassed = slot->disk;
            return i;
        }
    }
    return -1;
}

void learnersFollow(View *view)
{
    if (view->learnersTurn != view->leadTurn)
        learnersClear(view);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Member *row = members_find_disk(view->props.members, view->learners[i].disk);
        if (view->learners[i].disk != 0 && (row == NULL || !learnerMayFollow(view, row)))
            learnerDone(view, i);
    }
    readyMark(view);
    const MemberTable *table = members_table(view->props.members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!learnerMayFollow(view, row) || follows(view, row->record.disk))
            continue;
        const int slot = slotFor(view, row->record.disk);
        if (slot >= 0)
            learnerBegin(view, (size_t)slot, row->record.disk);
    }
}
