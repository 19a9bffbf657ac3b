/* Configuration versions as changes that can be sent again. */
#include "config_set.h"

ConfigSet config_set_of(const Version *row)
{
    return (ConfigSet){.base = row->base,
                       .version = row->version,
                       .text = row->text,
                       .restored = true,
                       .patch = row->patch,
                       .digest = row->digest,
                       .limits = row->limits};
}

const Version *config_find_row(const Versions *versions, uint64_t version)
{
    for (size_t i = versions->count; i > 0; i--)
        if (versions->rows[i - 1].version == version)
            return &versions->rows[i - 1];
    return NULL;
}
