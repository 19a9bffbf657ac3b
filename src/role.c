/* Starts and ends a process of one role, and dumps its flight recorder. */
#include "role.h"

#include <stdio.h>

const char *const ROLES[3] = {"core", "gate", "agent"};

Status role_start(void *mem, AdapterNode *node, SettingsRole role, const Settings *settings,
                  const ControllerObserver *watch, Failure *failure)
{
    if (role == SETTINGS_CONTROLLER)
        return controller_start(mem, node->loop, node->recorder, settings, watch, &node->controller, failure);
    if (role == SETTINGS_ENTRY_POINT)
        return entry_point_start(mem, node->loop, node->recorder, settings, &node->entry_point, failure);
    return agent_start(mem, node->loop, node->recorder, settings, &node->agent, failure);
}

void role_end(const AdapterNode *node)
{
    if (node->controller != NULL)
        controller_drain(node->controller);
    if (node->entry_point != NULL)
        entry_point_drain(node->entry_point);
    if (node->agent != NULL)
        agent_drain(node->agent);
    loop_stop(node->loop);
}

void role_dump(const AdapterNode *node)
{
    recorder_dump(node->recorder, stderr);
    fflush(stderr);
}
