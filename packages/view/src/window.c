/* What a checker sees of a view. */
#include "view/window.h"

#include <talloc.h>

#include "inside.h"

void view_window(const View *view, ViewWindow *window)
{
    *window = (ViewWindow){
        .phase = view->phase,
        .holding = view->holding,
        .term = view->term,
        .promised = view->lock.promised,
        .commit_index = view->commit_index,
        .delivered_index = view->delivered_index,
        .list_index = view->list_index,
        .log = view->log,
    };
    window->voter_count = view_voters(view, window->voters);
}

bool view_window_list(const Record *entry, uint64_t voters[VIEW_VOTERS_MAX], size_t *count)
{
    if (entry->kind != RECORD_ENTRY || entry->change != VIEW_CHANGE_VOTERS)
        return false;
    void *mem = talloc_new(NULL);
    VoterList list;
    const bool whole = shape_unpack(&VoterList_shape, entry->payload, mem, &list, NULL) == STATUS_OK;
    *count = 0;
    for (size_t i = 0; whole && i < list.voters_count && i < VIEW_VOTERS_MAX; i++)
        if (list.voters[i].disk != 0)
            voters[(*count)++] = list.voters[i].disk;
    talloc_free(mem);
    return whole;
}
