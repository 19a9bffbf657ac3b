/* The membership table: rows ordered by id, how they are found, and how records are merged. Of two records of a member,
 * the one with the higher (incarnation, tick) wins, whoever passed it on. */
#include "table.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/invariant.h"
#include "state.h"
#include "loop/loop.h"
#include "wire/rpc.h"

#define FNV_BASIS 14695981039346656037u
#define FNV_PRIME 1099511628211u
#define ROWS_FIRST 16 /* number of rows allocated at first; doubled when they are used up */

static bool is_newer(const MemberRecord *a, const MemberRecord *b)
{
    return a->incarnation > b->incarnation || (a->incarnation == b->incarnation && a->tick > b->tick);
}

/* --- rows ------------------------------------------------------------------------ */

/* The writable rows; the public table has them as const. */
static Member *writable_rows(Members *members)
{
    return (Member *)(uintptr_t)members->table->rows;
}

/* Binary search: the index of the row with the id, or the index at which it would be inserted. */
static size_t row_index(const Members *members, const char *id, bool *found)
{
    size_t low = 0, high = members->table->count;
    *found = false;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        const int order = strcmp(members->table->rows[middle].record.id, id);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

/* FNV-1a hash of the record without its tick. */
static uint64_t record_hash(const MemberRecord *record)
{
    void *mem = talloc_new(NULL);
    MemberRecord without_tick = *record;
    without_tick.tick = 0;
    Bytes packed = {0};
    shape_pack(&MemberRecord_shape, &without_tick, mem, &packed);
    uint64_t hash = FNV_BASIS;
    for (size_t i = 0; i < packed.count; i++)
        hash = (hash ^ (uint8_t)packed.data[i]) * FNV_PRIME;
    talloc_free(mem);
    return hash;
}

/* Marks the row as changed, so that a controller passes it on. */
static void row_mark_changed(Members *members, Member *row)
{
    if (members->self.role == ROLE_CONTROLLER)
        row->changed_sequence = ++members->sequence;
}

void table_mark_changed(Members *members, const char *id)
{
    bool found;
    const size_t at = row_index(members, id, &found);
    if (found)
        writable_rows(members)[at].changed_sequence = ++members->sequence;
}

/* Copies the record into the row, into memory that the row owns. */
static void row_write(Members *members, Member *row, const MemberRecord *record)
{
    const uint64_t hash = record_hash(record);
    if (row->mem != NULL && hash == row->hash) { /* the case of most hellos: nothing is copied */
        row->record.tick = record->tick;
        return;
    }
    row->hash = hash;
    row_mark_changed(members, row);
    void *old = row->mem;
    INVARIANT(INCARNATION_RISES, old == NULL || record->incarnation >= row->record.incarnation);
    row->mem = talloc_new(members);
    shape_copy(&MemberRecord_shape, record, row->mem, &row->record);
    talloc_free(old);
}

static Member *row_add(Members *members, size_t at, const MemberRecord *record)
{
    MemberTable *table = members->table;
    assert(at <= table->count);
    if (table->count == members->capacity) {
        members->capacity = members->capacity > 0 ? members->capacity * 2 : ROWS_FIRST;
        table->rows = talloc_realloc(members, writable_rows(members), Member, (unsigned)members->capacity);
    }
    Member *rows = writable_rows(members);
    memmove(&rows[at + 1], &rows[at], (table->count - at) * sizeof(*rows));
    table->count++;
    const int64_t now_ms = loop_now_ms(members->loop);
    rows[at] = (Member){.newest_record_ms = now_ms,
                        .last_direct_contact_ms = INT64_MIN,
                        .last_answer_ms = INT64_MIN,
                        .row_added_ms = now_ms,
                        .next_contact_ms = now_ms + (int64_t)(loop_random(members->loop) % CONTACT_INTERVAL_MS)};
    row_write(members, &rows[at], record);
    return &rows[at];
}

static void row_remove(Members *members, size_t at)
{
    Member *rows = writable_rows(members);
    talloc_free(rows[at].mem);
    members->table->count--;
    memmove(&rows[at], &rows[at + 1], (members->table->count - at) * sizeof(*rows));
}

/* The index of a controller with the same name and another disk; the number of rows if there is none. */
static size_t namesake_index(const Members *members, const MemberRecord *record)
{
    size_t at = 0;
    while (at < members->table->count) {
        const MemberRecord *row = &members->table->rows[at].record;
        if (row->role == ROLE_CONTROLLER && row->disk != record->disk && strcmp(row->name, record->name) == 0)
            break;
        at++;
    }
    return at;
}

bool table_is_self(const Members *members, const MemberRecord *record)
{
    return strcmp(record->id, members->self.id) == 0;
}

/* --- merging --------------------------------------------------------------------- */

/* Whether the record is of this process, or of an earlier controller with its name. */
static bool claims_self(const Members *members, const MemberRecord *record)
{
    const MemberRecord *self = &members->self;
    return table_is_self(members, record) ||
           (record->role == self->role && record->role == ROLE_CONTROLLER && strcmp(record->name, self->name) == 0);
}

/* Raises the incarnation of this process above that of the record: other members remember an earlier incarnation of
 * this process, or another disk under its name. */
static void self_incarnation_raise(Members *members, const MemberRecord *record)
{
    MemberRecord *self = &members->self;
    if (record->incarnation > self->incarnation ||
        (record->incarnation == self->incarnation && !table_is_self(members, record)))
        self->incarnation = record->incarnation + 1;
    rpc_set_self(members->rpc, member_peer(self));
}

/* Removes the row that a controller with a new disk replaces. Returns false if the row of that name has the same or a
 * higher incarnation: then the record is the old disk's. */
static bool namesake_replace(Members *members, const MemberRecord *record)
{
    const size_t other = namesake_index(members, record);
    if (other == members->table->count)
        return true;
    if (members->table->rows[other].record.incarnation >= record->incarnation)
        return false;
    row_remove(members, other);
    rpc_peer_restarted(members->rpc, record->address);
    return true;
}

static void row_update(Members *members, Member *row, const MemberRecord *record)
{
    if (!is_newer(record, &row->record))
        return;
    const int64_t now_ms = loop_now_ms(members->loop);
    if (member_quiet(row, now_ms)) /* answers have omitted it meanwhile */
        row_mark_changed(members, row);
    row->newest_record_ms = now_ms;
    if (record->incarnation > row->record.incarnation)
        rpc_peer_restarted(members->rpc, record->address);
    row_write(members, row, record);
}

/* --- bounds ----------------------------------------------------------------------- */

static bool in_partial_view(const Members *members, const Member *row)
{
    return row->record.role != ROLE_CONTROLLER && !table_is_self(members, &row->record);
}

/* The number of members in the partial view. *oldest is set to the index of the one that has been silent longest. */
static size_t partial_view_count(const Members *members, size_t *oldest)
{
    size_t count = 0;
    for (size_t i = 0; i < members->table->count; i++)
        if (in_partial_view(members, &members->table->rows[i])) {
            if (count == 0 || members->table->rows[i].newest_record_ms < members->table->rows[*oldest].newest_record_ms)
                *oldest = i;
            count++;
        }
    return count;
}

/* Whether the partial view accepts one more relayed member. If the view is full, the member that has been silent
 * longest is removed for it, provided that it is quiet. */
static bool partial_view_admits(Members *members)
{
    size_t oldest = 0;
    if (partial_view_count(members, &oldest) < PARTIAL_VIEW_MAX)
        return true;
    if (!member_quiet(&members->table->rows[oldest], loop_now_ms(members->loop)))
        return false;
    row_remove(members, oldest);
    return true;
}

/* Whether a new row may be added for the record. */
static bool table_admits(Members *members, const MemberRecord *record, RecordSource source)
{
    const bool controller = record->role == ROLE_CONTROLLER;
    if (members->table->count >= MEMBERS_MAX + (controller ? CONTROLLERS_MAX : 0)) {
        members->refused++;
        return false;
    }
    return controller || source != RECORD_RELAYED || members->self.role == ROLE_CONTROLLER ||
           partial_view_admits(members);
}

/* Whether the row must be removed: nothing was heard of the member for MEMBER_FORGET_MS or, in the partial view, for
 * PARTIAL_VIEW_FORGET_MS; or the partial view has more than PARTIAL_VIEW_MAX members and this one has not been in
 * direct contact for SEED_REQUESTER_KEEP_MS. view: number of members in the partial view. */
static bool row_expired(const Members *members, const Member *row, size_t view)
{
    const int64_t now_ms = loop_now_ms(members->loop), silent_ms = now_ms - row->newest_record_ms;
    if (members->self.role == ROLE_CONTROLLER || !in_partial_view(members, row))
        return silent_ms > MEMBER_FORGET_MS;
    const int64_t last_direct_ms =
        row->last_direct_contact_ms != INT64_MIN ? row->last_direct_contact_ms : row->row_added_ms;
    return silent_ms > PARTIAL_VIEW_FORGET_MS ||
           (view > PARTIAL_VIEW_MAX && now_ms - last_direct_ms > SEED_REQUESTER_KEEP_MS);
}

bool table_merge(Members *members, const MemberRecord *record, RecordSource source)
{
    if (record->id[0] == '\0' || record->role >= ROLE_COUNT || strlen(record->id) > ID_MAX)
        return false;
    if (claims_self(members, record)) {
        self_incarnation_raise(members, record);
        return false;
    }
    bool found;
    size_t at = row_index(members, record->id, &found);
    if (!found && record->role == ROLE_CONTROLLER) {
        if (!namesake_replace(members, record))
            return false;
        at = row_index(members, record->id, &found); /* a row before it may have been removed */
    }
    const bool add = !found;
    if (add) {
        if (!table_admits(members, record, source))
            return false;
        at = row_index(members, record->id, &found);
    }
    Member *row = add ? row_add(members, at, record) : &writable_rows(members)[at];
    if (!add)
        row_update(members, row, record);
    const int64_t now_ms = loop_now_ms(members->loop);
    if (source != RECORD_RELAYED)
        row->last_direct_contact_ms = now_ms;
    if (source == RECORD_ANSWERED)
        row->last_answer_ms = now_ms;
    return add;
}

void table_refresh(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t oldest = 0, view = partial_view_count(members, &oldest);
    for (size_t i = members->table->count; i > 0; i--) {
        Member *row = &writable_rows(members)[i - 1];
        if (table_is_self(members, &row->record)) {
            row_write(members, row, &members->self);
            row->newest_record_ms = row->last_direct_contact_ms = row->last_answer_ms = now_ms;
        } else if (row_expired(members, row, view)) {
            view -= in_partial_view(members, row);
            row_remove(members, i - 1);
        }
    }
}

void table_init(Members *members)
{
    members->table = talloc_zero(members, MemberTable);
    Member *row = row_add(members, 0, &members->self);
    row->last_direct_contact_ms = row->last_answer_ms = row->newest_record_ms;
}

/* --- looking up ------------------------------------------------------------------ */

const MemberTable *members_table(const Members *members)
{
    return members->table;
}

const Member *members_find_id(const Members *members, const char *id)
{
    bool found;
    const size_t at = row_index(members, id, &found);
    return found ? &members->table->rows[at] : NULL;
}

Member *table_find_address(Members *members, const char *address)
{
    Member *found = NULL;
    for (size_t i = 0; i < members->table->count; i++) {
        Member *row = &writable_rows(members)[i];
        if (strcmp(row->record.address, address) == 0 && !table_is_self(members, &row->record) &&
            (found == NULL || row->last_direct_contact_ms > found->last_direct_contact_ms))
            found = row;
    }
    return found;
}

Member *table_row(Members *members, size_t at)
{
    return &writable_rows(members)[at];
}

const Member *members_other_disk(const Members *members, const char *name, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (row->record.role == ROLE_CONTROLLER && row->record.disk != disk &&
            row->last_direct_contact_ms != INT64_MIN && strcmp(row->record.name, name) == 0)
            return row;
    }
    return NULL;
}

const Member *members_find_disk(const Members *members, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].record.role == ROLE_CONTROLLER && members->table->rows[i].record.disk == disk)
            return &members->table->rows[i];
    return NULL;
}
