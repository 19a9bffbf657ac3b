#ifndef SRC_ROLE_H
#define SRC_ROLE_H

/* Starts and ends a process of one role: controller, entry point or agent. For the commands that run one (daemon.c,
 * node.c). */

#include "adapter/adapter.h"

/* The names of the roles on the command line, by SettingsRole. */
extern const char *const ROLES[3];

/* Starts the controller, entry point or agent. in: node, with its loop and flight recorder; watch is for a controller
 * and may be null. out: one of node's controller, entry point and agent is set. Does not wait. return: OK, or the
 * reason, with the text in failure. */
Status role_start(void *mem, AdapterNode *node, SettingsRole role, const Settings *settings,
                  const ControllerObserver *watch, Failure *failure);
/* Shuts down gracefully what was started, then the loop. Suspends the coroutine. */
void role_end(const AdapterNode *node);
/* Writes the flight recorder to standard error. */
void role_dump(const AdapterNode *node);

#endif
