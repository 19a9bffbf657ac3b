/* Records in the trace which objects a forwarded request changed. */
#include "answer_trace.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#include "state/change.h"

#define TRACE_DETAIL_BYTES 48 /* size of the detail text, in bytes: a method, a status code and a duration */

/* The trace key of a committed change, allocated on mem; null: the change has none, or cannot be decoded. */
static const char *trace_key(void *mem, const RepairItem *item)
{
    JobAdd add;
    JobCancel cancel;
    ConfigSet set;
    ZoneDrain drain;
    switch (item->change) {
    case CHANGE_JOB_ADD:
        if (shape_unpack(&JobAdd_shape, item->payload, mem, &add, NULL) == STATUS_OK)
            return talloc_asprintf(mem, "job:%s", add.spec.id);
        return NULL;
    case CHANGE_JOB_CANCEL:
        if (shape_unpack(&JobCancel_shape, item->payload, mem, &cancel, NULL) == STATUS_OK)
            return talloc_asprintf(mem, "job:%s", cancel.id);
        return NULL;
    case CHANGE_CONFIG_SET:
        if (shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) == STATUS_OK)
            return talloc_asprintf(mem, "config:%" PRIu64, set.version);
        return NULL;
    case CHANGE_ZONE_DRAIN:
        if (shape_unpack(&ZoneDrain_shape, item->payload, mem, &drain, NULL) == STATUS_OK)
            return talloc_asprintf(mem, "zone:%s", drain.zone);
        return NULL;
    default:
        return NULL;
    }
}

void answer_trace(Trace *trace, const char *method, const ForwardAnswer *answer, int64_t took_ms)
{
    char detail[TRACE_DETAIL_BYTES];
    snprintf(detail, sizeof(detail), "%s %d, %lld ms", method, (int)answer->code, (long long)took_ms);
    for (size_t i = 0; i < answer->repair_items_count; i++) {
        void *mem = talloc_new(NULL);
        const char *key = trace_key(mem, &answer->repair_items[i]);
        if (key != NULL)
            trace_record(trace, TRACE_CARRIED, detail, "%s", key);
        talloc_free(mem);
    }
}
