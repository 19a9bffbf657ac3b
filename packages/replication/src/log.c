/* The in-memory log. */
#include "replication/log.h"

#include <string.h>
#include <talloc.h>

#include "base/invariant.h"

#define LOG_CAPACITY_INITIAL 256 /* number of entries for which memory is allocated first */

Log *log_new(void *mem)
{
    return talloc_zero(mem, Log);
}

uint64_t log_last_index(const Log *log)
{
    return log->base_index + log->count;
}

uint64_t log_last_term(const Log *log)
{
    return log->count > 0 ? log->entries[log->count - 1].term : log->base_term;
}

const Record *log_at(const Log *log, uint64_t index)
{
    return index > log->base_index && index <= log_last_index(log) ? &log->entries[index - log->base_index - 1] : NULL;
}

bool log_term_at(const Log *log, uint64_t index, uint64_t *term)
{
    const Record *entry = log_at(log, index);
    if (entry == NULL && index != log->base_index)
        return false;
    *term = entry != NULL ? entry->term : log->base_term;
    return true;
}

void log_add(Log *log, const Record *entry)
{
    INVARIANT(LOG_ORDER, entry->index == log_last_index(log) + 1);
    if (log->count == log->capacity) {
        log->capacity = log->capacity ? log->capacity * 2 : LOG_CAPACITY_INITIAL;
        log->entries = talloc_realloc(log, log->entries, Record, (unsigned)log->capacity);
        log->owners = talloc_realloc(log, log->owners, void *, (unsigned)log->capacity);
    }
    log->owners[log->count] = talloc_new(log);
    shape_copy_flat(&Record_shape, entry, log->owners[log->count], &log->entries[log->count]);
    log->count++;
    log->bytes += entry->payload.count;
}

Status log_recover(Log *log, const Record *entry)
{
    uint64_t term;
    if (entry->index <= log->base_index)
        return STATUS_OK; /* covered by the snapshot */
    if (entry->index > log_last_index(log) + 1)
        return STATUS_JOURNAL_CORRUPT;
    if (log_term_at(log, entry->index, &term) && term == entry->term)
        return STATUS_OK;
    log_trim(log, entry->index - 1);
    if (entry->term < log_last_term(log))
        return STATUS_JOURNAL_CORRUPT;
    log_add(log, entry);
    return STATUS_OK;
}

void log_trim(Log *log, uint64_t index)
{
    while (log->count > 0 && log_last_index(log) > index) {
        log->bytes -= log->entries[--log->count].payload.count;
        talloc_free(log->owners[log->count]);
    }
}

void log_rebase(Log *log, const Record *snapshot)
{
    size_t dropped = 0;
    if (snapshot->index >= log->base_index)
        dropped = (size_t)(snapshot->index - log->base_index);
    if (dropped > log->count)
        dropped = log->count;
    for (size_t i = 0; i < dropped; i++) {
        log->bytes -= log->entries[i].payload.count;
        talloc_free(log->owners[i]);
    }
    if (dropped < log->count) {
        memmove(log->entries, log->entries + dropped, (log->count - dropped) * sizeof(*log->entries));
        memmove(log->owners, log->owners + dropped, (log->count - dropped) * sizeof(*log->owners));
    }
    log->count -= dropped;
    if (log->snapshot.payload.data != NULL)
        talloc_free(log->snapshot.payload.data);
    log->snapshot = *snapshot;
    log->snapshot.name = "";
    log->snapshot.payload = bytes_copy(log, snapshot->payload);
    log->base_term = snapshot->term;
    log->base_index = snapshot->index;
    INVARIANT(LOG_ORDER, log->count == 0 || log->entries[0].index == log->base_index + 1);
}
