#include "view/log.h"

#include <string.h>
#include <talloc.h>

Log *logNew(void *mem)
{
    return talloc_zero(mem, Log);
}

uint64_t logLastIndex(const Log *log)
{
    return log->baseIndex + log->count;
}

uint64_t logLastEpoch(const Log *log)
{
    return log->count > 0 ? log->entries[log->count - 1].epoch : log->baseEpoch;
}

const Record *logAt(const Log *log, uint64_t index)
{
    return index > log->baseIndex && index <= logLastIndex(log) ? &log->entries[index - log->baseIndex - 1] : NULL;
}

bool logEpochAt(const Log *log, uint64_t index, uint64_t *epoch)
{
    const Record *entry = logAt(log, index);
    if (entry == NULL && index != log->baseIndex)
        return false;
    *epoch = entry != NULL ? entry->epoch : log->baseEpoch;
    return true;
}

void logAdd(Log *log, const Record *entry)
{
    if (log->count == log->room) {
        log->room = log->room ? log->room * 2 : 256;
        log->entries = talloc_realloc(log, log->entries, Record, (unsigned)log->room);
        log->owners = talloc_realloc(log, log->owners, void *, (unsigned)log->room);
    }
    log->owners[log->count] = talloc_new(log);
    shape_copy(&Record_shape, entry, log->owners[log->count], &log->entries[log->count]);
    log->count++;
    log->bytes += entry->payload.count;
}

Status logTake(Log *log, const Record *entry)
{
    uint64_t epoch;
    if (entry->index <= log->baseIndex)
        return STATUS_OK; /* the snapshot stands for it */
    if (entry->index > logLastIndex(log) + 1)
        return STATUS_JOURNAL_CORRUPT;
    if (logEpochAt(log, entry->index, &epoch) && epoch == entry->epoch)
        return STATUS_OK;
    logTrim(log, entry->index - 1);
    if (entry->epoch < logLastEpoch(log))
        return STATUS_JOURNAL_CORRUPT;
    logAdd(log, entry);
    return STATUS_OK;
}

void logTrim(Log *log, uint64_t index)
{
    while (log->count > 0 && logLastIndex(log) > index) {
        log->bytes -= log->entries[--log->count].payload.count;
        talloc_free(log->owners[log->count]);
    }
}

void logRebase(Log *log, const Record *snapshot)
{
    size_t gone = 0;
    if (snapshot->index >= log->baseIndex)
        gone = (size_t)(snapshot->index - log->baseIndex);
    if (gone > log->count)
        gone = log->count;
    for (size_t i = 0; i < gone; i++) {
        log->bytes -= log->entries[i].payload.count;
        talloc_free(log->owners[i]);
    }
    if (gone < log->count) {
        memmove(log->entries, log->entries + gone, (log->count - gone) * sizeof(*log->entries));
        memmove(log->owners, log->owners + gone, (log->count - gone) * sizeof(*log->owners));
    }
    log->count -= gone;
    if (log->snapshot.payload.data != NULL)
        talloc_free(log->snapshot.payload.data);
    log->snapshot = *snapshot;
    log->snapshot.name = "";
    log->snapshot.payload = bytes_copy(log, snapshot->payload);
    log->baseEpoch = snapshot->epoch;
    log->baseIndex = snapshot->index;
}
