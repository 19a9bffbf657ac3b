#ifndef API_SHOW_H
#define API_SHOW_H

#include "base/failure.h"
#include "base/ring.h"
#include "loop/loop.h"
#include "queue/queue.h"

/* What users read. Each value built here is the caller's to put. */
json_object *showJob(const Job *job, QueueClock clock);
json_object *showJobShort(const Job *job);
/* One word for a job as a whole: queued until a task of it has started, what it
 * will come to as soon as that is settled. */
const char *showPhase(const Job *job);
json_object *showRoom(Room room);
json_object *showWorker(const Worker *worker);
/* {"status": word, "text": ..., "faults": [...]} */
json_object *showFailure(Status status, const char *text, const Faults *faults);

/* Fills in the result and puts the body. */
void showResult(HttpTask *task, int code, json_object *body);
/* A typed refusal. 503s carry Retry-After. */
void showRefusal(HttpTask *task, Status status, const char *text, const Faults *faults);
/* Whether callers should come to this process. */
void showReady(HttpTask *task, bool ready, bool leaving);
/* The log ring of this process, as text. */
void showRing(HttpTask *task, const Ring *ring);
/* One line for a scraper: spancart_NAME VALUE. */
void showMetric(HttpTask *task, const char *name, int64_t value);
/* Makes the result a page of metrics; lines are added by showMetric. */
void showMetricsBegin(HttpTask *task);
/* The value of a key in a query, on mem; null when it is not there. */
const char *queryValue(void *mem, const char *query, const char *key);
/* As a whole number in a range; false and a fault otherwise. */
bool queryInt(Faults *faults, const char *query, const char *key, int64_t least, int64_t most, int64_t *value);

#endif
