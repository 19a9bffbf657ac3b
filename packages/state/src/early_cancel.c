/* Early cancellations, recorded from their acknowledgement until no submission of their job is expected any more. */
#include "early_cancel.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

SHAPE_TABLE(EarlyCancel, EARLY_CANCEL_FIELDS)

#define KEY_SEPARATOR "\n" /* occurs in no name */
#define INITIAL_SLOTS 64   /* number of slots of a new list of records */

/* The key of an id and a scope in Table.early_cancel_keys, owned by mem. */
static const char *key_of(void *mem, const char *id, const char *cell, const char *tenant)
{
    if (cell[0] == '\0')
        return talloc_strdup(mem, id);
    return talloc_asprintf(mem, "%s" KEY_SEPARATOR "%s" KEY_SEPARATOR "%s", id, cell, tenant);
}

static EarlyCancel *record_find(const Table *table, const char *id, const char *cell, const char *tenant)
{
    if (table->early_cancel_count == 0)
        return NULL;
    const char *key = key_of(NULL, id, cell, tenant);
    EarlyCancel *row = map_get(table->early_cancel_keys, key);
    talloc_free((void *)(uintptr_t)key);
    return row;
}

void early_cancel_load(Table *table, const EarlyCancel *from)
{
    if (table->early_cancel_count == table->early_cancel_capacity) {
        table->early_cancel_capacity =
            table->early_cancel_capacity > 0 ? table->early_cancel_capacity * 2 : INITIAL_SLOTS;
        table->early_cancels =
            talloc_realloc(table->mem, table->early_cancels, EarlyCancel *, (unsigned)table->early_cancel_capacity);
    }
    EarlyCancel *row = talloc(table->mem, EarlyCancel);
    shape_copy_flat(&EarlyCancel_shape, from, row, row);
    table->early_cancels[table->early_cancel_count++] = row;
    const char *key = key_of(row, row->id, row->cell, row->tenant);
    map_set(table->early_cancel_keys, key, row);
    talloc_free((void *)(uintptr_t)key);
}

Status early_cancel_record(Table *table, const JobCancel *cancel, int64_t at_ms)
{
    EarlyCancel *known = record_find(table, cancel->id, cancel->cell, cancel->tenant);
    if (known != NULL) {
        known->at_ms = at_ms;
        return STATUS_OK;
    }
    if (table->early_cancel_count >= EARLY_CANCELS_MAX)
        return STATUS_STATE_FULL;
    early_cancel_load(table, &(EarlyCancel){cancel->id, cancel->cell, cancel->tenant, at_ms});
    return STATUS_OK;
}

bool early_cancel_covers(const char *cell, const char *tenant, const JobSpec *spec)
{
    return cell[0] == '\0' || (strcmp(cell, spec->cell) == 0 && strcmp(tenant, spec->tenant) == 0);
}

bool early_cancel_applies(const Table *table, const JobSpec *spec)
{
    return record_find(table, spec->id, "", "") != NULL ||
           record_find(table, spec->id, spec->cell, spec->tenant) != NULL;
}

bool table_early_cancel_known(const Table *table, const JobCancel *cancel)
{
    return record_find(table, cancel->id, cancel->cell, cancel->tenant) != NULL;
}

size_t table_early_cancels(const Table *table)
{
    return table->early_cancel_count;
}

void early_cancels_forget(Table *table, int64_t before_ms)
{
    for (size_t i = 0; i < table->early_cancel_count;) {
        EarlyCancel *row = table->early_cancels[i];
        if (row->at_ms >= before_ms) {
            i++;
            continue;
        }
        map_remove(table->early_cancel_keys, key_of(row, row->id, row->cell, row->tenant));
        table->early_cancels[i] = table->early_cancels[--table->early_cancel_count];
        talloc_free(row);
    }
}
