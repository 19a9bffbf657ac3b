/* The mixes of jobs: their words, configurations, cells and probes. */
#include <string.h>
#include <talloc.h>

#include "standin/caller.h"

static const char *const MIXES[] = {
#define X(name, word) word,
    MIX_LIST(X)
#undef X
};

static const char *const CLASSES[] = {
#define X(name, word) word,
    CLASS_LIST(X)
#undef X
};

const char *mix_word(Mix mix)
{
    return MIXES[mix];
}

Mix mix_from_word(const char *word)
{
    for (int i = 0; i < MIX_COUNT; i++)
        if (strcmp(MIXES[i], word) == 0)
            return (Mix)i;
    return MIX_COUNT;
}

const char *class_word(MixClass kind)
{
    return CLASSES[kind];
}

/* Two cells, a policy that preempts, a quota, and tolerance of the loss of a zone. */
static const char VARIED_CONFIG[] =
    "{\"r\":1,\"zoneLoss\":true,"
    "\"policies\":{\"urgent\":\"function rank(t) return t.queue_priority + t.priority end "
    "function may_push(a, b) return a.queue == 'masks' and b.queue == 'rebuilds' end\"},"
    "\"cells\":{\"imagery\":{\"share\":2,\"policy\":\"urgent\","
    "\"tenants\":{\"planners\":{},\"flood\":{},\"highways\":{},\"probe\":{},"
    "\"bounded\":{\"quota\":{\"cpu\":3,\"memMb\":0}}},"
    "\"queues\":{\"rebuilds\":{\"priority\":0},\"sweeps\":{\"priority\":5},\"masks\":{\"priority\":10}}},"
    "\"registry\":{\"share\":1,\"tenants\":{\"backend\":{},\"pipelines\":{}},"
    "\"queues\":{\"reindex\":{\"priority\":0},\"tags\":{\"priority\":10}}}}}";

const char *mix_config(Mix mix)
{
    if (mix == MIX_VARIED)
        return VARIED_CONFIG;
    if (mix == MIX_TRENTVALE)
        return "{\"r\":1,\"cells\":{\"imagery\":{\"share\":2,\"tenants\":{\"planners\":{},\"flood\":{},\"highways\":{},\"probe\":{}},"
               "\"queues\":{\"rebuilds\":{\"priority\":0},\"sweeps\":{\"priority\":5},\"masks\":{\"priority\":10}}}}}";
    return "{\"r\":1,\"cells\":{\"registry\":{\"share\":2,\"tenants\":{\"backend\":{},\"pipelines\":{},\"probe\":{}},"
           "\"queues\":{\"reindex\":{\"priority\":0},\"sweeps\":{\"priority\":2},\"tags\":{\"priority\":10}}}}}";
}

const char *mix_cell(Mix mix)
{
    return mix == MIX_ATLAS ? "registry" : "imagery";
}

const char *mix_probe(void *mem, Mix mix, const char *tenant, const char *id)
{
    return talloc_asprintf(mem,
                           "{\"id\":\"%s\",\"cell\":\"%s\",\"tenant\":\"%s\",\"queue\":\"%s\","
                           "\"steps\":[{\"name\":\"probe\",\"room\":{\"cpu\":0.1,\"memMb\":16},"
                           "\"payload\":{\"runMs\":50}}]}",
                           id, mix_cell(mix), tenant, mix == MIX_ATLAS ? "tags" : "masks");
}
