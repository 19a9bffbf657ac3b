/* The membership table: rows ordered by id, how they are found, and how a record is merged.
 * Of two records the one with the higher (incarnation, tick) wins, whoever passed it on. */
#include "table.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/invariant.h"
#include "inside.h"
#include "loop/loop.h"
#include "wire/rpc.h"

#define ROWS_FIRST 16 /* count; rows allocated at first, doubled when they are used up */

static bool newer(const MemberRecord *a, const MemberRecord *b)
{
    return a->incarnation > b->incarnation || (a->incarnation == b->incarnation && a->tick > b->tick);
}

/* --- rows ------------------------------------------------------------------------ */

/* The rows to be written; the public table has them as const. */
static Member *rows_of(Members *members)
{
    return (Member *)(uintptr_t)members->table->rows;
}

/* Binary search: the index of the id's row, or where it would be inserted. */
static size_t row_place(const Members *members, const char *id, bool *found)
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

/* Copies the record into the row, on memory of its own. */
static void row_write(Members *members, Member *row, const MemberRecord *record)
{
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
        table->rows = talloc_realloc(members, rows_of(members), Member, (unsigned)members->capacity);
    }
    Member *rows = rows_of(members);
    memmove(&rows[at + 1], &rows[at], (table->count - at) * sizeof(*rows));
    table->count++;
    const int64_t now_ms = loop_now_ms(members->loop);
    rows[at] = (Member){.seen_ms = now_ms, .direct_ms = INT64_MIN, .answered_ms = INT64_MIN, .since_ms = now_ms};
    row_write(members, &rows[at], record);
    return &rows[at];
}

static void row_drop(Members *members, size_t at)
{
    Member *rows = rows_of(members);
    talloc_free(rows[at].mem);
    members->table->count--;
    memmove(&rows[at], &rows[at + 1], (members->table->count - at) * sizeof(*rows));
}

/* The index of a controller with the same name and another disk; the count when there is none. */
static size_t row_named(const Members *members, const MemberRecord *record)
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

/* Others remember an earlier incarnation of this process, or another disk under its name:
 * the own incarnation has to be higher than that. */
static void self_incarnation_raise(Members *members, const MemberRecord *record)
{
    MemberRecord *self = &members->self;
    if (record->incarnation > self->incarnation ||
        (record->incarnation == self->incarnation && !table_is_self(members, record)))
        self->incarnation = record->incarnation + 1;
    rpc_set_self(members->rpc, member_peer(self));
}

/* A controller with a new disk replaces the row of its name. Returns false when the row there is
 * of the same or a higher incarnation: then the record is the old disk's. */
static bool namesake_replace(Members *members, const MemberRecord *record)
{
    const size_t other = row_named(members, record);
    if (other == members->table->count)
        return true;
    if (members->table->rows[other].record.incarnation >= record->incarnation)
        return false;
    row_drop(members, other);
    rpc_renew(members->rpc, record->address);
    return true;
}

static void row_update(Members *members, Member *row, const MemberRecord *record)
{
    if (!newer(record, &row->record))
        return;
    row->seen_ms = loop_now_ms(members->loop);
    if (record->incarnation > row->record.incarnation)
        rpc_renew(members->rpc, record->address);
    row_write(members, row, record);
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
    size_t at = row_place(members, record->id, &found);
    if (!found && record->role == ROLE_CONTROLLER) {
        if (!namesake_replace(members, record))
            return false;
        at = row_place(members, record->id, &found); /* a row may have been dropped before it */
    }
    const bool add = !found;
    if (add && members->table->count >= MEMBERS_MAX)
        return false;
    Member *row = add ? row_add(members, at, record) : &rows_of(members)[at];
    if (!add)
        row_update(members, row, record);
    const int64_t now_ms = loop_now_ms(members->loop);
    if (source != RECORD_RELAYED)
        row->direct_ms = now_ms;
    if (source == RECORD_ANSWERED)
        row->answered_ms = now_ms;
    return add;
}

void table_refresh(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    for (size_t i = members->table->count; i > 0; i--) {
        Member *row = &rows_of(members)[i - 1];
        if (table_is_self(members, &row->record)) {
            row_write(members, row, &members->self);
            row->seen_ms = row->direct_ms = row->answered_ms = now_ms;
        } else if (now_ms - row->seen_ms > MEMBER_FORGET_MS) {
            row_drop(members, i - 1);
        }
    }
}

void table_begin(Members *members)
{
    members->table = talloc_zero(members, MemberTable);
    Member *row = row_add(members, 0, &members->self);
    row->direct_ms = row->answered_ms = row->seen_ms;
}

/* --- looking up ------------------------------------------------------------------ */

const MemberTable *members_table(const Members *members)
{
    return members->table;
}

const Member *members_find(const Members *members, const char *id)
{
    bool found;
    const size_t at = row_place(members, id, &found);
    return found ? &members->table->rows[at] : NULL;
}

const Member *members_other_disk(const Members *members, const char *name, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (row->record.role == ROLE_CONTROLLER && row->record.disk != disk && row->direct_ms != INT64_MIN &&
            strcmp(row->record.name, name) == 0)
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
