#include "table/deliverconfig.h"

void deliver_config(Revisions *revisions, const ConfigSet *set, ChangeResult *result)
{
    const uint64_t current = revisions_newest(revisions);
    const uint64_t revision = set->revision != 0 ? set->revision : set->base + 1;
    const uint64_t known = revisions_digest(revisions, set->digest);
    result->number = known != 0 ? known : current;
    /* the same call sent again, or told again in a repair */
    if (known != 0 || (set->restored && revision <= current))
        return;
    const bool follows = set->base == current && revision > current && (!set->patch || revisions->count > 0);
    if (!follows && (!set->restored || set->patch)) {
        result->status = STATUS_STALE_REVISION;
        return;
    }
    const Revision row = {.revision = revision,
                          .text = set->text,
                          .base = set->base,
                          .patch = set->patch,
                          .digest = set->digest,
                          .limits = set->limits};
    revisions_add(revisions, &row);
    result->number = revision;
}
