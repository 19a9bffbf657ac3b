/* Results of requests: JSON bodies, errors, readiness, the flight recorder and metrics. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "api/show.h"

#define METRIC_LINE_BYTES 96  /* Buffer size in bytes for a line of metrics */
#define METRIC_VALUE_BYTES 24 /* Bytes of the line that are reserved for its value */

void show_result(HttpExchange *task, int code, json_object *body)
{
    task->code = code;
    task->content_type = "application/json";
    task->response_body = (Bytes){0};
    const char *text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
    bytes_add(task, &task->response_body, text, strlen(text));
    bytes_add(task, &task->response_body, "\n", 1);
    json_object_put(body);
}

void show_refusal(HttpExchange *task, Status status, const char *text, const Faults *faults)
{
    const int code = status_http(status);
    task->status = status;
    task->retry_after_s = status_retry_s(status);
    show_result(task, code, show_failure(status, text, faults));
}

void show_ready(HttpExchange *task, bool ready, bool leaving)
{
    if (!ready) {
        show_refusal(task, leaving ? STATUS_LEAVING : STATUS_NO_LEADER, "not ready", NULL);
        return;
    }
    json_object *body = json_object_new_object();
    json_object_object_add(body, "ready", json_object_new_boolean(true));
    show_result(task, 200, body);
}

static void text_result_begin(HttpExchange *task, const char *kind)
{
    task->code = 200;
    task->content_type = kind;
    task->response_body = (Bytes){0};
}

void show_recorder(HttpExchange *task, const Recorder *recorder)
{
    text_result_begin(task, "text/plain");
    const char *text = recorder_text(recorder, task);
    bytes_add(task, &task->response_body, text, strlen(text));
}

void show_metrics_begin(HttpExchange *task)
{
    text_result_begin(task, "text/plain; version=0.0.4");
}

void show_metric(HttpExchange *task, const char *name, int64_t value)
{
    /* Names are in camel case in the source and in snake case in the output. */
    char line[METRIC_LINE_BYTES];
    size_t at = (size_t)snprintf(line, sizeof(line), "spancart_");
    for (; *name != '\0' && at < sizeof(line) - METRIC_VALUE_BYTES; name++) {
        if (*name >= 'A' && *name <= 'Z') {
            line[at++] = '_';
            line[at++] = (char)(*name - 'A' + 'a');
        } else {
            line[at++] = *name;
        }
    }
    at += (size_t)snprintf(line + at, sizeof(line) - at, " %" PRId64 "\n", value);
    bytes_add(task, &task->response_body, line, at);
}
