/* What a checker sees of a view. */
#include "view/window.h"

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

bool viewWindowList(const Record *entry, void *mem, SeatList *list)
{
    return entry->kind == RECORD_ENTRY && entry->change == VIEW_CHANGE_SEATS &&
           shapeUnpack(&SeatListShape, entry->payload, mem, list, NULL) == STATUS_OK;
}
