/* The list of voters, as the newest entry of the log has it. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

size_t view_majority(const View *view)
{
    return lock_majority(view->seat_count);
}

int view_seat_of(const View *view, uint64_t disk)
{
    for (int i = 0; i < SEAT_MOST; i++)
        if (view->seats[i] == disk && disk != 0)
            return i;
    return -1;
}

int view_own_seat(const View *view)
{
    return view_seat_of(view, view->disk);
}

size_t view_seats(const View *view, uint64_t seats[SEAT_MOST])
{
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST && view->cluster != 0; i++)
        if (view->seats[i] != 0)
            seats[count++] = view->seats[i];
    return count;
}

uint64_t slot_disk(const View *view, int slot)
{
    return slot >= SEAT_MOST ? view->learners[slot - SEAT_MOST].disk : view->seats[slot];
}

void seats_first(View *view)
{
    view->founded = talloc_zero(view, SeatList);
    view->list = talloc_zero(view, SeatList);
    lock_lease_clear(&view->lease);
}

void seats_founded(View *view, const SeatList *list)
{
    talloc_free(view->founded);
    view->founded = talloc_zero(view, SeatList);
    shape_copy(&SeatList_shape, list, view->founded, view->founded);
}

void seats_take(View *view, const SeatList *list, uint64_t index)
{
    SeatList *copy = talloc_zero(view, SeatList);
    shape_copy(&SeatList_shape, list, copy, copy);
    talloc_free(view->list);
    view->list = copy;
    view->list_index = index;
    view->places = copy->seats_count < SEAT_MOST ? copy->seats_count : SEAT_MOST;
    view->seat_count = 0;
    for (size_t i = 0; i < SEAT_MOST; i++) {
        const uint64_t disk = i < view->places ? copy->seats[i].disk : 0;
        view->seat_count += disk != 0;
        if (view->seats[i] == disk)
            continue;
        view->seats[i] = disk;
        view->in_view[i] = false;
        view->peers[i] = (Peer){.next_index = UINT64_MAX, .renewed_ms = INT64_MIN, .append_since_ms = INT64_MAX};
        view->lease.sent_ms[i] = INT64_MIN;
    }
    view->lease.seats = view->seat_count;
}

static const SeatCore *core_of(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->list->cores_count; i++)
        if (view->list->cores[i].disk == disk)
            return &view->list->cores[i];
    return NULL;
}

SeatList *seats_of(const View *view, void *mem, const uint64_t disks[], size_t count)
{
    SeatList *list = talloc_zero(mem, SeatList);
    list->seats = talloc_zero_array(list, DiskId, (unsigned)count);
    list->cores = talloc_zero_array(list, SeatCore, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        list->seats[i].disk = disks[i];
        if (disks[i] == 0)
            continue;
        const Member *member = members_find_disk(view->settings.members, disks[i]);
        const SeatCore *core = core_of(view, disks[i]);
        SeatCore *to = &list->cores[list->cores_count++];
        *to = (SeatCore){disks[i], "", "", ""};
        if (member != NULL)
            *to = (SeatCore){disks[i], member->record.name, member->record.zone, member->record.address};
        else if (core != NULL)
            *to = *core;
    }
    list->seats_count = count;
    return list;
}

SeatList *seats_with(const View *view, void *mem, int place, uint64_t disk)
{
    uint64_t disks[SEAT_MOST];
    size_t count = 0;
    for (int i = 0; i < SEAT_MOST; i++) {
        disks[i] = i == place ? disk : view->seats[i];
        if (disks[i] != 0)
            count = (size_t)i + 1;
    }
    return seats_of(view, mem, disks, count);
}

bool seat_address(const View *view, int place, char address[ADDRESS_MAX])
{
    const uint64_t disk = slot_disk(view, place);
    const Member *member = members_find_disk(view->settings.members, disk);
    const SeatCore *core = core_of(view, disk);
    const char *found = member != NULL ? member->record.address : core != NULL ? core->address : "";
    strncpy(address, found, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return disk != 0 && address[0] != '\0';
}

bool seat_dead(const View *view, uint64_t disk, bool same_address)
{
    const SeatCore *core = core_of(view, disk);
    if (core == NULL || core->name[0] == '\0')
        return false;
    const Member *other = members_other_disk(view->settings.members, core->name, disk);
    return other != NULL && (!same_address || strcmp(other->record.address, core->address) == 0);
}

const char *seat_zone(const View *view, uint64_t disk)
{
    const Member *member = members_find_disk(view->settings.members, disk);
    const SeatCore *core = core_of(view, disk);
    return member != NULL ? member->record.zone : core != NULL ? core->zone : "";
}
