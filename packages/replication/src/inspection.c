/* Read access to the state of the replicated log for checkers of safety properties. */
#include "replication/inspection.h"

#include <talloc.h>

#include "state.h"

void replication_inspect(const Replication *replication, ReplicationInspection *window)
{
    *window = (ReplicationInspection){
        .phase = replication->phase,
        .has_lease = replication->has_lease,
        .term = replication->term,
        .promised = replication->lock.promised,
        .commit_index = replication->commit_index,
        .delivered_index = replication->delivered_index,
        .list_index = replication->list_index,
        .log = replication->log,
    };
    window->voter_count = replication_voters(replication, window->voters);
}

bool replication_entry_voters(const Record *entry, uint64_t voters[REPLICATION_VOTERS_MAX], size_t *count)
{
    if (entry->kind != RECORD_ENTRY || entry->change != REPLICATION_CHANGE_VOTERS)
        return false;
    void *mem = talloc_new(NULL);
    VoterList list;
    const bool whole = shape_unpack(&VoterList_shape, entry->payload, mem, &list, NULL) == STATUS_OK;
    *count = 0;
    for (size_t i = 0; whole && i < list.voters_count && i < REPLICATION_VOTERS_MAX; i++)
        if (list.voters[i].disk != 0)
            voters[(*count)++] = list.voters[i].disk;
    talloc_free(mem);
    return whole;
}
