#ifndef CALLERS_SRC_JOBS_H
#define CALLERS_SRC_JOBS_H

#include "request.h"

/* Waits. Accepts a job that is not known yet; null: the request has been refused. fresh (out): it was committed. The
 * spec's texts live on request->mem. */
const Job *job_accept(CallerRequest *request, const JobSpec *spec, const JobTerms *terms, bool *fresh);
/* Whether spec is the known job, sent again; false: the request has been refused. */
bool job_resubmitted(CallerRequest *request, const Job *known, const JobSpec *spec);
/* Waits. Cancels the job that the request names; false: the request has been refused. */
bool job_submit_cancel(CallerRequest *request, ChangeResult *result);
/* What a queue's jobs are accepted under; queue null: nothing in particular. */
JobTerms job_terms(const ConfigQueue *queue, const ConfigTenant *tenant);

/* Routes of /v1/jobs. Those that change something wait. */
void job_post(CallerRequest *request);
void job_get(CallerRequest *request);
void job_cancel(CallerRequest *request);
void job_list(CallerRequest *request);

#endif
