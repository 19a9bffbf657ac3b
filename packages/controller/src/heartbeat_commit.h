/* What the leader commits because of a heartbeat. */
#ifndef CONTROLLER_SRC_HEARTBEAT_COMMIT_H
#define CONTROLLER_SRC_HEARTBEAT_COMMIT_H

#include "state.h"

/* Records how the newest heartbeat describes its worker: nothing is placed there before the state table has that. */
void description_record(Controller *controller, const HeartbeatAsk *heartbeat);
/* Spawns a commit of the changes that the heartbeat reports, if there are any. Only one commit runs at a time for each
 * worker, since its heartbeats repeat what has not been committed yet. list_usable: its list of attempts is complete
 * and the newest one. */
void heartbeat_commit(Controller *controller, const HeartbeatAsk *heartbeat, bool list_usable);

#endif
