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

Mix mix_of_word(const char *word)
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

/* Two cells, a policy that pushes, a quota, and the loss of a zone to be survived. */
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

static const char *varied_job(void *mem, MixClass kind, const char *id, int64_t wall_ms)
{
    const char *tail = ""; /* after the queue */
    const char *step = "\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":900}";
    const char *head = "\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\"";
    switch (kind) {
    case CLASS_GANG: /* one gang in four has members that fail their first round; one in eight
                      * runs for so long that a member left alone is noticed */
        step = talloc_asprintf(mem,
                               "\"count\":4,\"gang\":true,\"room\":{\"cpu\":2,\"memMb\":1024},"
                               "\"payload\":{\"runMs\":%d,\"failRounds\":%d}",
                               wall_ms % 8 == 1 ? 9000 : 1500, wall_ms % 4 == 0);
        break;
    case CLASS_DUE:
        tail = talloc_asprintf(mem, ",\"dueWallMs\":%lld", (long long)wall_ms + 2000 + wall_ms % 3000);
        break;
    case CLASS_DELAYED:
        tail = talloc_asprintf(mem, ",\"delayMs\":%lld", (long long)(1000 + wall_ms % 4000));
        break;
    case CLASS_COPIES:
        tail = ",\"copies\":true";
        step = "\"count\":2,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":2500}";
        break;
    case CLASS_KIND:
        head = "\"cell\":\"registry\",\"tenant\":\"backend\",\"queue\":\"reindex\"";
        step = "\"count\":2,\"kind\":\"gpu\",\"room\":{\"cpu\":2,\"memMb\":2048},\"payload\":{\"runMs\":1500}";
        break;
    case CLASS_LABEL:
        head = "\"cell\":\"registry\",\"tenant\":\"pipelines\",\"queue\":\"tags\"";
        step = "\"labels\":[\"ssd\"],\"room\":{\"cpu\":0.5,\"memMb\":256},\"payload\":{\"runMs\":400}";
        break;
    case CLASS_BOUNDED:
        head = "\"cell\":\"imagery\",\"tenant\":\"bounded\",\"queue\":\"sweeps\"";
        step = "\"count\":4,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":700}";
        break;
    case CLASS_IMPOSSIBLE:
        step =
            wall_ms % 2 ? "\"kind\":\"none\",\"room\":{\"cpu\":1,\"memMb\":1}" : "\"room\":{\"cpu\":9999,\"memMb\":1}";
        break;
    case CLASS_TURNS: /* turns overlap: each takes longer than until the next is due */
        tail = talloc_asprintf(mem, ",\"turns\":3,\"periodMs\":700,\"firstWallMs\":%lld",
                               (long long)wall_ms + 500 + wall_ms % 1500);
        step =
            "\"count\":2,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":600}},{\"name\":\"two\",\"after\":[\"one\"],"
            "\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":600}";
        break;
    case CLASS_LASTING:
        tail = ",\"lasting\":true";
        step = talloc_asprintf(
            mem, "\"count\":2,\"room\":{\"cpu\":0.5,\"memMb\":256},\"payload\":{\"runMs\":900,\"failRounds\":%d}",
            (int)(wall_ms % 3));
        break;
    case CLASS_SAVER: /* long, one in three fails its first round: the next goes on from what it has saved */
        step = talloc_asprintf(mem,
                               "\"count\":2,\"saves\":true,\"room\":{\"cpu\":1,\"memMb\":512},"
                               "\"payload\":{\"runMs\":3500,\"saveMs\":500,\"failRounds\":%d}",
                               wall_ms % 3 == 0);
        break;
    default:
        break;
    }
    return talloc_asprintf(mem, "{\"id\":\"%s\",%s%s,\"steps\":[{\"name\":\"one\",%s}]}", id, head, tail, step);
}

const char *mix_job(void *mem, Mix mix, MixClass kind, const char *id, int64_t wall_ms)
{
    if (kind > CLASS_HEAVY)
        return kind == CLASS_PROBE ? mix_probe(mem, mix, "probe", id) : varied_job(mem, kind, id, wall_ms);
    if (mix != MIX_ATLAS)
        switch (kind) {
        case CLASS_URGENT: /* a cloud mask */
            return talloc_asprintf(mem,
                                   "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"highways\",\"queue\":\"masks\","
                                   "\"protection\":\"best-effort\",\"steps\":[{\"name\":\"mask\","
                                   "\"room\":{\"cpu\":1,\"memMb\":1024},\"payload\":{\"runMs\":600}}]}",
                                   id);
        case CLASS_SWEEP: /* change detection: two steps of many light tasks */
            return talloc_asprintf(
                mem,
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
