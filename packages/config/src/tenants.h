#ifndef CONFIG_SRC_TENANTS_H
#define CONFIG_SRC_TENANTS_H

/* Reading the tenants of a cell and building the index of their keys. */

#include "config/config.h"

/* Reads the tenants of the cell at path from its object: sets tenants, tenant_count, keys and keyed, and fills the
 * existing tenant_names. The results are owned by config. */
void read_tenants(Config *config, json_object *object, const char *path, ConfigCell *cell, Faults *faults);

#endif
