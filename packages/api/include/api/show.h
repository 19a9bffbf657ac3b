#ifndef API_SHOW_H
#define API_SHOW_H

#include "base/failure.h"
#include "base/recorder.h"
#include "loop/loop.h"
#include "queue/queue.h"

/* What users read: the JSON of jobs and workers, and the results of HTTP requests. Used by everything that answers
 * requests. No function here suspends the coroutine. Field names and their order are part of the public API. */

/* --- JSON; each function returns a new reference that the caller owns ----------------------------- */

/* A complete job with its tasks. clock and quota_left (queue/queue.h) determine what its waiting tasks wait for. */
json_object *show_job(const Job *job, QueueClock clock, Resources quota_left);
/* The short form of a job that lists show. */
json_object *show_job_short(const Job *job);
/* The state of a job in one word: "queued" until one of its tasks has started, and its outcome as soon as that is
 * settled. Points to static storage. */
const char *show_phase(const Job *job);
/* The resources of a worker or a task. */
json_object *show_resources(Resources resources);
json_object *show_worker(const Worker *worker);
/* {"status": word, "text": ..., "faults": [...]}. The list is omitted if faults is null or empty. */
json_object *show_failure(Status status, const char *text, const Faults *faults);

/* --- results; each function fills in the result of the task, whose body is allocated on the task --- */

/* A JSON body; takes over the reference. */
void show_result(HttpExchange *task, int code, json_object *body);
/* An error result. The status determines the HTTP code and, for code 503, the Retry-After header. */
void show_refusal(HttpExchange *task, Status status, const char *text, const Faults *faults);
/* Readiness: 200 if callers should use this process, otherwise an error that states why not. */
void show_ready(HttpExchange *task, bool ready, bool leaving);
/* The flight recorder of this process, as text. */
void show_recorder(HttpExchange *task, const Recorder *recorder);
/* Begins a page of metrics. show_metric adds one line to it, "spancart_NAME VALUE". */
void show_metrics_begin(HttpExchange *task);
void show_metric(HttpExchange *task, const char *name, int64_t value);

/* --- queries ------------------------------------------------------------------------------------ */

/* True if the query, which may be null, has the key with a value. */
bool query_has(const char *query, const char *key);
/* The value of a key, copied to mem without decoding; null if the query does not have the key. */
const char *query_value(void *mem, const char *query, const char *key);
/* Sets *value to the integer from least to most that the key has; leaves it unchanged if the query does not have the
 * key. Adds a fault and returns false if the value is not such an integer. */
bool query_int(Faults *faults, const char *query, const char *key, int64_t least, int64_t most, int64_t *value);

#endif
