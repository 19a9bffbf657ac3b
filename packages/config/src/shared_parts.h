#ifndef CONFIG_SRC_SHARED_PARTS_H
#define CONFIG_SRC_SHARED_PARTS_H

/* Parts that versions of the configuration share: queues and policies. Each is read once from its value in the tree and
 * is reference-counted by the Configs that use it. */

#include "config/config.h"

/* A shared queue. Invariants: references is above 0; source is a reference to the value that the part was read from, so
 * that no other value can be allocated at the same address. */
typedef struct SharedQueue {
    ConfigQueue queue; /* must be first */
    json_object *source;
    size_t references;
    size_t prefix_length;
    guint route_hash;
} SharedQueue;

/* A shared policy, with the same invariants. */
typedef struct SharedPolicy {
    ConfigPolicy policy; /* must be first */
    json_object *source;
    size_t references;
} SharedPolicy;

/* Return a reference, owned by the caller, to the part with this name: to earlier (may be null) if that was read from
 * the same value, else to a new one. path: path of the value's parent. A part is returned even when faults are
 * recorded. */
const ConfigQueue *shared_queue_get(json_object *value, const char *name, const char *path, const ConfigQueue *earlier,
                                    Faults *faults);
const ConfigPolicy *shared_policy_get(json_object *value, const char *name, const char *path,
                                      const ConfigPolicy *earlier, Faults *faults);
/* Release a reference; the last one frees the part. Do nothing for null. */
void shared_queue_release(const ConfigQueue *queue);
void shared_policy_release(const ConfigPolicy *policy);

#endif
