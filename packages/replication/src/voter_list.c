/* The list of voters, from the newest entry of the log that holds one, committed or not; and the address of each
 * voter. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "snapshot.h"
#include "state.h"
#include "voter_list.h"

size_t replication_majority(const Replication *replication)
{
    return lock_majority(replication->voter_count);
}

int replication_voter_of(const Replication *replication, uint64_t disk)
{
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] == disk && disk != 0)
            return i;
    return -1;
}

int replication_own_voter(const Replication *replication)
{
    return replication_voter_of(replication, replication->disk);
}

size_t replication_voters(const Replication *replication, uint64_t voters[VOTERS_MAX])
{
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX && replication->cluster != 0; i++)
        if (replication->voters[i] != 0)
            voters[count++] = replication->voters[i];
    return count;
}

uint64_t slot_disk(const Replication *replication, int slot)
{
    return slot >= VOTERS_MAX ? replication->learners[slot - VOTERS_MAX].disk : replication->voters[slot];
}

void voter_list_init(Replication *replication)
{
    replication->founded = talloc_zero(replication, VoterList);
    replication->list = talloc_zero(replication, VoterList);
    lock_lease_clear(&replication->lease);
}

void voter_list_set_initial(Replication *replication, const VoterList *list)
{
    talloc_free(replication->founded);
    replication->founded = talloc_zero(replication, VoterList);
    shape_copy(&VoterList_shape, list, replication->founded, replication->founded);
}

void voter_list_set(Replication *replication, const VoterList *list, uint64_t index)
{
    VoterList *copy = talloc_zero(replication, VoterList);
    shape_copy(&VoterList_shape, list, copy, copy);
    talloc_free(replication->list);
    replication->list = copy;
    replication->list_index = index;
    replication->places = copy->voters_count < VOTERS_MAX ? copy->voters_count : VOTERS_MAX;
    replication->voter_count = 0;
    for (size_t i = 0; i < VOTERS_MAX; i++) {
        const uint64_t disk = i < replication->places ? copy->voters[i].disk : 0;
        replication->voter_count += disk != 0;
        if (replication->voters[i] == disk)
            continue;
        replication->voters[i] = disk;
        replication->in_view[i] = false;
        replication->peers[i] = (Peer){.next_index = UINT64_MAX,
                                       .renewed_ms = INT64_MIN,
                                       .append_since_ms = INT64_MAX,
                                       .refuses_since_ms = INT64_MAX};
        replication->lease.until_ms[i] = INT64_MIN;
    }
    replication->lease.voters = replication->voter_count;
}

/* Makes a copy of the record the last view. */
static void last_view_set(Replication *replication, const TermRecord *record)
{
    talloc_free(replication->last_view_mem);
    replication->last_view_mem = talloc_new(replication);
    shape_copy(&TermRecord_shape, record, replication->last_view_mem, &replication->last_view);
}

/* Checks that a list known to be committed is followed by later ones only. If the log holds an older one, the disk has
 * lost data, and this node stops voting. */
static void list_check(Replication *replication, uint64_t index)
{
    if (replication->list_index <= replication->commit_index &&
        replication->list_index > replication->list_committed_index)
        replication->list_committed_index = replication->list_index;
    if (!replication->settings.disks_durable || index >= replication->list_committed_index ||
        replication->list_reverted)
        return;
    replication->list_reverted = true;
    recorder_write(replication->settings.recorder, RECORDER_ALERT, loop_now_ms(replication->loop),
                   "the list of voters went back from entry %" PRIu64 " to %" PRIu64 ": votes no more",
                   replication->list_committed_index, index);
}

/* The state of searching the log backwards for the list of voters and the last view. */
typedef struct VoterScan {
    void *mem;
    VoterList list;
    uint64_t list_index; /* of the entry or of the snapshot */
    TermRecord last;
    bool list_found, last_found;
    bool repaired; /* a REPAIRED entry follows the last view */
} VoterScan;

static void voter_scan_entry(VoterScan *reread, const Record *entry)
{
    if (entry->change == REPLICATION_CHANGE_VOTERS && !reread->list_found &&
        shape_unpack(&VoterList_shape, entry->payload, reread->mem, &reread->list, NULL) == STATUS_OK) {
        reread->list_found = true;
        reread->list_index = entry->index;
    }
    if (entry->change == REPLICATION_CHANGE_REPAIRED && !reread->last_found)
        reread->repaired = true;
    if (entry->change == REPLICATION_CHANGE_TERM && !reread->last_found)
        reread->last_found =
            shape_unpack(&TermRecord_shape, entry->payload, reread->mem, &reread->last, NULL) == STATUS_OK;
}

