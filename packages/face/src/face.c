#include "face/face.h"

#include <string.h>

const Adapter *adapter_find(const char *name)
{
    for (const Adapter *const *adapter = FACES; *adapter != NULL; adapter++)
        if (strcmp((*adapter)->name, name) == 0)
            return *adapter;
    return NULL;
}

bool adapter_elsewhere(const AdapterNode *node, HttpTask *task, bool back, const char **leader)
{
    return node->gate != NULL && gate_elsewhere(node->gate, task, back, leader);
}

void adapter_take(const AdapterNode *node, HttpTask *task)
{
    if (node->controller != NULL)
        controller_take(node->controller, task);
    else
        gate_take(node->gate, task);
}
