/* The first entry of a view: whose it is, and who is in it. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

void lead_view_entry(View *view, const bool in_view[VOTER_MOST], bool repair)
{
    memmove(view->in_view, in_view, sizeof(view->in_view));
    void *mem = talloc_new(view);
    ViewRecord record = {.term = view->term,
                         .holder = view->disk,
                         .members = talloc_array(mem, DiskId, VOTER_MOST),
                         .holder_id = members_self(view->settings.members)->id,
                         .repair = repair || view->last.repair};
    for (int i = 0; i < VOTER_MOST; i++)
        if (in_view[i])
            record.members[record.members_count++].disk = view->voters[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .term = view->term,
                    .index = log_last_index(view->log) + 1,
                    .at_ms = view_clock_ms(view),
                    .change = VIEW_CHANGE_VIEW,
                    .name = ""};
    shape_pack(&ViewRecord_shape, &record, mem, &entry.payload);
    log_add(view->log, &entry);
    view->view_index = entry.index;
    view_reread(view);
    talloc_free(mem);
}

void lead_turn(View *view, const bool in_view[VOTER_MOST])
{
    lead_view_entry(view, in_view, false);
    view->changed_ms = loop_now_ms(view->loop);
    view->view_changes++;
    signal_raise(view->loop, &view->grew);
}
