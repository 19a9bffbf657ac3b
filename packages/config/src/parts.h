#ifndef CONFIG_SRC_PARTS_H
#define CONFIG_SRC_PARTS_H

/* The parts that versions of the configuration share: a queue, a policy. Each is read once from
 * its place in the tree and lives as long as any Config uses it. */

#include "config/config.h"

/* Invariants: users is above 0; from is the value that the part was read from, kept, so that no
 * other value can come to stand at the same address. */
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

/* Each gives the caller a use of a part of that name: of earlier (may be null), when that was
 * read from the same value, else of a new one. path: where the value's parent is. A part is
 * returned also when there are faults. */
const ConfigQueue *queue_part(json_object *value, const char *name, const char *path, const ConfigQueue *earlier,
                              Faults *faults);
const ConfigPolicy *policy_part(json_object *value, const char *name, const char *path, const ConfigPolicy *earlier,
                                Faults *faults);
/* Ends a use; the last one frees the part. Nothing for null. */
void queue_part_leave(const ConfigQueue *queue);
void policy_part_leave(const ConfigPolicy *policy);

#endif
