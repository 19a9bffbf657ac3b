/* The settings of an entire deployment, generated from CLUSTER_SETTING_LIST. */
#include "settings/cluster_settings.h"

#include <string.h>

ClusterSettings cluster_settings_default(void)
{
    return (ClusterSettings){
#define X(field, name, default_value, min, max, meaning) .field = default_value,
        CLUSTER_SETTING_LIST(X)
#undef X
    };
}

int cluster_settings_set(ClusterSettings *cluster_settings, const char *name, int64_t value)
{
#define X(field, key, default_value, min, max, meaning) \
    if (strcmp(name, key) == 0) {                       \
        if (value < (min) || value > (max))             \
            return -2;                                  \
        cluster_settings->field = value;                \
        return 0;                                       \
    }
    CLUSTER_SETTING_LIST(X)
#undef X
    return -1;
}
