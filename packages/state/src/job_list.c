#include <talloc.h>

#include "inside.h"

void job_list_add(void *mem, JobList *list, Job *job)
{
    if (list->count == list->room) {
        list->room = list->room ? list->room * 2 : 256;
        list->jobs = talloc_realloc(mem, list->jobs, Job *, (unsigned)list->room);
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
