/* Founding: how an empty disk comes to be part of a cluster of its own. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

#define FOUND_ASK_FIELDS(X) \
    X(U64, cluster, 0)      \
    X(LST, voters, DiskId)
SHAPE(FoundAsk, FOUND_ASK_FIELDS)
SHAPE_TABLE(FoundAsk, FOUND_ASK_FIELDS)

#define FOUND_ANSWER_FIELDS(X) X(U64, cluster, 0)
SHAPE(FoundAnswer, FOUND_ANSWER_FIELDS)
SHAPE_TABLE(FoundAnswer, FOUND_ANSWER_FIELDS)

static Status found_now(View *view, uint64_t cluster, const uint64_t disks[], size_t count)
{
    void *mem = talloc_new(view);
    const Status status = view_found(view, cluster, voters_of(view, mem, disks, count));
    talloc_free(mem);
    return status;
}

/* --- by the seeds' votes --------------------------------------------------------- */

/* The empty core with the lowest disk that it has heard of stands; with the votes
 * of a majority of the seeds it founds, alone, and then gives voters to the others. */
static void votes_main(void *arg)
{
    View *view = arg;
    Members *members = view->settings.members;
    const int64_t from_ms = loop_now_ms(view->loop) + VOTE_WAIT_MS;
    uint64_t round = 1;
    bool stands = false;
    while (!loop_stopping(view->loop) && !view_founded(view) && rpc_cluster(view->settings.rpc) == 0) {
        loop_sleep(view->loop, VOTE_WAIT_MS / 6);
        size_t seeds;
        if (members_lowest_empty(members) != view->disk) {
            if (stands && members_votes(members, view->disk, round, true, &seeds) == seeds) {
                stands = false;
                round++;
            }
        } else if (loop_now_ms(view->loop) >= from_ms) {
            stands = true;
            const size_t granted = members_votes(members, view->disk, round, false, &seeds);
            if (granted < seeds / 2 + 1 || rpc_cluster(view->settings.rpc) != 0)
                continue;
            const uint64_t cluster = loop_random(view->loop) | 1;
            view->named = true; /* nobody else can stand */
            if (found_now(view, cluster, &view->disk, 1) == STATUS_OK)
                recorder_write(view->settings.recorder, RECORDER_NOTE, loop_now_ms(view->loop),
                               "founds cluster %016" PRIx64, cluster);
        }
    }
}

/* --- by three disks --------------------------------------------------------------- */

/* The three empty disks in the order of their ids; false when there are not
 * exactly three or when anybody knows a cluster. */
static bool three_empty(const View *view, uint64_t disks[VOTER_FIRST])
{
    const MemberTable *table = members_table(view->settings.members);
    const int64_t now_ms = loop_now_ms(view->loop);
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.cluster != 0)
            return false;
        if (row->record.role != ROLE_CORE || member_quiet(row, now_ms))
            continue;
        if (!row->record.empty || row->direct_ms == INT64_MIN || count == VOTER_FIRST)
            return false;
        disks[count++] = row->record.disk;
    }
    for (size_t i = 1; i < count; i++)
        for (size_t k = i; k > 0 && disks[k] < disks[k - 1]; k--) {
            const uint64_t swap = disks[k];
            disks[k] = disks[k - 1];
            disks[k - 1] = swap;
        }
    return count == VOTER_FIRST;
}

static Status on_found(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const FoundAsk *ask = question;
    (void)mem;
    const uint64_t known = rpc_cluster(view->settings.rpc);
    Status status = STATUS_STRANGER;
    uint64_t voters[VOTER_FIRST] = {0};
    bool mine = false;
    for (size_t i = 0; i < ask->voters_count && i < VOTER_FIRST; i++) {
        voters[i] = ask->voters[i].disk;
        mine |= voters[i] == view_disk(view);
    }
    if (ask->voters_count == VOTER_FIRST && mine && ask->cluster != 0 && (known == 0 || known == ask->cluster))
        status = found_now(view, ask->cluster, voters, VOTER_FIRST);
    ((FoundAnswer *)answer)->cluster = rpc_cluster(view->settings.rpc);
    return status;
}

static void offer(View *view, const uint64_t disks[VOTER_FIRST], uint64_t cluster)
{
    for (int i = 0; i < VOTER_FIRST; i++) {
        const Member *member = members_find_disk(view->settings.members, disks[i]);
        if (disks[i] == view_disk(view) || member == NULL || !member->record.empty)
            continue;
        void *mem = talloc_new(view);
        FoundAsk ask = {cluster, talloc_array(mem, DiskId, VOTER_FIRST), VOTER_FIRST};
        for (int k = 0; k < VOTER_FIRST; k++)
            ask.voters[k].disk = disks[k];
        FoundAnswer answer = {0};
        rpc_ask(view->settings.rpc, mem, talloc_strdup(mem, member->record.address), MESSAGE_FOUND, &FoundAsk_shape,
                &ask, ASK_TIMEOUT_MS, &FoundAnswer_shape, &answer);
        talloc_free(mem);
    }
}

/* The one with the lowest id offers, the others accept. */
static void three_main(void *arg)
{
    View *view = arg;
    uint64_t before[VOTER_FIRST] = {0};
    int64_t since_ms = 0;
    while (!loop_stopping(view->loop)) {
        loop_sleep(view->loop, 200);
        uint64_t disks[VOTER_MOST];
        const int64_t now_ms = loop_now_ms(view->loop);
        if (view_founded(view)) {
            /* until a first view stands, the others may not have heard the offer */
            if (view_voters(view, disks) != VOTER_FIRST || members_leader_id(view->settings.members)[0] != '\0')
                return;
            if (disks[0] == view_disk(view))
                offer(view, disks, rpc_cluster(view->settings.rpc));
            continue;
        }
        if (rpc_cluster(view->settings.rpc) != 0 || !three_empty(view, disks)) {
            since_ms = 0;
            continue;
        }
        if (since_ms == 0 || memcmp(disks, before, sizeof(before)) != 0) {
            since_ms = now_ms;
            memcpy(before, disks, sizeof(before));
            continue;
        }
        if (now_ms - since_ms < FOUND_WAIT_MS || disks[0] != view_disk(view))
            continue;
        const uint64_t cluster = loop_random(view->loop) | 1;
        if (found_now(view, cluster, disks, VOTER_FIRST) == STATUS_OK) {
            recorder_write(view->settings.recorder, RECORDER_NOTE, now_ms, "founds cluster %016" PRIx64, cluster);
            offer(view, disks, cluster);
        }
    }
}

void view_founding(View *view)
{
    members_set_voter(view->settings.members, view->settings.founds == VIEW_FOUNDS_BY_VOTES);
    if (view->settings.founds == VIEW_FOUNDS_BY_VOTES && !view_founded(view))
        loop_spawn(view->loop, "votes", votes_main, view);
    if (view->settings.founds != VIEW_FOUNDS_BY_THREE)
        return;
    rpc_handle(view->settings.rpc, MESSAGE_FOUND, &FoundAsk_shape, &FoundAnswer_shape, on_found, view);
    loop_spawn(view->loop, "found", three_main, view);
}
