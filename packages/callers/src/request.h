#ifndef CALLERS_SRC_REQUEST_H
#define CALLERS_SRC_REQUEST_H

#include "api/job_json.h"
#include "api/show.h"
#include "state.h"

/* A request while the leader answers it. Everything is allocated on mem, or belongs to the caller of route_request. */
typedef struct CallerRequest {
    CallerService *service;
    HttpExchange *task;
    void *mem;
    Faults *faults;
    RepairList *repair_items;   /* sent with the answer, for the repair buffer of the node that returns it */
    const char *name;           /* the job or zone that the path names */
    const ConfigTenant *caller; /* at an entry, valid until the coroutine is suspended: the tenant whose key the request
                                   has; null: no known key */
    bool committed;             /* a change was committed for this request */
} CallerRequest;

/* The present time by the log's clock and by the wall clock. */
QueueClock request_clock(const CallerRequest *request);
/* Suspends the coroutine. Submits a change for the request, as replication_submit does; an accepted change is added to
 * repair_items. */
Status request_submit(CallerRequest *request, ChangeKind kind, const Shape *shape, const void *body,
                      ChangeResult *result);
/* Whether the change was delivered, judged by the status of its submission; false: the request has been refused. */
bool request_delivered(CallerRequest *request, Status status);
/* Refuses the request because of its faults; there must be at least one. */
void request_refuse(CallerRequest *request);
/* Adds an item to repair_items. */
void request_add_repair_item(CallerRequest *request, const RepairItem *item);
/* Adds the end of a job to repair_items, if the job ended less than REPAIR_KEEP_MS ago: its tasks must not start again,
 * whatever the disks lose. */
void request_add_job_end(CallerRequest *request, const Job *job);

#endif
