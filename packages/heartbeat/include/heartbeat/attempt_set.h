#ifndef HEARTBEAT_ATTEMPT_SET_H
#define HEARTBEAT_ATTEMPT_SET_H

/* A set of attempts, made from a list in a message and asked many times: a worker may have thousands. Used by the
 * leader and the agent to compare what the other side lists with what they have themselves. */

#include <stdbool.h>

#include "heartbeat/messages.h"

typedef struct AttemptSet AttemptSet;

/* Makes a set of the listed attempts, owned by mem. The list is borrowed and must outlive the set. */
AttemptSet *attempt_set_new(void *mem, const AttemptId *list, size_t count);
/* Whether the attempt is in the set. */
bool attempt_set_has(const AttemptSet *set, const char *job, uint64_t task, uint64_t attempt);

#endif
