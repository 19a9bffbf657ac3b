/* Reactions to events of the replicated log and the state table. */
#ifndef CONTROLLER_SRC_LOG_EVENTS_H
#define CONTROLLER_SRC_LOG_EVENTS_H

#include "state.h"

/* Subscribes to the events of the state table. log_opened is passed to the log in its settings instead. */
void log_events_watch(Controller *controller);
/* Implements ReplicationOpened: this node has opened a configuration of voters. Starts to lead if new_holder is true,
 * and starts a repair if repair is true. */
void log_opened(void *arg, uint64_t term, bool new_holder, bool repair);

#endif
