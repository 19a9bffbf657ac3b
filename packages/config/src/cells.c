/* Reading cells and their queues. */
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "shared_parts.h"
#include "reader.h"
#include "tenants.h"

#define SHARE_MAX 1000            /* a larger share of a cell is considered a mistake */
#define WAITING_LIMIT_MAX 1000000 /* a larger limit of waiting tasks is considered a mistake */

static void read_queues(const ConfigReader *reader, json_object *object, const char *path, ConfigCell *cell)
{
    json_object *all = read_members(reader->faults, object, path, "queues", &cell->queue_count);
    const ConfigQueue **queues = talloc_zero_array(reader->config, const ConfigQueue *, (unsigned)cell->queue_count);
    cell->queues = queues;
    if (all == NULL)
        return;
    const ConfigCell *earlier = reader->earlier != NULL ? config_cell(reader->earlier, cell->name) : NULL;
    const char *here = check_path(reader->faults, path, "queues");
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        const ConfigQueue *known = earlier != NULL ? config_queue(earlier, name) : NULL;
        if (known == NULL)
            check_member_name(reader->faults, name, path, "queues");
        const ConfigQueue *queue = queues[at++] = shared_queue_get(value, name, here, known, reader->faults);
        g_hash_table_insert(cell->queue_names, (gpointer)(uintptr_t)queue->name, (gpointer)(uintptr_t)queue);
    }
}

static void read_cell(const ConfigReader *reader, json_object *value, const char *path, ConfigCell *cell)
{
    static const char *const KEYS[] = {"share", "limit", "policy", "strict", "keyed", "tenants", "queues", NULL};
    Faults *faults = reader->faults;
    if (!check_keys(faults, value, path, KEYS))
        return;
    cell->share = (uint64_t)check_int(faults, value, path, "share", 1, SHARE_MAX, 1);
    cell->limit = (uint64_t)check_int(faults, value, path, "limit", 1, WAITING_LIMIT_MAX, QUEUE_LIMIT_DEFAULT);
    cell->policy = talloc_strdup(reader->config, check_name(faults, value, path, "policy", ""));
    cell->strict = check_bool(faults, value, path, "strict", true);
    read_tenants(reader->config, value, path, cell, faults);
    cell->keyed = check_bool(faults, value, path, "keyed", cell->keyed);
    read_queues(reader, value, path, cell);
}

void read_cells(const ConfigReader *reader, json_object *object)
{
    Config *config = reader->config;
    json_object *all = read_members(reader->faults, object, "", "cells", &config->cell_count);
    ConfigCell *cells = talloc_zero_array(config, ConfigCell, (unsigned)config->cell_count);
    config->cells = cells;
    for (size_t i = 0; i < config->cell_count; i++) {
        cells[i].name = cells[i].policy = "";
        cells[i].queue_names = g_hash_table_new(g_str_hash, g_str_equal);
        cells[i].tenant_names = g_hash_table_new(g_str_hash, g_str_equal);
    }
    if (all == NULL)
        return;
    size_t at = 0;
    json_object_object_foreach(all, name, value)
    {
        ConfigCell *cell = &cells[at++];
        cell->name = talloc_strdup(config, name);
        check_member_name(reader->faults, name, "", "cells");
        g_hash_table_insert(config->cell_names, (gpointer)(uintptr_t)cell->name, cell);
        read_cell(reader, value, check_path(reader->faults, "cells", name), cell);
    }
}
