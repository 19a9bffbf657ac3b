/* A job in two blocks: itself with its tasks, and what it was handed in with. */
#include <talloc.h>

#include "inside.h"

static uint64_t turns_of(const JobSpec *spec)
{
    return spec->turns > 0 ? spec->turns : 1;
}

Job *job_new(void *mem, const JobSpec *spec, const JobTerms *terms)
{
    size_t count = 0;
    for (size_t i = 0; i < spec->steps_count; i++)
        count += (size_t)(spec->steps[i].count * turns_of(spec));
    Job *job = talloc_zero_size(mem, sizeof(Job) + count * sizeof(JobTask));
    talloc_set_name_const(job, "Job");
    job->tasks = (JobTask *)(job + 1);
    job->tasks_count = count;
    /* both at once: a Job that has nothing else is copied as one */
    const Job given = {.spec = *spec, .terms = *terms};
    Job copied;
    shape_copy_flat(&Job_shape, &given, job, &copied);
    job->spec = copied.spec;
    job->terms = copied.terms;
    JobTask *task = job->tasks;
    for (uint64_t turn = 0; turn < turns_of(spec); turn++)
        for (size_t i = 0; i < spec->steps_count; i++)
            for (uint64_t at = 0; at < spec->steps[i].count; at++)
                *task++ =
                    (JobTask){.step = i, .turn = turn, .at = at, .worker = "", .text = "", .shunned = "", .saved = ""};
    return job;
}
