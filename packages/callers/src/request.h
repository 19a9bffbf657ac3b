#ifndef CALLERS_SRC_REQUEST_H
#define CALLERS_SRC_REQUEST_H

#include "api/job_json.h"
#include "api/show.h"
#include "state.h"

/* One request while the leader answers it. All is on mem, or belongs to the caller of route_request. */
typedef struct CallerRequest {
    CallerService *callers;
    HttpTask *task;
    void *mem;
    Faults *faults;
    RepairList *repair_items;   /* goes with the answer, to be kept for repair by the node that brings it */
    const char *name;           /* what the path names: a job, a zone */
    const ConfigTenant *caller; /* at an entry, until it waits: the tenant whose key it carries; null: no known key */
    bool committed;             /* a change was committed for this request */
} CallerRequest;

/* The log's time and the wall clock, now. */
QueueClock request_clock(const CallerRequest *request);
/* Waits. Submits a change for the request, as replication_submit; one that was accepted is added to repair_items. */
Status request_submit(CallerRequest *request, ChangeKind kind, const Shape *shape, const void *body,
                      ChangeResult *result);
/* Whether the change was delivered, by the status of its submission; false: the request has been refused. */
bool request_delivered(CallerRequest *request, Status status);
/* Refuses the request with its faults, of which there is at least one. */
void request_refuse(CallerRequest *request);
/* Adds an item to repair_items. */
void request_keep(CallerRequest *request, const RepairItem *item);
/* Likewise the end of a job, if it has ended of late: its tasks must not start again, whatever the disks lose. */
void request_keep_end(CallerRequest *request, const Job *job);

#endif
