/* Delivery of CONFIG_SET. */
#include "state/deliver_config.h"

void deliver_config(Versions *versions, const ConfigSet *set, ChangeResult *result)
{
    const uint64_t current = versions_newest(versions);
    const uint64_t version = set->version != 0 ? set->version : set->base + 1;
    const uint64_t known = versions_find_digest(versions, set->digest);
    result->number = known != 0 ? known : current;
    /* A retry of the same call, or a version proposed again by a repair. */
    if (known != 0 || (set->restored && version <= current))
        return;
    const bool follows = set->base == current && version > current && (!set->patch || versions->count > 0);
    if (!follows && (!set->restored || set->patch)) {
        result->status = STATUS_STALE_VERSION;
        return;
    }
    const Version row = {.version = version,
                         .text = set->text,
                         .base = set->base,
                         .patch = set->patch,
                         .digest = set->digest,
                         .limits = set->limits};
    versions_add(versions, &row);
    result->number = version;
}