/* Reads from the snapshot what was found in no entry. */
static void voter_scan_snapshot(VoterScan *reread, const Log *log)
{
    Snapshot snapshot;
    if ((reread->list_found && reread->last_found) || log->snapshot.kind != RECORD_SNAPSHOT ||
        shape_unpack(&Snapshot_shape, log->snapshot.payload, reread->mem, &snapshot, NULL) != STATUS_OK)
        return;
    if (!reread->list_found) {
        reread->list =
            (VoterList){snapshot.voters, snapshot.voters_count, snapshot.controllers, snapshot.controllers_count};
        reread->list_index = log->base_index;
    }
    if (!reread->last_found)
        reread->last = snapshot.last;
    reread->list_found = reread->last_found = true;
}

static void voters_changed_log(const Replication *replication)
{
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%zu voters", replication->voter_count);
    log_event(replication->settings.recorder, LOG_VOTERS_CHANGED, loop_now_ms(replication->loop),
              &(LogFields){.index = replication->list_index, .text = text});
}

void voters_reload(Replication *replication)
{
    const Log *log = replication->log;
    VoterScan reread = {.mem = talloc_new(replication)};
    for (size_t i = log->count; i > 0 && !(reread.list_found && reread.last_found); i--)
        voter_scan_entry(&reread, &log->entries[i - 1]);
    voter_scan_snapshot(&reread, log);
    list_check(replication, reread.list_index);
    uint64_t before[VOTERS_MAX];
    memcpy(before, replication->voters, sizeof(before));
    voter_list_set(replication, reread.list_found ? &reread.list : replication->founded, reread.list_index);
    if (memcmp(before, replication->voters, sizeof(before)) != 0)
        voters_changed_log(replication);
    if (reread.last_found) {
        last_view_set(replication, &reread.last);
        replication->last_view.repair &= !reread.repaired;
    }
    talloc_free(reread.mem);
}

/* The controller that had the disk when the disk became a voter; NULL: the disk is not in the list. */
static const VoterController *controller_of(const Replication *replication, uint64_t disk)
{
    for (size_t i = 0; i < replication->list->controllers_count; i++)
        if (replication->list->controllers[i].disk == disk)
            return &replication->list->controllers[i];
    return NULL;
}

VoterList *voter_list_new(const Replication *replication, void *mem, const uint64_t disks[], size_t count)
{
    VoterList *list = talloc_zero(mem, VoterList);
    list->voters = talloc_zero_array(list, DiskId, (unsigned)count);
    list->controllers = talloc_zero_array(list, VoterController, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        list->voters[i].disk = disks[i];
        if (disks[i] == 0)
            continue;
        const Member *member = members_find_disk(replication->settings.members, disks[i]);
        const VoterController *controller = controller_of(replication, disks[i]);
        VoterController *to = &list->controllers[list->controllers_count++];
        *to = (VoterController){disks[i], "", "", ""};
        if (member != NULL)
            *to = (VoterController){disks[i], member->record.name, member->record.zone, member->record.address};
        else if (controller != NULL)
            *to = *controller;
    }
    list->voters_count = count;
    return list;
}

VoterList *voter_list_with(const Replication *replication, void *mem, int place, uint64_t disk)
{
    uint64_t disks[VOTERS_MAX];
    size_t count = 0;
    for (int i = 0; i < VOTERS_MAX; i++) {
        disks[i] = i == place ? disk : replication->voters[i];
        if (disks[i] != 0)
            count = (size_t)i + 1;
    }
    return voter_list_new(replication, mem, disks, count);
}

bool voter_address(const Replication *replication, int place, char address[ADDRESS_MAX])
{
    const uint64_t disk = slot_disk(replication, place);
    const Member *member = members_find_disk(replication->settings.members, disk);
    const VoterController *controller = controller_of(replication, disk);
    const char *found = member != NULL ? member->record.address : controller != NULL ? controller->address : "";
    strncpy(address, found, ADDRESS_MAX - 1);
    address[ADDRESS_MAX - 1] = '\0';
    return disk != 0 && address[0] != '\0';
}

bool voter_disk_replaced(const Replication *replication, uint64_t disk, ReplacementAddress where)
{
    const VoterController *controller = controller_of(replication, disk);
    if (controller == NULL || controller->name[0] == '\0')
        return false;
    const Member *other = members_other_disk(replication->settings.members, controller->name, disk);
    return other != NULL &&
           (where == REPLACEMENT_ANY_ADDRESS || strcmp(other->record.address, controller->address) == 0);
}

const char *voter_zone(const Replication *replication, uint64_t disk)
{
    const Member *member = members_find_disk(replication->settings.members, disk);
    const VoterController *controller = controller_of(replication, disk);
    return member != NULL ? member->record.zone : controller != NULL ? controller->zone : "";
}
