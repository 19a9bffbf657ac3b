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
static bool threeEmpty(const Core *core, uint64_t disks[SEAT_COUNT])
{
    const MemberTable *table = membersTable(core->members);
    const int64_t nowMs = loopNowMs(core->loop);
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
    Core *core = arg;
    const FoundAsk *ask = question;
    (void)mem;
    const uint64_t known = courierCluster(core->courier);
    Status status = STATUS_STRANGER;
    uint64_t seats[SEAT_COUNT] = {0};
    bool mine = false;
    for (size_t i = 0; i < ask->seatsCount && i < SEAT_COUNT; i++) {
        seats[i] = ask->seats[i].disk;
        mine |= seats[i] == viewDisk(core->view);
    }
    if (ask->seatsCount == SEAT_COUNT && mine && ask->cluster != 0 && (known == 0 || known == ask->cluster))
        status = viewFound(core->view, ask->cluster, seats);
    ((FoundAnswer *)answer)->cluster = courierCluster(core->courier);
    return status;
}

static void offer(Core *core, const uint64_t disks[SEAT_COUNT], uint64_t cluster)
{
    for (int i = 0; i < SEAT_COUNT; i++) {
        const Member *member = membersFindDisk(core->members, disks[i]);
        if (disks[i] == viewDisk(core->view) || member == NULL || !member->record.empty)
            continue;
        void *mem = talloc_new(core);
        FoundAsk ask = {cluster, talloc_array(mem, DiskId, SEAT_COUNT), SEAT_COUNT};
        for (int k = 0; k < SEAT_COUNT; k++)
            ask.seats[k].disk = disks[k];
        FoundAnswer answer = {0};
        courierAsk(core->courier, mem, talloc_strdup(mem, member->record.address), MESSAGE_FOUND, &FoundAskShape, &ask,
                   ASK_EXPIRY_MS, &FoundAnswerShape, &answer);
        talloc_free(mem);
    }
}

static void foundMain(void *arg)
{
    Core *core = arg;
    uint64_t before[SEAT_COUNT] = {0};
    int64_t sinceMs = 0;
    while (!loopStopping(core->loop)) {
        loopSleep(core->loop, 200);
        uint64_t disks[SEAT_COUNT];
        const int64_t nowMs = loopNowMs(core->loop);
        if (viewFounded(core->view)) {
            /* until a first view stands, the others may not have heard the offer */
            if (viewSeats(core->view, disks) == SEAT_COUNT && membersLeaderId(core->members)[0] == '\0' &&
                disks[0] == viewDisk(core->view))
                offer(core, disks, courierCluster(core->courier));
            continue;
        }
        if (courierCluster(core->courier) != 0 || !threeEmpty(core, disks)) {
            sinceMs = 0;
            continue;
        }
        if (sinceMs == 0 || memcmp(disks, before, sizeof(disks)) != 0) {
            sinceMs = nowMs;
            memcpy(before, disks, sizeof(disks));
            continue;
        }
        if (nowMs - sinceMs < FOUND_WAIT_MS || disks[0] != viewDisk(core->view))
            continue;
        const uint64_t cluster = loopRandom(core->loop) | 1;
        if (viewFound(core->view, cluster, disks) == STATUS_OK) {
            ringSay(core->ring, RING_NOTE, nowMs, "founds cluster %016" PRIx64, cluster);
            offer(core, disks, cluster);
        }
    }
}

/* An empty core that has joined and holds no seat; 0: none. */
static uint64_t emptyCore(const Core *core)
{
    const MemberTable *table = membersTable(core->members);
    const int64_t nowMs = loopNowMs(core->loop);
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
    Core *core = arg;
    while (!loopStopping(core->loop)) {
        loopSleep(core->loop, PROPOSE_MS);
        const uint64_t disk = coreDecides(core) ? emptyCore(core) : 0;
        for (int i = 0; i < SEAT_COUNT && disk != 0; i++) {
            if (!viewSeatGone(core->view, i, SEAT_GONE_MS))
                continue;
            if (viewSeatReplace(core->view, i, disk) == STATUS_OK)
                ringSay(core->ring, RING_ALERT, loopNowMs(core->loop), "seat %d is given to disk %016" PRIx64, i + 1,
                        disk);
            break;
        }
    }
}

void foundStart(Core *core)
{
    loopSpawn(core->loop, "replace", replaceMain, core);
    courierHandle(core->courier, MESSAGE_FOUND, &FoundAskShape, &FoundAnswerShape, onFound, core);
    loopSpawn(core->loop, "found", foundMain, core);
}
