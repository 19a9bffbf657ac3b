/* What a checker sees of a view. */
#include "view/window.h"

#include <talloc.h>

#include "inside.h"

void viewWindow(const View *view, ViewWindow *window)
{
    *window = (ViewWindow){
        .phase = view->phase,
        .holding = view->holding,
        .epoch = view->epoch,
        .promised = view->lock.promised,
        .commitIndex = view->commitIndex,
        .deliveredIndex = view->deliveredIndex,
        .listIndex = view->listIndex,
        .log = view->log,
    };
    window->voterCount = viewSeats(view, window->voters);
}

bool viewWindowList(const Record *entry, uint64_t voters[VIEW_VOTERS_MAX], size_t *count)
{
    if (entry->kind != RECORD_ENTRY || entry->change != VIEW_CHANGE_SEATS)
        return false;
    void *mem = talloc_new(NULL);
    SeatList list;
    const bool whole = shape_unpack(&SeatListShape, entry->payload, mem, &list, NULL) == STATUS_OK;
    *count = 0;
    for (size_t i = 0; whole && i < list.seatsCount && i < VIEW_VOTERS_MAX; i++)
        if (list.seats[i].disk != 0)
            voters[(*count)++] = list.seats[i].disk;
    talloc_free(mem);
    return whole;
}
