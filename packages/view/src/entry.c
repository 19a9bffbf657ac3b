/* The first entry of a view: whose it is, and who is in it. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

void leadViewEntry(View *view, const bool inView[SEAT_MOST], bool repair)
{
    memmove(view->inView, inView, sizeof(view->inView));
    void *mem = talloc_new(view);
    ViewRecord record = {.epoch = view->epoch,
                         .holder = view->disk,
                         .members = talloc_array(mem, DiskId, SEAT_MOST),
                         .holderId = members_self(view->props.members)->id,
                         .repair = repair || view->last.repair};
    for (int i = 0; i < SEAT_MOST; i++)
        if (inView[i])
            record.members[record.members_count++].disk = view->seats[i];
    Record entry = {.kind = RECORD_ENTRY,
                    .epoch = view->epoch,
                    .index = logLastIndex(view->log) + 1,
                    .at_ms = viewClockMs(view),
                    .change = VIEW_CHANGE_VIEW,
                    .name = ""};
    shape_pack(&ViewRecordShape, &record, mem, &entry.payload);
    logAdd(view->log, &entry);
    view->viewIndex = entry.index;
    viewReread(view);
    talloc_free(mem);
}

void leadTurn(View *view, const bool inView[SEAT_MOST])
{
    leadViewEntry(view, inView, false);
    view->changedMs = loop_now_ms(view->loop);
    view->viewChanges++;
    signal_raise(view->loop, &view->grew);
}
