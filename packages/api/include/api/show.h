#ifndef API_SHOW_H
#define API_SHOW_H

#include "base/failure.h"
#include "base/recorder.h"
#include "loop/loop.h"
#include "queue/queue.h"

/* What users read. Each value built here is the caller's to put. */
json_object *show_job(const Job *job, QueueClock clock);
json_object *show_job_short(const Job *job);
/* One word for a job as a whole: queued until a task of it has started, what it
 * will come to as soon as that is settled. */
const char *show_phase(const Job *job);
json_object *show_room(Room room);
json_object *show_worker(const Worker *worker);
/* {"status": word, "text": ..., "faults": [...]} */
json_object *show_failure(Status status, const char *text, const Faults *faults);

/* Fills in the result and puts the body. */
void show_result(HttpTask *task, int code, json_object *body);
/* A typed refusal. 503s carry Retry-After. */
void show_refusal(HttpTask *task, Status status, const char *text, const Faults *faults);
/* Whether callers should come to this process. */
void show_ready(HttpTask *task, bool ready, bool leaving);
/* The log ring of this process, as text. */
void show_recorder(HttpTask *task, const Recorder *recorder);
/* One line for a scraper: spancart_NAME VALUE. */
void show_metric(HttpTask *task, const char *name, int64_t value);
/* Makes the result a page of metrics; lines are added by show_metric. */
void show_metrics_begin(HttpTask *task);
/* The value of a key in a query, on mem; null when it is not there. */
const char *query_value(void *mem, const char *query, const char *key);
/* As a whole number in a range; false and a fault otherwise. */
bool query_int(Faults *faults, const char *query, const char *key, int64_t least, int64_t most, int64_t *value);

#endif
