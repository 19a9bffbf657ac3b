#ifndef AGENT_SRC_HEARTBEAT_H
#define AGENT_SRC_HEARTBEAT_H

/* Heartbeats to the leader (heartbeat.c). */

#include "state.h"

void heartbeat_start(Agent *agent);
/* Has a heartbeat sent as soon as the heartbeat task runs, as far as HEARTBEATS_MOST allows. */
void heartbeat_now(Agent *agent);
/* Copies the leader's address, null-terminated; false: no leader is known. */
bool leader_address(Agent *agent, char address[ADDRESS_MAX]);

#endif
