/* Submission of changes to the log at the leader, and the wait for their delivery. */
#include <talloc.h>

#include "base/invariant.h"
#include "lease.h"
#include "state.h"
#include "voter_list.h"

/* Checks that this node may append a change. Suspends the coroutine during a reelection of this leader. The log's own
 * changes do not require view_wide_enough, since they are what widens the view. */
static Status append_allowed(Replication *replication, uint64_t change, int64_t until_ms)
{
    while (replication->phase == REPLICATION_ELECTING && replication->has_lease)
        if (!signal_wait(replication->loop, &replication->changed, until_ms))
            return STATUS_BUSY;
    return replication_leading(replication) ||
                   (change < REPLICATION_CHANGE_FIRST && replication_may_append(replication))
               ? STATUS_OK
               : STATUS_NOT_LEADER;
}

/* Appends an entry with a copy of the payload to the log. */
static Record entry_append(Replication *replication, uint64_t change, Bytes payload)
{
    const Record entry = {.kind = RECORD_ENTRY,
                          .term = replication->term,
                          .index = log_last_index(replication->log) + 1,
                          .at_ms = replication_clock_ms(replication),
                          .change = change,
                          .name = "",
                          .payload = payload};
    INVARIANT(LOG_ORDER, entry.term >= log_last_term(replication->log));
    log_add(replication->log, &entry);
    if (change < REPLICATION_CHANGE_FIRST)
        voters_reload(replication);
    signal_raise(replication->loop, &replication->log_grew);
    return entry;
}

Status replication_submit_async(Replication *replication, uint64_t change, Bytes payload)
{
    const Status status = append_allowed(replication, change, loop_now_ms(replication->loop) + SUBMIT_TIMEOUT_MS);
    if (status == STATUS_OK)
        entry_append(replication, change, payload);
    return status;
}

Status replication_barrier(Replication *replication, int64_t wait_ms)
{
    const uint64_t last_index = log_last_index(replication->log);
    const int64_t until_ms = loop_now_ms(replication->loop) + wait_ms;
    while (replication->delivered_index < last_index)
        if (!replication->has_lease || !signal_wait(replication->loop, &replication->changed, until_ms))
            return STATUS_NOT_LEADER;
    return STATUS_OK;
}

/* Removes the waiter of a submission that has timed out. */
static void waiter_drop(Replication *replication, const Waiter *waiter)
{
    for (Waiter **at = &replication->waiters; *at != NULL; at = &(*at)->next)
        if (*at == waiter) {
            *at = waiter->next;
            return;
        }
}

Status replication_submit(Replication *replication, uint64_t change, Bytes payload, ChangeResult *result)
{
    const int64_t until_ms = loop_now_ms(replication->loop) + SUBMIT_TIMEOUT_MS;
    Status status = append_allowed(replication, change, until_ms);
    if (status != STATUS_OK)
        return status;
    const Record entry = entry_append(replication, change, payload);
    Waiter *waiter = talloc_zero(replication, Waiter);
    waiter->term = entry.term;
    waiter->index = entry.index;
    waiter->next = replication->waiters;
    replication->waiters = waiter;
    while (!waiter->done)
        if (!signal_wait(replication->loop, &waiter->ended, until_ms))
            break;
    status = waiter->done ? waiter->status : STATUS_OUTCOME_UNKNOWN;
    if (!waiter->done)
        waiter_drop(replication, waiter);
    /* voters may have left the view in the meantime, so the change may be on too few disks */
    if (status == STATUS_OK && change >= REPLICATION_CHANGE_FIRST && !view_wide_enough(replication))
        status = STATUS_OUTCOME_UNKNOWN;
    *result = waiter->result;
    talloc_free(waiter);
    return status;
}

Status replication_mark_repaired(Replication *replication)
{
    ChangeResult result;
    return replication_submit(replication, REPLICATION_CHANGE_REPAIRED, (Bytes){0}, &result);
}
