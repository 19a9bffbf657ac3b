/* Learners: cores without a vote that follow the log all the time, so that a vote can
 * be given to one of them by one committed change, without a transfer. */
#include <string.h>

#include "inside.h"

int64_t view_back_ms(const View *view)
{
    return view->settings.voter_back_ms > 0 ? view->settings.voter_back_ms : VOTER_GONE_MS;
}

/* A core that runs, is of this cluster and has no vote. One that leaves follows on: it
 * so learns that its vote has been given away. */
bool learner_may_follow(const View *view, const Member *row)
{
    return row->record.role == ROLE_CORE && row->record.disk != 0 && !member_quiet(row, loop_now_ms(view->loop)) &&
           view_voter_of(view, row->record.disk) < 0 && row->record.cluster == view->cluster;
}

static bool follows(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        if (view->learners[i].disk == disk)
            return true;
    return false;
}

void learner_done(View *view, size_t learner)
{
    Learner *slot = &view->learners[learner];
    slot->disk = 0;
    slot->turn++;
    slot->ready_since_ms = INT64_MAX;
}

void learners_clear(View *view)
{
    for (size_t i = 0; i < LEARNER_MOST; i++)
        learner_done(view, i);
    view->learners_turn = view->lead_turn;
}

static void learner_begin(View *view, size_t learner, uint64_t disk)
{
    Learner *slot = &view->learners[learner];
    const int place = VOTER_MOST + (int)learner;
    *slot = (Learner){disk, slot->turn + 1, loop_now_ms(view->loop), INT64_MAX};
    view->peers[place] =
        (Peer){.next_index = log_last_index(view->log) + 1, .renewed_ms = INT64_MIN, .append_since_ms = INT64_MAX};
    lead_renew(view, place);
    lead_peer(view, place);
}

bool learner_ready(const View *view, size_t learner)
{
    const Peer *peer = &view->peers[VOTER_MOST + learner];
    const int64_t now_ms = loop_now_ms(view->loop);
    return view->learners[learner].disk != 0 && peer->match_index > 0 &&
           peer->match_index + LOG_BATCH_ENTRIES >= log_last_index(view->log) && peer->renewed_ms != INT64_MIN &&
           now_ms - peer->renewed_ms < 2 * LOCK_RENEW_MS && peer->append_took_ms < VOTER_SLOW_MS;
}

bool learner_steady(const View *view, size_t learner)
{
    const int64_t since_ms = view->learners[learner].ready_since_ms;
    return since_ms != INT64_MAX && loop_now_ms(view->loop) - since_ms > view_back_ms(view);
}

static void ready_mark(View *view)
{
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        Learner *slot = &view->learners[i];
        if (!learner_ready(view, i))
            slot->ready_since_ms = INT64_MAX;
        else if (slot->ready_since_ms == INT64_MAX)
            slot->ready_since_ms = loop_now_ms(view->loop);
    }
}

/* A free slot for the disk; -1: none. One that has not become ready in time makes way. */
static int slot_for(View *view, uint64_t disk)
{
    for (int i = 0; i < LEARNER_MOST; i++)
        if (view->learners[i].disk == 0)
            return i;
    if (disk == view->learners_passed)
        return -1;
    for (int i = 0; i < LEARNER_MOST; i++) {
        const Learner *slot = &view->learners[i];
        if (slot->ready_since_ms == INT64_MAX && loop_now_ms(view->loop) - slot->since_ms > LEARNER_LATE_MS) {
            view->learners_passed = slot->disk;
            return i;
        }
    }
    return -1;
}

void learners_follow(View *view)
{
    if (view->learners_turn != view->lead_turn)
        learners_clear(view);
    for (size_t i = 0; i < LEARNER_MOST; i++) {
        const Member *row = members_find_disk(view->settings.members, view->learners[i].disk);
        if (view->learners[i].disk != 0 && (row == NULL || !learner_may_follow(view, row)))
            learner_done(view, i);
    }
    ready_mark(view);
    const MemberTable *table = members_table(view->settings.members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!learner_may_follow(view, row) || follows(view, row->record.disk))
            continue;
        const int slot = slot_for(view, row->record.disk);
        if (slot >= 0)
            learner_begin(view, (size_t)slot, row->record.disk);
    }
}
