/* Creation of a job in two blocks of memory: the job with its tasks, and the copies of its spec and terms. No task
 * needs an allocation of its own. */
#include <talloc.h>

#include "phase.h"

Job *job_new(void *mem, const JobSpec *spec, const JobTerms *terms)
{
    const uint64_t turns = job_turn_count(spec);
    size_t count = 0;
    for (size_t i = 0; i < spec->steps_count; i++)
        count += (size_t)(spec->steps[i].count * turns);
    Job *job = talloc_zero_size(mem, sizeof(Job) + count * sizeof(JobTask));
    talloc_set_name_const(job, "Job");
    job->tasks = (JobTask *)(job + 1);
    job->tasks_count = count;
    /* Copy spec and terms in one call, as parts of an otherwise empty Job. */
    const Job given = {.spec = *spec, .terms = *terms};
    Job copied;
    shape_copy_flat(&Job_shape, &given, job, &copied);
    job->spec = copied.spec;
    job->terms = copied.terms;
    JobTask *task = job->tasks;
    for (uint64_t turn = 0; turn < turns; turn++)
        for (size_t i = 0; i < spec->steps_count; i++)
            for (uint64_t at = 0; at < spec->steps[i].count; at++)
                *task++ =
                    (JobTask){.step = i, .turn = turn, .at = at, .worker = "", .text = "", .shunned = "", .saved = ""};
    return job;
}
