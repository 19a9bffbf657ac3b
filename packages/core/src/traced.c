/* What the trace keeps of a delivered change. */
#include <inttypes.h>
#include <stdio.h>

#include "inside.h"

static void trace_places(Core *core, const PlaceList *places)
{
    char detail[64];
    for (size_t i = 0; i < places->placements_count; i++) {
        const Placement *place = &places->placements[i];
        snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " to %.20s", place->task, place->round,
                 place->worker);
        trace_say(core->trace, TRACE_DELIVERED, detail, "job:%s", place->job);
    }
}

static void trace_rounds(Core *core, const RoundList *rounds)
{
    char detail[64];
    for (size_t i = 0; i < rounds->news_count; i++) {
        const RoundNews *news = &rounds->news[i];
        snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " %s", news->task, news->round,
                 round_word(news->word));
        trace_say(core->trace, TRACE_DELIVERED, detail, "job:%s", news->job);
    }
}

void trace_delivered(Core *core, const Record *change, const void *body, const ChangeResult *result)
{
    if (body == NULL || core->trace == NULL)
        return;
    char detail[48];
    const bool good = result->status == STATUS_OK;
    snprintf(detail, sizeof(detail), "index %" PRIu64 "%s%s", change->index, good ? "" : " ",
             good ? "" : status_word(result->status));
    switch (change->change) {
    case CHANGE_JOB_ADD:
        trace_say(core->trace, TRACE_DELIVERED, detail, "job:%s", ((const JobAdd *)body)->spec.id);
        break;
    case CHANGE_JOB_CANCEL:
        trace_say(core->trace, TRACE_DELIVERED, detail, "job:%s", ((const JobCancel *)body)->id);
        break;
    case CHANGE_PLACE:
        trace_places(core, body);
        break;
    case CHANGE_ROUNDS:
        trace_rounds(core, body);
        break;
    case CHANGE_CONFIG_SET:
        trace_say(core->trace, TRACE_DELIVERED, detail, "config:%" PRIu64, ((const ConfigSet *)body)->version);
        break;
    case CHANGE_ZONE_DRAIN: {
        const ZoneDrain *drain = body;
        trace_say(core->trace, TRACE_DELIVERED, drain->drained ? "drained" : "back", "zone:%s", drain->zone);
        break;
    }
    default:
        break;
    }
}
