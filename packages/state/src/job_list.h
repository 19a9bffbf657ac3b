#ifndef STATE_SRC_JOB_LIST_H
#define STATE_SRC_JOB_LIST_H

/* A growing list of pointers to jobs, in an order that its user keeps. */

#include "state/job.h"

typedef struct JobList {
    Job **jobs;
    size_t count, capacity; /* capacity: slots allocated */
} JobList;

/* Appends; mem is the talloc parent of the list's array. */
void job_list_add(void *mem, JobList *list, Job *job);
/* Its index in a list sorted by number; count when it is not there. */
size_t job_list_find(const JobList *list, const Job *job);

#endif
