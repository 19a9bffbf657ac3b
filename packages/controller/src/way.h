#ifndef CONTROLLER_SRC_WAY_H
#define CONTROLLER_SRC_WAY_H

#include "inside.h"

/* What must show that an answer is not out of date, before it goes out. */
typedef enum Proof {
    PROOF_LEASE,   /* this node holds the lock by its own clock: a majority has renewed it */
    PROOF_CONTACT, /* a majority has renewed it in answer to what was asked since, whatever the clock says */
} Proof;

/* One request on its way through the leader. */
typedef struct Way {
    Controller *controller;
    HttpTask *task;
    void *mem;
    Faults *faults;
    RepairList *repair_items;
    const char *name; /* what the path names: a job, a zone */
    bool committed;   /* a change was, for this request: a majority has it */
} Way;

/* The Status of a submission as a refusal; true when it was delivered. */
bool way_delivered(Way *way, Status status);
/* The faults as the result. */
void way_refuse(Way *way);

/* Whoever carries the result keeps this for a while, for repair. */
void way_keep(Way *way, const RepairItem *item);
/* Likewise the word that a job has ended: no task of it may start again, whatever
 * the disks forget. */
void way_keep_end(Way *way, const Job *job);

/* Waits. Takes a job that is not known yet; null: the result has been given.
 * The spec's texts live on way->mem. */
const Job *job_take(Way *way, const JobSpec *spec, const JobTerms *terms, bool *fresh);
/* Whether the same job was sent again; else the result has been given. */
bool job_again(Way *way, const Job *known, const JobSpec *spec);
/* Waits. Cancels the job named by the way; false: the result has been given. */
bool job_cancelled(Way *way, ChangeResult *result);
/* What a queue's jobs are accepted under; null: nothing in particular. */
JobTerms job_terms(const ConfigQueue *queue);

/* Waits. Another node keeps them too, if one answers. */
void elsewhere_keep(Controller *controller, void *mem, const RepairList *repair_items);

void job_post(Way *way);
void job_get(Way *way);
void job_cancel(Way *way);
void job_list(Way *way);

/* What is asked at a queue's own address: paths that begin with ENTRY_PATH. */
#define ENTRY_PATH "/v1/entry"
void entry_serve(Way *way);

void queue_get(Way *way);
void queue_try(Way *way);

void zone_get(Way *way);
void zone_drain(Way *way);
void zone_back(Way *way);

void config_get(Way *way);
void config_history(Way *way);
void config_put(Way *way);
void config_patched(Way *way);

#endif
