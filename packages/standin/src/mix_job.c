/* The jobs of the mixes, as JSON. */
#include <talloc.h>

#include "standin/caller.h"

/* The parts of a job of the varied mix; null: as in VARIED_PLAIN. */
typedef struct VariedParts {
    const char *head; /* cell, tenant and queue */
    const char *tail; /* further keys of the job */
    const char *step; /* keys of its step */
} VariedParts;

static const VariedParts VARIED_PLAIN = {.head = "\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\"",
                                         .tail = "",
                                         .step = "\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":900}"};

/* The parts that are the same in all jobs of a class; varied_tail and varied_step give the other parts. */
static const VariedParts VARIED[CLASS_COUNT] = {
    [CLASS_COPIES] = {.tail = ",\"copies\":true",
                      .step = "\"count\":2,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":2500}"},
    [CLASS_KIND] = {.head = "\"cell\":\"registry\",\"tenant\":\"backend\",\"queue\":\"reindex\"",
                    .step = "\"count\":2,\"kind\":\"gpu\",\"room\":{\"cpu\":2,\"memMb\":2048},"
                            "\"payload\":{\"runMs\":1500}"},
    [CLASS_LABEL] = {.head = "\"cell\":\"registry\",\"tenant\":\"pipelines\",\"queue\":\"tags\"",
                     .step = "\"labels\":[\"ssd\"],\"room\":{\"cpu\":0.5,\"memMb\":256},\"payload\":{\"runMs\":400}"},
    [CLASS_BOUNDED] = {.head = "\"cell\":\"imagery\",\"tenant\":\"bounded\",\"queue\":\"sweeps\"",
                       .step = "\"count\":4,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":700}"},
    /* turns overlap: each takes longer than the time until the next is due */
    [CLASS_TURNS] = {.step = "\"count\":2,\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":600}},"
                             "{\"name\":\"two\",\"after\":[\"one\"],"
                             "\"room\":{\"cpu\":1,\"memMb\":512},\"payload\":{\"runMs\":600}"},
    [CLASS_LASTING] = {.tail = ",\"lasting\":true"},
};

/* Returns keys with times that depend on when the job was first sent; null: the class has none. */
static const char *varied_tail(void *mem, MixClass kind, int64_t wall_ms)
{
    switch (kind) {
    case CLASS_DUE:
        return talloc_asprintf(mem, ",\"dueWallMs\":%lld", (long long)wall_ms + 2000 + wall_ms % 3000);
    case CLASS_DELAYED:
        return talloc_asprintf(mem, ",\"delayMs\":%lld", (long long)(1000 + wall_ms % 4000));
    case CLASS_TURNS:
        return talloc_asprintf(mem, ",\"turns\":3,\"periodMs\":700,\"firstWallMs\":%lld",
                               (long long)wall_ms + 500 + wall_ms % 1500);
    default:
        return NULL;
    }
}

/* Returns the keys of a step that differs between jobs, depending on when the job was first sent; null: the class
 * has none. */
static const char *varied_step(void *mem, MixClass kind, int64_t wall_ms)
{
    switch (kind) {
    case CLASS_GANG:
        /* one gang in four has members that fail their first attempt; one in eight runs long enough for an isolated
         * member to be noticed */
        return talloc_asprintf(mem,
                               "\"count\":4,\"gang\":true,\"room\":{\"cpu\":2,\"memMb\":1024},"
                               "\"payload\":{\"runMs\":%d,\"failRounds\":%d}",
                               wall_ms % 8 == 1 ? 9000 : 1500, wall_ms % 4 == 0);
    case CLASS_IMPOSSIBLE:
        return wall_ms % 2 ? "\"kind\":\"none\",\"room\":{\"cpu\":1,\"memMb\":1}"
                           : "\"room\":{\"cpu\":9999,\"memMb\":1}";
    case CLASS_LASTING:
        return talloc_asprintf(
            mem, "\"count\":2,\"room\":{\"cpu\":0.5,\"memMb\":256},\"payload\":{\"runMs\":900,\"failRounds\":%d}",
            (int)(wall_ms % 3));
    case CLASS_SAVER: /* long; one in three fails its first attempt, and the next one continues from its checkpoint */
        return talloc_asprintf(mem,
                               "\"count\":2,\"saves\":true,\"room\":{\"cpu\":1,\"memMb\":512},"
                               "\"payload\":{\"runMs\":3500,\"saveMs\":500,\"failRounds\":%d}",
                               wall_ms % 3 == 0);
    default:
        return NULL;
    }
}

/* Returns the first argument that is not null. */
static const char *first_non_null(const char *drawn, const char *of_class, const char *plain)
{
    if (drawn != NULL)
        return drawn;
    return of_class != NULL ? of_class : plain;
}

static const char *varied_job(void *mem, MixClass kind, const char *id, int64_t wall_ms)
{
    const VariedParts *parts = &VARIED[kind];
    const char *head = first_non_null(NULL, parts->head, VARIED_PLAIN.head);
    const char *tail = first_non_null(varied_tail(mem, kind, wall_ms), parts->tail, VARIED_PLAIN.tail);
    const char *step = first_non_null(varied_step(mem, kind, wall_ms), parts->step, VARIED_PLAIN.step);
    return talloc_asprintf(mem, "{\"id\":\"%s\",%s%s,\"steps\":[{\"name\":\"one\",%s}]}", id, head, tail, step);
}

/* A job of the Trentvale mix: satellite imagery. */
static const char *trentvale_job(void *mem, MixClass kind, const char *id)
{
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
}

/* A job of the Atlas mix: a container registry. */
static const char *atlas_job(void *mem, MixClass kind, const char *id)
{
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

const char *mix_job(void *mem, Mix mix, MixClass kind, const char *id, int64_t wall_ms)
{
    if (kind == CLASS_PROBE)
        return mix_probe(mem, mix, "probe", id);
    if (kind > CLASS_HEAVY)
        return varied_job(mem, kind, id, wall_ms);
    return mix == MIX_ATLAS ? atlas_job(mem, kind, id) : trentvale_job(mem, kind, id);
}
