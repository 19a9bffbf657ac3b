#ifndef AGENT_AGENT_H
#define AGENT_AGENT_H

#include "settings/settings.h"

/* Stands beside one worker: heartbeats for it, fetches its orders, passes its lease
 * on to it and tells what its attempts came to. Diskless. */
typedef struct Agent Agent;

Status agent_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, Agent **agent,
                   Failure *failure);
void agent_drain(Agent *agent);
/* Other seeds from now on. */
void agent_seeds(Agent *agent, const char *const seeds[SEEDS]);
const char *agent_http_address(const Agent *agent);

#endif
