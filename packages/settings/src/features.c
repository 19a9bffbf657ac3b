/* Features that a deployment can disable: their names and the set of disabled ones. */
#include "settings/features.h"

#include <glib.h>
#include <string.h>

static const char *const NAMES[FEATURE_COUNT] = {
#define X(feature, name, without) name,
    FEATURE_LIST(X)
#undef X
};

_Static_assert(FEATURE_COUNT < 63, "the set is stored in an int64_t");

bool feature_enabled(const ClusterSettings *cluster_settings, Feature feature)
{
    return ((uint64_t)cluster_settings->features_off >> feature & 1) == 0;
}

/* Returns the feature with this name; FEATURE_COUNT when there is none. */
static Feature feature_by_name(const char *name)
{
    for (int i = 0; i < FEATURE_COUNT; i++)
        if (strcmp(NAMES[i], name) == 0)
            return (Feature)i;
    return FEATURE_COUNT;
}

bool features_disable(ClusterSettings *cluster_settings, const char *names, char *unknown)
{
    char **parts = g_strsplit(names, ",", -1);
    uint64_t off = 0;
    bool known = true;
    for (char **part = parts; *part != NULL && known; part++) {
        const char *name = g_strstrip(*part);
        const Feature feature = name[0] != '\0' ? feature_by_name(name) : FEATURE_COUNT;
        known = name[0] == '\0' || feature < FEATURE_COUNT;
        if (feature < FEATURE_COUNT)
            off |= UINT64_C(1) << feature;
        if (!known)
            g_strlcpy(unknown, name, FEATURE_NAME_SIZE);
    }
    g_strfreev(parts);
    if (known)
        cluster_settings->features_off = (int64_t)off;
    return known;
}
