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

const char *mixWord(Mix mix)
{
    return MIXES[mix];
}

Mix mixOfWord(const char *word)
{
    for (int i = 0; i < MIX_COUNT; i++)
        if (strcmp(MIXES[i], word) == 0)
            return (Mix)i;
    return MIX_COUNT;
}

const char *classWord(MixClass kind)
{
    return CLASSES[kind];
}

const char *mixConfig(Mix mix)
{
    if (mix == MIX_TRENTVALE)
        return "{\"r\":1,\"cells\":{\"imagery\":{\"share\":2,\"tenants\":{\"planners\":{},\"flood\":{},\"highways\":{}},"
               "\"queues\":{\"rebuilds\":{\"priority\":0},\"sweeps\":{\"priority\":5},\"masks\":{\"priority\":10}}}}}";
    return "{\"r\":1,\"cells\":{\"registry\":{\"share\":2,\"tenants\":{\"backend\":{},\"pipelines\":{}},"
           "\"queues\":{\"reindex\":{\"priority\":0},\"sweeps\":{\"priority\":2},\"tags\":{\"priority\":10}}}}}";
}

const char *mixJob(void *mem, Mix mix, MixClass kind, const char *id)
{
    if (mix == MIX_TRENTVALE)
        switch (kind) {
        case CLASS_URGENT: /* a cloud mask */
            return talloc_asprintf(mem,
                                   "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"highways\",\"queue\":\"masks\","
                                   "\"protection\":\"best-effort\",\"steps\":[{\"name\":\"mask\","
                                   "\"room\":{\"cpu\":1,\"memMb\":1024},\"payload\":{\"runMs\":600}}]}",
                                   id);
        case CLASS_SWEEP: /* change detection: two steps of many light tasks */
            return talloc_asprintf(mem,
                                   "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\","
                                   "\"steps\":[{\"name\":\"tiles\",\"count\":12,\"room\":{\"cpu\":1,\"memMb\":1024},"
                                   "\"payload\":{\"runMs\":800}},{\"name\":\"changes\",\"after\":[\"tiles\"],\"count\":6,"
                                   "\"room\":{\"cpu\":1,\"memMb\":2048},\"payload\":{\"runMs\":800}}]}",
                                   id);
        default: /* an orthomosaic rebuild: a few heavy tasks */
            return talloc_asprintf(mem,
                                   "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"planners\",\"queue\":\"rebuilds\","
                                   "\"steps\":[{\"name\":\"mosaic\",\"count\":3,\"room\":{\"cpu\":8,\"memMb\":16384},"
                                   "\"payload\":{\"runMs\":5000}}]}",
                                   id);
        }
    switch (kind) {
    case CLASS_URGENT: /* a tag list refresh */
        return talloc_asprintf(mem,
                               "{\"id\":\"%s\",\"cell\":\"registry\",\"tenant\":\"pipelines\",\"queue\":\"tags\","
                               "\"protection\":\"best-effort\",\"steps\":[{\"name\":\"refresh\","
                               "\"room\":{\"cpu\":0.5,\"memMb\":256},\"payload\":{\"runMs\":300}}]}",
                               id);
    case CLASS_SWEEP: /* unreferenced blobs: two steps */
        return talloc_asprintf(mem,
                               "{\"id\":\"%s\",\"cell\":\"registry\",\"tenant\":\"backend\",\"queue\":\"sweeps\","
                               "\"steps\":[{\"name\":\"mark\",\"count\":6,\"room\":{\"cpu\":0.5,\"memMb\":1024},"
                               "\"payload\":{\"runMs\":1000}},{\"name\":\"sweep\",\"after\":[\"mark\"],\"count\":3,"
                               "\"room\":{\"cpu\":0.5,\"memMb\":1024},\"payload\":{\"runMs\":800}}]}",
                               id);
    default: /* a layer index rebuild */
        return talloc_asprintf(mem,
                               "{\"id\":\"%s\",\"cell\":\"registry\",\"tenant\":\"backend\",\"queue\":\"reindex\","
                               "\"steps\":[{\"name\":\"index\",\"count\":2,\"room\":{\"cpu\":4,\"memMb\":8192},"
                               "\"payload\":{\"runMs\":2500}}]}",
                               id);
    }
}
