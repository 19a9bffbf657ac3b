#ifndef REPLICATION_SRC_CONFIGURATION_CHANGE_H
#define REPLICATION_SRC_CONFIGURATION_CHANGE_H

#include "replication/replication.h"

/* The view: the voters that each commit waits for, at least a majority (like the in-sync
 * replicas of primary-backup replication). Recorded by an entry of its own. Nothing here
 * waits. */

/* Adds the entry of a view with these voters, by place. repair: as in TermRecord. */
void lead_view_entry(Replication *replication, const bool in_configuration[VOTER_MOST], bool repair);
/* Changes the view in the same term. What was ordered before is committed together with the
 * change, so that the last view recorded has all of it. */
void lead_turn(Replication *replication, const bool in_configuration[VOTER_MOST]);
/* The leader takes in who is up to date, and lets go who keeps the others waiting, as long as a
 * majority stays. True: a voter has promised a higher term, so that a new election is needed;
 * skip is filled in for it. */
bool replication_tend(Replication *replication, bool skip[VOTER_MOST]);

#endif
