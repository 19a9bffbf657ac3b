#ifndef VIEW_WINDOW_H
#define VIEW_WINDOW_H

#include "view/log.h"
#include "view/view.h"

/* What a checker sees of a view: for proof only, nothing decides by it. */
typedef struct ViewWindow {
    ViewPhase phase;
    bool holding;      /* it won the lock and has not given it up */
    uint64_t epoch;    /* its own lead's, while it holds or opens */
    uint64_t promised; /* in memory */
    uint64_t commitIndex, deliveredIndex;
    uint64_t listIndex; /* of the entry that holds the list of voters; 0: the founded one */
    uint64_t voters[SEAT_MOST];
    size_t voterCount;
    const Log *log; /* valid until the next wait */
} ViewWindow;

void viewWindow(const View *view, ViewWindow *window);
/* The list of voters that an entry holds, on mem; false when it holds none. */
bool viewWindowList(const Record *entry, void *mem, SeatList *list);

#endif
