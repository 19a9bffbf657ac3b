/* Adds delivered changes to this node's trace (package trace): what happened to a job, a zone or the configuration. */
#include "trace_delivered.h"

#include <inttypes.h>
#include <stdio.h>

/* Buffer size in bytes for the numbers of a task and an attempt, and a worker's name, which is truncated */
#define ATTEMPT_DETAIL_BYTES 64
#define CHANGE_DETAIL_BYTES 48 /* Buffer size in bytes for an index and the word of a status */

static void trace_placements(Controller *controller, const PlaceList *places)
{
    char detail[ATTEMPT_DETAIL_BYTES];
    for (size_t i = 0; i < places->placements_count; i++) {
        const Placement *place = &places->placements[i];
        snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " to %.20s", place->task, place->attempt,
                 place->worker);
        trace_record(controller->trace, TRACE_DELIVERED, detail, "job:%s", place->job);
    }
}

static void trace_attempts(Controller *controller, const AttemptList *attempts)
{
    char detail[ATTEMPT_DETAIL_BYTES];
    for (size_t i = 0; i < attempts->updates_count; i++) {
        const AttemptUpdate *update = &attempts->updates[i];
        snprintf(detail, sizeof(detail), "task %" PRIu64 " round %" PRIu64 " %s", update->task, update->attempt,
                 attempt_status_name(update->word));
        trace_record(controller->trace, TRACE_DELIVERED, detail, "job:%s", update->job);
    }
}

void trace_delivered(Controller *controller, const Record *change, const void *body, const ChangeResult *result)
{
    if (body == NULL || controller->trace == NULL)
        return;
    char detail[CHANGE_DETAIL_BYTES];
    const bool good = result->status == STATUS_OK;
    snprintf(detail, sizeof(detail), "index %" PRIu64 "%s%s", change->index, good ? "" : " ",
             good ? "" : status_word(result->status));
    switch (change->change) {
    case CHANGE_JOB_ADD:
        trace_record(controller->trace, TRACE_DELIVERED, detail, "job:%s", ((const JobAdd *)body)->spec.id);
        break;
    case CHANGE_JOB_CANCEL:
        trace_record(controller->trace, TRACE_DELIVERED, detail, "job:%s", ((const JobCancel *)body)->id);
        break;
    case CHANGE_PLACE:
        trace_placements(controller, body);
        break;
    case CHANGE_ATTEMPTS:
        trace_attempts(controller, body);
        break;
    case CHANGE_CONFIG_SET:
        trace_record(controller->trace, TRACE_DELIVERED, detail, "config:%" PRIu64, ((const ConfigSet *)body)->version);
        break;
    case CHANGE_ZONE_DRAIN: {
        const ZoneDrain *drain = body;
        trace_record(controller->trace, TRACE_DELIVERED, drain->drained ? "drained" : "back", "zone:%s", drain->zone);
        break;
    }
    default:
        break;
    }
}
