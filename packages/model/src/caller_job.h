#ifndef MODEL_SRC_CALLER_JOB_H
#define MODEL_SRC_CALLER_JOB_H

/* The caller of one job (caller_job.c). Its three functions are tasks: their argument is a CallerTask. */

#include "caller.h"

/* Invariant: it lives as long as the callers. */
typedef struct CallerTask {
    Callers *callers;
    Loop *loop;
    const char *zone;
    JobRecord *job;
    RandomSource random_source;
    DocumentQueue queue;
    bool first; /* its first attempt has been counted */
} CallerTask;

/* Submits the job, asks for its state until it has ended, and may cancel it. */
void caller_follow(void *arg);
/* Submits the same job once, through another entry point at the same time. */
void caller_twin(void *arg);
/* Asks for the job's state until it is answered clearly. */
void caller_finish(void *arg);

#endif
