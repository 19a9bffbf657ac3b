#ifndef CONTROLLER_SRC_LOG_EVENTS_H
#define CONTROLLER_SRC_LOG_EVENTS_H

#include "state.h"

/* Registers for the events of the state table; log_opened is handed to the log in its settings. */
void log_events_watch(Controller *controller);
/* A ReplicationOpened. This node has opened a configuration of voters: begins to lead, and to repair where it must. */
void log_opened(void *arg, uint64_t term, bool new_holder, bool repair);

#endif
