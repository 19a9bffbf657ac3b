/* Checks of the answers that callers get about their jobs. */
#include "checker.h"

#include <string.h>
#include <talloc.h>

void checker_sent(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    if (job->sent_ms == 0)
        job->sent_ms = checker_now(checker);
}

void checker_accepted(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    job->accepted = true;
    if (job->refused)
        checker_violated(checker, INVARIANT_REFUSED_RAN, "job %s was accepted after it was refused", id);
}

void checker_refused(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    job->refused = true;
    void *mem = talloc_new(NULL);
    const char **tasks;
    if (map_keys(job->tasks, mem, &tasks) > 0 || job->accepted)
        checker_violated(checker, INVARIANT_REFUSED_RAN, "job %s was refused after it was accepted or had run", id);
    talloc_free(mem);
}

void checker_cancelled(Checker *checker, const char *id)
{
    seen_job(checker, id)->cancelled_ms = checker_now(checker);
}

void checker_job_ended(Checker *checker, const char *id, const char *phase)
{
    SeenJob *job = seen_job(checker, id);
    job->ended = true;
    const Job *known = checker->settings.job(checker->settings.arg, id);
    if (known != NULL && known->spec.lasting && strcmp(phase, "cancelled") != 0)
        checker_violated(checker, INVARIANT_FORGOTTEN, "job %s runs until it is cancelled, but is shown as %s", id,
                         phase);
    if (strcmp(phase, "done") != 0)
        return;
    for (size_t t = 0; known != NULL && t < known->tasks_count; t++)
        if (!seen_done(known, job, t))
            checker_violated(checker, INVARIANT_FORGOTTEN,
                             "job %s is shown as done, but its task %zu was not completed", id, t);
}

void checker_job_unknown(Checker *checker, const char *id)
{
    checker_violated(checker, INVARIANT_FORGOTTEN, "job %s is unknown", id);
}

size_t checker_open_jobs(const Checker *checker)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    size_t open = 0;
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        open += job->accepted && !job->ended;
    }
    talloc_free(mem);
    return open;
}
