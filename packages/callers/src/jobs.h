#ifndef CALLERS_SRC_JOBS_H
#define CALLERS_SRC_JOBS_H

#include "request.h"

/* Suspends the coroutine. Submits a new job and returns it once it is committed; null: the request has been refused.
 * *created is set to whether the job was committed. The texts of spec must be allocated on request->mem. */
const Job *job_accept(CallerRequest *request, const JobSpec *spec, const JobTerms *terms, bool *created);
/* Whether spec equals that of the known job, so that the request is a retry; false: the request has been refused. The
 * job is added to the changes for repair. */
bool job_resubmitted(CallerRequest *request, const Job *known, const JobSpec *spec);
/* Suspends the coroutine. Submits the cancellation of the job that the request names. job: that job; null: it is not
 * known, and the cancellation is recorded for a submission that arrives later, of this cell and tenant (an empty cell:
 * of any). False: the request has been refused. */
bool job_submit_cancel(CallerRequest *request, const Job *job, const char *cell, const char *tenant,
                       ChangeResult *result);
/* The terms under which a job of the queue and tenant is accepted. queue null: default terms; tenant null: no quota. */
JobTerms job_terms(const ConfigQueue *queue, const ConfigTenant *tenant);

/* Routes of /v1/jobs. Those that change something suspend the coroutine. */
void job_post(CallerRequest *request);
void job_get(CallerRequest *request);
void job_cancel(CallerRequest *request);
void job_list(CallerRequest *request);

#endif
