/* The first entry of a view: whose it is, and who is in it. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

void lead_view_entry(Replication *replication, const bool in_configuration[VOTER_MOST], bool repair)
{
    memmove(replication->in_configuration, in_configuration, sizeof(replication->in_configuration));
    void *mem = talloc_new(replication);
    TermRecord record = {.term = replication->term,
                         .holder = replication->disk,
                         .members = talloc_array(mem, DiskId, VOTER_MOST),
                         .holder_id = members_self(replication->settings.members)->id,
                         .repair = repair || replication->last.repair};
    for (int i = 0; i < VOTER_MOST; i++)
        if (in_configuration[i])
            record.members[record.members_count++].disk = replication->voters[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .term = replication->term,
                    .index = log_last_index(replication->log) + 1,
                    .at_ms = replication_clock_ms(replication),
                    .change = REPLICATION_CHANGE_TERM,
                    .name = ""};
    shape_pack(&TermRecord_shape, &record, mem, &entry.payload);
    log_add(replication->log, &entry);
    replication->replication_index = entry.index;
    replication_reread(replication);
    talloc_free(mem);
}

void lead_turn(Replication *replication, const bool in_configuration[VOTER_MOST])
{
    lead_view_entry(replication, in_configuration, false);
    replication->changed_ms = loop_now_ms(replication->loop);
    replication->configuration_changes++;
    signal_raise(replication->loop, &replication->grew);
}
