#ifndef REPLICATION_SRC_VIEW_CHANGE_H
#define REPLICATION_SRC_VIEW_CHANGE_H

#include "replication/replication.h"

/* The view: the voters that each commit waits for, at least a majority (like the in-sync replicas of primary-backup
 * replication). Each view is recorded by a log entry. The view differs from the list of voters (voter_list.h): a voter
 * outside the view keeps its vote. No function here suspends the coroutine. */

/* Appends a TERM entry that makes these voters, by position, the view. repair: as in TermRecord. */
void view_entry_add(Replication *replication, const bool in_view[VOTERS_MAX], bool repair);
/* Changes the view within the term. Entries appended earlier are committed together with the change, so every member of
 * the last recorded view has all of them. */
void view_change(Replication *replication, const bool in_view[VOTERS_MAX]);
/* At the leader: adds voters that are up to date to the view, and removes late ones as long as a majority remains.
 * Returns true if a peer has promised a higher term, so that a new election is needed; skip (out) is for that
 * election. */
bool view_update(Replication *replication, bool skip[VOTERS_MAX]);

#endif
