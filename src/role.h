#ifndef SRC_ROLE_H
#define SRC_ROLE_H

/* A process of one role (controller, entry point or agent), for the commands that run one (daemon.c, node.c). */

#include "adapter/adapter.h"

/* The names of the roles, by SettingsRole. */
extern const char *const ROLES[3];

/* Starts the role's part of the process: one of node's controller, entry point and agent is set. node has its loop and
 * ring; watch is for a controller and may be null. Does not wait. return: OK, or why not, with the text in failure. */
Status role_start(void *mem, AdapterNode *node, SettingsRole role, const Settings *settings,
                  const ControllerObserver *watch, Failure *failure);
/* Graceful shutdown of the part that was started, then of the loop. Waits. */
void role_end(const AdapterNode *node);
/* Writes the flight recorder to standard error. */
void role_dump(const AdapterNode *node);

#endif
