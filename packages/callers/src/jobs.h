#ifndef CALLERS_SRC_JOBS_H
#define CALLERS_SRC_JOBS_H

#include "request.h"

/* Waits. Takes a job that is not known yet; null: the result has been given. The spec's texts live on way->mem. */
const Job *job_take(CallerRequest *request, const JobSpec *spec, const JobTerms *terms, bool *fresh);
/* Whether the same job was sent again; else the result has been given. */
bool job_again(CallerRequest *request, const Job *known, const JobSpec *spec);
/* Waits. Cancels the job named by the way; false: the result has been given. */
bool job_cancelled(CallerRequest *request, ChangeResult *result);
/* What a queue's jobs are accepted under; queue null: nothing in particular. */
JobTerms job_terms(const ConfigQueue *queue);

/* Routes of /v1/jobs. Those that change something wait. */
void job_post(CallerRequest *request);
void job_get(CallerRequest *request);
void job_cancel(CallerRequest *request);
void job_list(CallerRequest *request);

#endif
