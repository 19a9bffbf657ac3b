#ifndef API_SHOW_H
#define API_SHOW_H

#include "base/failure.h"
#include "base/recorder.h"
#include "loop/loop.h"
#include "queue/queue.h"

/* What users read: JSON of jobs and workers, and the results of HTTP requests. Used by
 * everything that answers requests. Nothing here waits. Field names and their order are the
 * public API. */

/* --- JSON; each value is a new reference of the caller's own -------------------------------- */

/* A whole job with its tasks; clock and quota_left (queue/queue.h): what their waiting is judged by. */
json_object *show_job(const Job *job, QueueClock clock, Resources quota_left);
/* A job as lists show it. */
json_object *show_job_short(const Job *job);
/* One word for a job as a whole: queued until a task of it has started, and how it ends as
 * soon as that is settled. Static. */
const char *show_phase(const Job *job);
/* Capacity. */
json_object *show_resources(Resources resources);
json_object *show_worker(const Worker *worker);
/* {"status": word, "text": ..., "faults": [...]}; no faults, or null: without the list. */
json_object *show_failure(Status status, const char *text, const Faults *faults);

/* --- results: each fills in the task's; bodies live on the task ------------------------------- */

/* A JSON body, whose reference is taken over. */
void show_result(HttpTask *task, int code, json_object *body);
/* A refusal: the code and, with 503, Retry-After are those of the status. */
void show_refusal(HttpTask *task, Status status, const char *text, const Faults *faults);
/* Whether callers should come to this process: 200, or the refusal that says why not. */
void show_ready(HttpTask *task, bool ready, bool leaving);
/* The flight recorder of this process, as text. */
void show_recorder(HttpTask *task, const Recorder *recorder);
/* Begins a page of metrics; show_metric adds a line, spancart_NAME VALUE. */
void show_metrics_begin(HttpTask *task);
void show_metric(HttpTask *task, const char *name, int64_t value);

/* --- queries ------------------------------------------------------------------------------------ */

/* Whether a query, which may be null, has the key with a value. */
bool query_has(const char *query, const char *key);
/* The value of a key, on mem, as it stands in the query; null when the query does not have it. */
const char *query_value(void *mem, const char *query, const char *key);
/* Sets *value to a whole number from least to most; it is left as it is when the key is not
 * there. False and a fault when it is none such. */
bool query_int(Faults *faults, const char *query, const char *key, int64_t least, int64_t most, int64_t *value);

#endif
