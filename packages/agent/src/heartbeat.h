#ifndef AGENT_SRC_HEARTBEAT_H
#define AGENT_SRC_HEARTBEAT_H

/* Heartbeats to the leader (heartbeat.c). */

#include "state.h"

/* Spawns the task that sends heartbeats. */
void heartbeat_start(Agent *agent);
/* Requests a heartbeat as soon as the heartbeat task runs and HEARTBEATS_IN_FLIGHT_MAX allows it. */
void heartbeat_request(Agent *agent);
/* Copies the leader's address, null-terminated. Returns false if no leader is known. */
bool leader_address(Agent *agent, char address[ADDRESS_MAX]);

#endif
