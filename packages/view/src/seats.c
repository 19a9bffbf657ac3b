/* The list of voters, as the newest entry of the log has it. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

size_t viewMajority(const View *view)
{
    return lock_majority(view->seatCount);
}

int viewSeatOf(const View *view, uint64_t disk)
{
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] == disk && disk != 0)
            return i;
    return -1;
}

int viewOwnSeat(const View *view)
{
    return viewSeatOf(view, view->disk);
}

size_t viewSeats(const View *view, uint64_t seats[SEAT_MOST])
{
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST && view->cluster != 0; i++)
        if (view->seats[i] != 0)
            seats[count++] = view->seats[i];
    return count;
}

uint64_t slotDisk(const View *view, int slot)
{
    return slot >= SEAT_MOST ? view->learners[slot - SEAT_MOST].disk : view->seats[slot];
}

void seatsFirst(View *view)
{
    view->founded = talloc_zero(view, SeatList);
    view->list = talloc_zero(view, SeatList);
    lock_hold_clear(&view->hold);
}

void seatsFounded(View *view, const SeatList *list)
{
    talloc_free(view->founded);
    view->founded = talloc_zero(view, SeatList);
    shape_copy(&SeatListShape, list, view->founded, view->founded);
}

void seatsTake(View *view, const SeatList *list, uint64_t index)
{
    SeatList *copy = talloc_zero(view, SeatList);
    shape_copy(&SeatListShape, list, copy, copy);
    talloc_free(view->list);
    view->list = copy;
    view->listIndex = index;
    view->places = copy->seatsCount < SEAT_MOST ? copy->seatsCount : SEAT_MOST;
    view->seatCount = 0;
    for (size_t i = 0; i < SEAT_MOST; i++) {
        const uint64_t disk = i < view->places ? copy->seats[i].disk : 0;
        view->seatCount += disk != 0;
        if (view->seats[i] == disk)
            continue;
        view->seats[i] = disk;
        view->inView[i] = false;
        view->peers[i] = (Peer){.nextIndex = UINT64_MAX, .renewedMs = INT64_MIN, .appendSinceMs = INT64_MAX};
        view->hold.sent_ms[i] = INT64_MIN;
    }
    view->hold.seats = view->seatCount;
}

static const SeatCore *coreOf(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->list->coresCount; i++)
        if (view->list->cores[i].disk == disk)
            return &view->list->cores[i];
    return NULL;
}

SeatList *seatsOf(const View *view, void *mem, const uint64_t disks[], size_t count)
{
    SeatList *list = talloc_zero(mem, SeatList);
    list->seats = talloc_zero_array(list, DiskId, (unsigned)count);
    list->cores = talloc_zero_array(list, SeatCore, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        list->seats[i].disk = disks[i];
        if (disks[i] == 0)
            continue;
        const Member *member = members_find_disk(view->props.members, disks[i]);
        const SeatCore *core = coreOf(view, disks[i]);
        SeatCore *to = &list->cores[list->coresCount++];
        *to = (SeatCore){disks[i], "", "", ""};
        if (member != NULL)
            *to = (SeatCore){disks[i], member->record.name, member->record.zone, member->record.address};
        else if (core != NULL)
            *to = *core;
    }
    list->seatsCount = count;
    return list;
}

SeatList *seatsWith(const View *view, void *mem, int place, uint64_t disk)
{
    uint64_t disks[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        disks[i] = i == place ? disk : view->seats[i];
        if (disks[i] != 0)
            count = (size_t)i + 1;
    }
    return seatsOf(view, mem, disks, count);
}

bool seatAddress(const View *view, int place, char address[ADDRESS_MAX])
{
    const uint64_t disk = slotDisk(view, place);
    const Member *member = members_find_disk(view->props.members, disk);
    const SeatCore *core = coreOf(view, disk);
    const char *found = member != NULL ? member->record.address : core != NULL ? core->address : "";
    strncpy(address, found, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return disk != 0 && address[0] != '\0';
}

bool seatDead(const View *view, uint64_t disk, bool sameAddress)
{
    const SeatCore *core = coreOf(view, disk);
    if (core == NULL || core->name[0] == '\0')
        return false;
    const Member *other = members_other_disk(view->props.members, core->name, disk);
    return other != NULL && (!sameAddress || strcmp(other->record.address, core->address) == 0);
}

const char *seatZone(const View *view, uint64_t disk)
{
    const Member *member = members_find_disk(view->props.members, disk);
    const SeatCore *core = coreOf(view, disk);
    return member != NULL ? member->record.zone : core != NULL ? core->zone : "";
}
