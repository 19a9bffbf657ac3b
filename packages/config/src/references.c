/* Checks of references to other parts of the document (kinds, tenants, policies) and of the routes. */
#include <string.h>
#include <talloc.h>

#include "config_routes.h"
#include "shared_parts.h"
#include "reader.h"

static const char *queue_path(Faults *faults, const ConfigCell *cell, const ConfigQueue *queue, const char *key)
{
    return talloc_asprintf(faults->mem, "cells.%s.queues.%s.%s", cell->name, queue->name, key);
}

/* Checks that the tenant of a queue exists, and its kind as well if the document lists kinds. */
static void check_queue(const Config *config, const ConfigCell *cell, const ConfigQueue *queue, bool kinds_given,
                        Faults *faults)
{
    if (queue->kind[0] != '\0' && kinds_given && config_kind(config, queue->kind) == NULL)
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "kind"), "unknown kind %s", queue->kind);
    if (queue->tenant[0] != '\0' && config_tenant(cell, queue->tenant) == NULL)
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "tenant"), "the cell has no tenant %s",
                  queue->tenant);
}

/* Adds the route of a queue, if it has one. A host and prefix that another queue already has is a fault. */
static void add_queue_route(ConfigRoutes *routes, const ConfigCell *cell, const ConfigQueue *queue, Faults *faults)
{
    const SharedQueue *part = (const SharedQueue *)queue;
    const char *first = cell->tenant_count > 0 ? cell->tenants[0].name : "";
    const ConfigRoute place = {cell, queue, queue->tenant[0] != '\0' ? queue->tenant : first, part->prefix_length};
    const ConfigRoute *other;
    if (queue->host[0] != '\0' && !routes_add(routes, &place, part->route_hash, &other))
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "entry"),
                  "host and prefix already belong to queue %s of cell %s", other->queue->name, other->cell->name);
}

void check_cells(const ConfigReader *reader, json_object *tree)
{
    Config *config = reader->config;
    const bool kinds_given = json_object_object_get_ex(tree, "kinds", NULL);
    size_t count = 0;
    for (size_t i = 0; i < config->cell_count; i++)
        count += config->cells[i].queue_count;
    ConfigRoutes *routes = routes_new(config, count);
    config->routes = routes;
    for (size_t i = 0; i < config->cell_count; i++) {
        const ConfigCell *cell = &config->cells[i];
        if (cell->policy[0] != '\0' && config_policy(config, cell->policy) == NULL)
            fault_add(reader->faults, STATUS_BAD_FIELD,
                      talloc_asprintf(reader->faults->mem, "cells.%s.policy", cell->name), "unknown policy %s",
                      cell->policy);
        for (size_t k = 0; k < cell->queue_count && cell->queues[k] != NULL; k++) {
            check_queue(config, cell, cell->queues[k], kinds_given, reader->faults);
            add_queue_route(routes, cell, cell->queues[k], reader->faults);
        }
    }
}
