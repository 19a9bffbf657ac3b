#ifndef STATE_SRC_JOB_LIST_H
#define STATE_SRC_JOB_LIST_H

/* A growable array of pointers to jobs. The user maintains the order. */

#include "state/job.h"

typedef struct JobList {
    Job **jobs;
    size_t count, capacity; /* capacity: number of allocated slots */
} JobList;

/* Appends a job; mem is the talloc parent of the array. */
void job_list_add(void *mem, JobList *list, Job *job);
/* Returns the index of a job in a list sorted by number; count when the list does not contain it. */
size_t job_list_find(const JobList *list, const Job *job);

#endif
