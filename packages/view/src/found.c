/* Founding: exactly three empty disks that see each other, and nobody in reach
 * remembers a cluster. The one with the lowest id offers, the others accept. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

#define FOUND_ASK_FIELDS(X) X(U64, cluster, 0) X(LST, seats, DiskId)
SHAPE(FoundAsk, FOUND_ASK_FIELDS)
SHAPE_TABLE(FoundAsk, FOUND_ASK_FIELDS)

#define FOUND_ANSWER_FIELDS(X) X(U64, cluster, 0)
SHAPE(FoundAnswer, FOUND_ANSWER_FIELDS)
SHAPE_TABLE(FoundAnswer, FOUND_ANSWER_FIELDS)

/* The three empty disks in the order of their ids; false when there are not
 * exactly three or when anybody knows a cluster. */
static bool threeEmpty(const View *view, uint64_t disks[SEAT_COUNT])
{
    const MemberTable *table = membersTable(view->props.members);
    const int64_t nowMs = loopNowMs(view->loop);
    size_t count = 0;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.cluster != 0)
            return false;
        if (row->record.role != ROLE_CORE || memberQuiet(row, nowMs))
            continue;
        if (!row->record.empty || row->directMs == INT64_MIN || count == SEAT_COUNT)
            return false;
        disks[count++] = row->record.disk;
    }
    for (size_t i = 1; i < count; i++)
        for (size_t k = i; k > 0 && disks[k] < disks[k - 1]; k--) {
            const uint64_t swap = disks[k];
            disks[k] = disks[k - 1];
            disks[k - 1] = swap;
        }
    return count == SEAT_COUNT;
}

static Status onFound(void *arg, void *mem, const void *question, void *answer)
{
    View *view = arg;
    const FoundAsk *ask = question;
    (void)mem;
    const uint64_t known = courierCluster(view->props.courier);
    Status status = STATUS_STRANGER;
    uint64_t seats[SEAT_COUNT] = {0};
    bool mine = false;
    for (size_t i = 0; i < ask->seatsCount && i < SEAT_COUNT; i++) {
        seats[i] = ask->seats[i].disk;
        mine |= seats[i] == viewDisk(view);
    }
    if (ask->seatsCount == SEAT_COUNT && mine && ask->cluster != 0 && (known == 0 || known == ask->cluster))
        status = viewFound(view, ask->cluster, seats);
    ((FoundAnswer *)answer)->cluster = courierCluster(view->props.courier);
    return status;
}

static void offer(View *view, const uint64_t disks[SEAT_COUNT], uint64_t cluster)
{
    for (int i = 0; i < SEAT_COUNT; i++) {
        const Member *member = membersFindDisk(view->props.members, disks[i]);
        if (disks[i] == viewDisk(view) || member == NULL || !member->record.empty)
            continue;
        void *mem = talloc_new(view);
        FoundAsk ask = {cluster, talloc_array(mem, DiskId, SEAT_COUNT), SEAT_COUNT};
        for (int k = 0; k < SEAT_COUNT; k++)
            ask.seats[k].disk = disks[k];
        FoundAnswer answer = {0};
        courierAsk(view->props.courier, mem, talloc_strdup(mem, member->record.address), MESSAGE_FOUND, &FoundAskShape, &ask,
                   ASK_EXPIRY_MS, &FoundAnswerShape, &answer);
        talloc_free(mem);
    }
}

static void foundMain(void *arg)
{
    View *view = arg;
    uint64_t before[SEAT_COUNT] = {0};
    int64_t sinceMs = 0;
    while (!loopStopping(view->loop)) {
        loopSleep(view->loop, 200);
        uint64_t disks[SEAT_COUNT];
        const int64_t nowMs = loopNowMs(view->loop);
        if (viewFounded(view)) {
            /* until a first view stands, the others may not have heard the offer */
            if (viewSeats(view, disks) == SEAT_COUNT && membersLeaderId(view->props.members)[0] == '\0' &&
                disks[0] == viewDisk(view))
                offer(view, disks, courierCluster(view->props.courier));
            continue;
        }
        if (courierCluster(view->props.courier) != 0 || !threeEmpty(view, disks)) {
            sinceMs = 0;
            continue;
        }
        if (sinceMs == 0 || memcmp(disks, before, sizeof(disks)) != 0) {
            sinceMs = nowMs;
            memcpy(before, disks, sizeof(disks));
            continue;
        }
        if (nowMs - sinceMs < FOUND_WAIT_MS || disks[0] != viewDisk(view))
            continue;
        const uint64_t cluster = loopRandom(view->loop) | 1;
        if (viewFound(view, cluster, disks) == STATUS_OK) {
            ringSay(view->props.ring, RING_NOTE, nowMs, "founds cluster %016" PRIx64, cluster);
            offer(view, disks, cluster);
        }
    }
}

/* An empty core that has joined and holds no seat; 0: none. */
static uint64_t emptyCore(const View *view)
{
    const MemberTable *table = membersTable(view->props.members);
    const int64_t nowMs = loopNowMs(view->loop);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.role == ROLE_CORE && row->record.empty && !row->record.leaving && !memberQuiet(row, nowMs) &&
            row->directMs != INT64_MIN && nowMs - row->directMs < MEMBER_QUIET_MS)
            return row->record.disk;
    }
    return 0;
}

/* Replacement: the leader offers the seat of a disk gone for long to an empty
 * core, one seat at a time. */
static void replaceMain(void *arg)
{
    View *view = arg;
    while (!loopStopping(view->loop)) {
        loopSleep(view->loop, PROPOSE_MS);
        const uint64_t disk = viewLeading(view) ? emptyCore(view) : 0;
        for (int i = 0; i < SEAT_COUNT && disk != 0; i++) {
            if (!viewSeatGone(view, i, SEAT_GONE_MS))
                continue;
            if (viewSeatReplace(view, i, disk) == STATUS_OK)
                ringSay(view->props.ring, RING_ALERT, loopNowMs(view->loop), "seat %d is given to disk %016" PRIx64, i + 1,
                        disk);
            break;
        }
    }
}

void viewFounding(View *view)
{
    loopSpawn(view->loop, "replace", replaceMain, view);
    courierHandle(view->props.courier, MESSAGE_FOUND, &FoundAskShape, &FoundAnswerShape, onFound, view);
    loopSpawn(view->loop, "found", foundMain, view);
}
