#ifndef ROUTING_SRC_ANSWER_TRACE_H
#define ROUTING_SRC_ANSWER_TRACE_H

#include "routing/messages.h"
#include "trace/trace.h"

/* Records in the trace that this process forwarded a request and its result: one event under the key of each job,
 * configuration or zone that the committed changes concern. took_ms: time from the start of the attempt to its answer.
 * Does nothing if trace is null. */
void answer_trace(Trace *trace, const char *method, const ForwardAnswer *answer, int64_t took_ms);

#endif
