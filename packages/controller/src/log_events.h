#ifndef CONTROLLER_SRC_LOG_EVENTS_H
#define CONTROLLER_SRC_LOG_EVENTS_H

#include "state.h"

/* What the replicated log and the state table call: opened for the log, the rest is set here. */
void log_events_watch(Controller *controller);
/* A ReplicationOpened. This node has opened a configuration of voters: begins to lead, and to repair where it must. */
void log_opened(void *arg, uint64_t term, bool new_holder, bool repair);

#endif
