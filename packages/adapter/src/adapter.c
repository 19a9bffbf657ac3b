/* Finds protocol adapters, and passes their calls to the process that they serve. */
#include "adapter/adapter.h"

#include <assert.h>
#include <string.h>

const Adapter *adapter_find(const char *name)
{
    for (const Adapter *const *adapter = ADAPTERS; *adapter != NULL; adapter++)
        if (strcmp((*adapter)->name, name) == 0)
            return *adapter;
    return NULL;
}

bool adapter_redirect(const AdapterNode *node, HttpExchange *task, EntryPointConfig carried, const char **leader)
{
    return node->entry_point != NULL && entry_point_redirect(node->entry_point, task, carried, leader);
}

void adapter_handle_request(const AdapterNode *node, HttpExchange *task)
{
    assert(node->controller != NULL || node->entry_point != NULL);
    if (node->controller != NULL)
        controller_handle_request(node->controller, task);
    else
        entry_point_handle_request(node->entry_point, task);
}
