#ifndef ROUTING_SRC_ANSWER_TRACE_H
#define ROUTING_SRC_ANSWER_TRACE_H

#include "routing/messages.h"
#include "trace/trace.h"

/* Notes in the trace that this process carried a request and its result: one event under
 * the key of each job, configuration or zone that the committed changes speak of. took_ms:
 * from the attempt's start to its answer. A null trace notes nothing. */
void answer_trace(Trace *trace, const char *method, const ForwardAnswer *answer, int64_t took_ms);

#endif
