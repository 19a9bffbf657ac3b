#ifndef REPLICATION_SRC_VIEW_CHANGE_H
#define REPLICATION_SRC_VIEW_CHANGE_H

#include "replication/replication.h"

/* The view: the voters that each commit waits for, at least a majority (like the in-sync
 * replicas of primary-backup replication). Recorded by an entry of its own. Not the list of voters
 * (voter_list.h): a voter outside the view keeps its vote. Nothing here waits. */

/* Adds a TERM entry with these voters, by place, as the view. repair: as in TermRecord. */
void view_entry_add(Replication *replication, const bool in_view[VOTER_MOST], bool repair);
/* Changes the view in the same term. What was ordered before is committed together with the
 * change, so that the last view recorded has all of it. */
void view_change(Replication *replication, const bool in_view[VOTER_MOST]);
/* The leader takes voters that are up to date into the view, and late ones out of it as long as a majority stays. True:
 * a voter has promised a higher term, so that a new election is needed; skip is filled in for it. */
bool view_update(Replication *replication, bool skip[VOTER_MOST]);

#endif
