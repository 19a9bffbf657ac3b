/* Features that a deployment runs without: their words, and the set. */
#include "settings/features.h"

#include <glib.h>
#include <string.h>

static const char *const WORDS[FEATURE_COUNT] = {
#define X(name, word, without) word,
    FEATURE_LIST(X)
#undef X
};

_Static_assert(FEATURE_COUNT < 63, "the set is kept in a bound");

bool feature_on(const Bounds *bounds, Feature feature)
{
    return ((uint64_t)bounds->features_off >> feature & 1) == 0;
}

/* The feature of the word; FEATURE_COUNT: there is none. */
static Feature feature_of(const char *word)
{
    for (int i = 0; i < FEATURE_COUNT; i++)
        if (strcmp(WORDS[i], word) == 0)
            return (Feature)i;
    return FEATURE_COUNT;
}

bool features_without(Bounds *bounds, const char *words, char *unknown)
{
    char **parts = g_strsplit(words, ",", -1);
    uint64_t off = 0;
    bool known = true;
    for (char **part = parts; *part != NULL && known; part++) {
        const char *word = g_strstrip(*part);
        const Feature feature = word[0] != '\0' ? feature_of(word) : FEATURE_COUNT;
        known = word[0] == '\0' || feature < FEATURE_COUNT;
        if (feature < FEATURE_COUNT)
            off |= UINT64_C(1) << feature;
        if (!known)
            g_strlcpy(unknown, word, FEATURE_WORD_MOST);
    }
    g_strfreev(parts);
    if (known)
        bounds->features_off = (int64_t)off;
    return known;
}
