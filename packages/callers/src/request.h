#ifndef CALLERS_SRC_REQUEST_H
#define CALLERS_SRC_REQUEST_H

#include "api/job_json.h"
#include "api/show.h"
#include "state.h"

/* One request on its way through the leader. All is on mem, or belongs to the caller of leader_serve. */
typedef struct CallerRequest {
    CallerService *callers;
    HttpTask *task;
    void *mem;
    Faults *faults;
    RepairList *repair_items;
    const char *name; /* what the path names: a job, a zone */
    bool committed;   /* a change was, for this request: a majority has it */
} CallerRequest;

/* The log's time and the wall clock, now. */
QueueClock request_clock(const CallerRequest *request);
/* Waits. Orders a change for the request, as replication_submit; one that was accepted is kept for repair. */
Status request_submit(CallerRequest *request, ChangeKind kind, const Shape *shape, const void *body,
                      ChangeResult *result);
/* The status of an order as a refusal; true when the change was delivered. */
bool request_delivered(CallerRequest *request, Status status);
/* The faults (at least one) as the result. */
void request_refuse(CallerRequest *request);
/* Whoever carries the result keeps this for a while, for repair. */
void request_keep(CallerRequest *request, const RepairItem *item);
/* Likewise the word that a job has ended: no task of it may start again, whatever the disks forget. */
void request_keep_end(CallerRequest *request, const Job *job);

#endif
