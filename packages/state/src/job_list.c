/* A growable array of pointers to jobs. */
#include "job_list.h"

#include <talloc.h>

#define LIST_INITIAL_SLOTS 256 /* number of slots of a new list */

void job_list_add(void *mem, JobList *list, Job *job)
{
    if (list->count == list->capacity) {
        list->capacity = list->capacity ? list->capacity * 2 : LIST_INITIAL_SLOTS;
        list->jobs = talloc_realloc(mem, list->jobs, Job *, (unsigned)list->capacity);
    }
    list->jobs[list->count++] = job;
}

size_t job_list_find(const JobList *list, const Job *job)
{
    size_t low = 0, high = list->count;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (list->jobs[middle]->number < job->number)
            low = middle + 1;
        else
            high = middle;
    }
    return low < list->count && list->jobs[low] == job ? low : list->count;
}
