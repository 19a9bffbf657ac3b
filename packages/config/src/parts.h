#ifndef CONFIG_SRC_PARTS_H
#define CONFIG_SRC_PARTS_H

#include "config/config.h"

/* What two versions may share: it is read once from its place in the tree and
 * lives as long as any Config uses it.
 * Invariant: from is the value that it was read from, kept, so that no other
 * value can come to stand at the same address. */
typedef struct QueuePart {
    ConfigQueue queue; /* first */
    json_object *from;
    size_t users;
    size_t prefix_length;
    guint entry_hash;
} QueuePart;

typedef struct PolicyPart {
    ConfigPolicy policy; /* first */
    json_object *from;
    size_t users;
} PolicyPart;

/* Each gives a use. earlier (may be null) is of this name. A part is returned
 * also when there are faults. */
const ConfigQueue *queue_part(json_object *value, const char *name, const char *path, const ConfigQueue *earlier,
                              Faults *faults);
const ConfigPolicy *policy_part(json_object *value, const char *name, const char *path, const ConfigPolicy *earlier,
                                Faults *faults);
/* Ends a use; null is nothing. */
void queue_part_leave(const ConfigQueue *queue);
void policy_part_leave(const ConfigPolicy *policy);

#endif
