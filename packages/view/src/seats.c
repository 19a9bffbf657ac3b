/* The list of voters, as the newest entry of the log has it. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

size_t view_majority(const View *view)
{
    return lock_majority(view->voter_count);
}

int view_voter_of(const View *view, uint64_t disk)
{
    for (int i = 0; i < VOTER_MOST; i++)
        if (view->voters[i] == disk && disk != 0)
            return i;
    return -1;
}

int view_own_voter(const View *view)
{
    return view_voter_of(view, view->disk);
}

size_t view_voters(const View *view, uint64_t voters[VOTER_MOST])
{
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST && view->cluster != 0; i++)
        if (view->voters[i] != 0)
            voters[count++] = view->voters[i];
    return count;
}

uint64_t slot_disk(const View *view, int slot)
{
    return slot >= VOTER_MOST ? view->learners[slot - VOTER_MOST].disk : view->voters[slot];
}

void voters_first(View *view)
{
    view->founded = talloc_zero(view, VoterList);
    view->list = talloc_zero(view, VoterList);
    lock_lease_clear(&view->lease);
}

void voters_founded(View *view, const VoterList *list)
{
    talloc_free(view->founded);
    view->founded = talloc_zero(view, VoterList);
    shape_copy(&VoterList_shape, list, view->founded, view->founded);
}

void voters_take(View *view, const VoterList *list, uint64_t index)
{
    VoterList *copy = talloc_zero(view, VoterList);
    shape_copy(&VoterList_shape, list, copy, copy);
    talloc_free(view->list);
    view->list = copy;
    view->list_index = index;
    view->places = copy->voters_count < VOTER_MOST ? copy->voters_count : VOTER_MOST;
    view->voter_count = 0;
    for (size_t i = 0; i < VOTER_MOST; i++) {
        const uint64_t disk = i < view->places ? copy->voters[i].disk : 0;
        view->voter_count += disk != 0;
        if (view->voters[i] == disk)
            continue;
        view->voters[i] = disk;
        view->in_view[i] = false;
        view->peers[i] = (Peer){.next_index = UINT64_MAX, .renewed_ms = INT64_MIN, .append_since_ms = INT64_MAX};
        view->lease.sent_ms[i] = INT64_MIN;
    }
    view->lease.voters = view->voter_count;
}

static const VoterCore *core_of(const View *view, uint64_t disk)
{
    for (size_t i = 0; i < view->list->cores_count; i++)
        if (view->list->cores[i].disk == disk)
            return &view->list->cores[i];
    return NULL;
}

VoterList *voters_of(const View *view, void *mem, const uint64_t disks[], size_t count)
{
    VoterList *list = talloc_zero(mem, VoterList);
    list->voters = talloc_zero_array(list, DiskId, (unsigned)count);
    list->cores = talloc_zero_array(list, VoterCore, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        list->voters[i].disk = disks[i];
        if (disks[i] == 0)
            continue;
        const Member *member = members_find_disk(view->settings.members, disks[i]);
        const VoterCore *core = core_of(view, disks[i]);
        VoterCore *to = &list->cores[list->cores_count++];
        *to = (VoterCore){disks[i], "", "", ""};
        if (member != NULL)
            *to = (VoterCore){disks[i], member->record.name, member->record.zone, member->record.address};
        else if (core != NULL)
            *to = *core;
    }
    list->voters_count = count;
    return list;
}

VoterList *voters_with(const View *view, void *mem, int place, uint64_t disk)
{
    uint64_t disks[VOTER_MOST];
    size_t count = 0;
    for (int i = 0; i < VOTER_MOST; i++) {
        disks[i] = i == place ? disk : view->voters[i];
        if (disks[i] != 0)
            count = (size_t)i + 1;
    }
    return voters_of(view, mem, disks, count);
}

bool voter_address(const View *view, int place, char address[ADDRESS_MAX])
{
    const uint64_t disk = slot_disk(view, place);
    const Member *member = members_find_disk(view->settings.members, disk);
    const VoterCore *core = core_of(view, disk);
    const char *found = member != NULL ? member->record.address : core != NULL ? core->address : "";
    strncpy(address, found, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return disk != 0 && address[0] != '\0';
}

bool voter_dead(const View *view, uint64_t disk, bool same_address)
{
    const VoterCore *core = core_of(view, disk);
    if (core == NULL || core->name[0] == '\0')
        return false;
    const Member *other = members_other_disk(view->settings.members, core->name, disk);
    return other != NULL && (!same_address || strcmp(other->record.address, core->address) == 0);
}

const char *voter_zone(const View *view, uint64_t disk)
{
    const Member *member = members_find_disk(view->settings.members, disk);
    const VoterCore *core = core_of(view, disk);
    return member != NULL ? member->record.zone : core != NULL ? core->zone : "";
}
