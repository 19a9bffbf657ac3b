#ifndef MODEL_SRC_CALLER_JOB_H
#define MODEL_SRC_CALLER_JOB_H

/* The caller of one job (caller_job.c). Its three functions run as coroutines with a CallerTask as argument. */

#include "caller.h"

/* State of a caller's coroutine; lives as long as the callers. */
typedef struct CallerTask {
    Callers *callers;
    Loop *loop;
    const char *zone;
    JobRecord *job;
    RandomSource random_source;
    DocumentQueue queue;
    bool first_counted; /* the first attempt to submit the job has been counted */
} CallerTask;

/* Submits the job, reads its state until it has ended, and may cancel it. */
void caller_follow_job(void *arg);
/* Submits the same job once, concurrently through another entry point. */
void caller_submit_duplicate(void *arg);
/* Reads the job's state until there is a clear answer. */
void caller_confirm(void *arg);

#endif
