/* Checks of what names something elsewhere in the document: kinds, tenants, policies, entries. */
#include <string.h>
#include <talloc.h>

#include "entries.h"
#include "parts.h"
#include "reading.h"

static const char *queue_path(Faults *faults, const ConfigCell *cell, const ConfigQueue *queue, const char *key)
{
    return talloc_asprintf(faults->mem, "cells.%s.queues.%s.%s", cell->name, queue->name, key);
}

/* The kind that it names must be there, if the document has any kinds, and the tenant. */
static void check_queue(const Config *config, const ConfigCell *cell, const ConfigQueue *queue, bool kinds_given,
                        Faults *faults)
{
    if (queue->kind[0] != '\0' && kinds_given && config_kind(config, queue->kind) == NULL)
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "kind"), "there is no kind %s",
                  queue->kind);
    if (queue->tenant[0] != '\0' && config_tenant(cell, queue->tenant) == NULL)
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "tenant"), "the cell has no tenant %s",
                  queue->tenant);
}

/* The same host and prefix twice is a fault of the later one. */
static void enter_queue(ConfigEntries *entries, const ConfigCell *cell, const ConfigQueue *queue, Faults *faults)
{
    const QueuePart *part = (const QueuePart *)queue;
    const char *first = cell->tenant_count > 0 ? cell->tenants[0].name : "";
    const ConfigPlace place = {cell, queue, queue->tenant[0] != '\0' ? queue->tenant : first, part->prefix_length};
    const ConfigPlace *other;
    if (queue->host[0] != '\0' && !entries_add(entries, &place, part->entry_hash, &other))
        fault_add(faults, STATUS_BAD_FIELD, queue_path(faults, cell, queue, "entry"),
                  "queue %s of cell %s has this host and prefix", other->queue->name, other->cell->name);
}

void check_cells(const Reading *reading, json_object *tree)
{
    Config *config = reading->config;
    const bool kinds_given = json_object_object_get_ex(tree, "kinds", NULL);
    size_t count = 0;
    for (size_t i = 0; i < config->cell_count; i++)
        count += config->cells[i].queue_count;
    ConfigEntries *entries = entries_new(config, count);
    config->entries = entries;
    for (size_t i = 0; i < config->cell_count; i++) {
        const ConfigCell *cell = &config->cells[i];
        if (cell->policy[0] != '\0' && config_policy(config, cell->policy) == NULL)
            fault_add(reading->faults, STATUS_BAD_FIELD,
                      talloc_asprintf(reading->faults->mem, "cells.%s.policy", cell->name), "there is no policy %s",
                      cell->policy);
        for (size_t k = 0; k < cell->queue_count && cell->queues[k] != NULL; k++) {
            check_queue(config, cell, cell->queues[k], kinds_given, reading->faults);
            enter_queue(entries, cell, cell->queues[k], reading->faults);
        }
    }
}
