#ifndef SIM_TEST_LARGE_STATE_H
#define SIM_TEST_LARGE_STATE_H

/* Grows the replicated state of a fleet to a size that the test needs. */
#include <string.h>

#include <talloc.h>

#include "controller_set.h"

#define LABEL_BYTES ((size_t)1024 * 1024) /* usual size of a worker's label in these tests */

/* Adds workers with a label of label_bytes each to the state. A further call replaces the workers of the earlier one,
 * as their names are the same. */
static inline void state_add_large_workers(Fleet *fleet, int workers, size_t label_bytes)
{
    void *mem = talloc_new(NULL);
    char *label = talloc_zero_array(mem, char, (unsigned)label_bytes + 1);
    memset(label, 'x', label_bytes);
    for (int i = 0; i < workers; i++) {
        Bytes payload = {0};
        const char *labels[] = {label};
        const Worker worker = {.name = talloc_asprintf(mem, "big%d", i),
                               .zone = "z",
                               .rack = "",
                               .kind = "",
                               .labels = labels,
                               .labels_count = 1,
                               .excluded = true};
        shape_pack(&Worker_shape, &worker, mem, &payload);
        replication_submit_async(replication_of(fleet, fleet_leader(fleet)), CHANGE_WORKER_SET, payload);
        fleet_run(fleet, 100);
    }
    talloc_free(mem);
}

#endif
