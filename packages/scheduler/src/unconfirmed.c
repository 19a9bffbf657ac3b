/* What of tenants may still run though the state table does not have it: it counts against their quotas. */
#include "unconfirmed.h"

#include <stdio.h>
#include <talloc.h>

#include "base/constants.h"
#include "lost_worker.h"

typedef struct Unconfirmed {
    Pass *pass;
    Map *tenants; /* null until there is one */
} Unconfirmed;

static void add(void *arg, const char *cell, const char *tenant, Resources resources)
{
    Unconfirmed *unconfirmed = arg;
    if (unconfirmed->tenants == NULL)
        unconfirmed->tenants = map_new(unconfirmed->pass);
    char key[2 * ID_MAX + 2];
    snprintf(key, sizeof(key), "%s/%s", cell, tenant);
    Resources *sum = map_get(unconfirmed->tenants, key);
    if (sum == NULL) {
        sum = talloc_zero(unconfirmed->tenants, Resources);
        map_set(unconfirmed->tenants, key, sum);
    }
    *sum = resources_more(*sum, resources);
}

const Map *unconfirmed_find(Pass *pass)
{
    Unconfirmed unconfirmed = {pass, NULL};
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const char *worker = pass->input.workers[i].name;
        if (!worker_lease_ended(pass->scheduler, worker))
            orphans_each(pass->scheduler->orphans, worker, add, &unconfirmed);
    }
    return unconfirmed.tenants;
}
