#ifndef CONFIG_SRC_TENANTS_H
#define CONFIG_SRC_TENANTS_H

/* Reading a cell's tenants, with the index of their keys. */

#include "config/config.h"

/* Reads the tenants of the cell, which stands at path, from its object: sets tenants, tenant_count, keys and keyed, and
 * fills tenant_names, which has been made. Owned by config. */
void read_tenants(Config *config, json_object *object, const char *path, ConfigCell *cell, Faults *faults);

#endif
