/* Draws jobs of a kind. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"

#define TASKS_MAX 60 /* count; of a step */
#define TURNS_FROM_MS 2500

static uint64_t at_most(uint64_t value, uint64_t most)
{
    return value < most ? value : most > 0 ? most : 1;
}

/* Bounded by what workers have: a task that fits nowhere would wait without end. */
static void resources_draw(const Site *site, const SiteKind *kind, RandomSource *random_source, GeneratedJobStep *step)
{
    const uint64_t worker_models = (uint64_t)site->worker_models, cpu = (uint64_t)site->worker_model_cpu_milli,
                   mem = (uint64_t)site->worker_model_mem_mb;
    step->resources.cpu_milli = at_most((uint64_t)random_source_about(random_source, kind->cpu_milli), cpu / 2);
    step->resources.mem_mb = at_most((uint64_t)random_source_about(random_source, kind->mem_mb), mem / 2);
    const uint64_t each = cpu / step->resources.cpu_milli < mem / step->resources.mem_mb
                              ? cpu / step->resources.cpu_milli
                              : mem / step->resources.mem_mb;
    uint64_t where = worker_models;
    if (random_source_percent(random_source, kind->needs_percent)) {
        step->needs = random_source_percent(random_source, 50) ? "a" : "b";
        where = worker_models / 2;
    }
    if (step->gang)
        step->count = at_most(step->count, where * each / 3);
    if (random_source_percent(random_source, kind->apart_percent)) {
        step->apart = (uint64_t)random_source_span(random_source, 1, 3);
        if (step->gang)
            step->count = at_most(step->count, step->apart * where / 2);
    }
}

static void step_draw(const Callers *callers, const SiteKind *kind, RandomSource *random_source,
                      GeneratedJob *generated_job, size_t at)
{
    const Site *site = callers->topology->site;
    GeneratedJobStep *step = &generated_job->steps[at];
    *step = (GeneratedJobStep){.count = at_most((uint64_t)random_source_about(random_source, kind->tasks), TASKS_MAX)};
    step->gang = random_source_percent(random_source, kind->gang_percent) && !generated_job->lasting;
    step->same_rack = step->gang && random_source_percent(random_source, 50);
    resources_draw(site, kind, random_source, step);
    step->work_ms = random_source_about(random_source, kind->task_ms);
    step->estimate_ms = step->work_ms * random_source_span(random_source, 50, 150) / 100;
    if (random_source_percent(random_source, kind->near_percent)) {
        const int64_t worker_model = random_source_span(random_source, 0, site->worker_models - 1);
        step->near = talloc_asprintf(callers->records, "r%" PRId64 "-%" PRId64, worker_model % site->zones,
                                     worker_model / site->zones / site->rack_worker_models);
    }
    if (at > 0 && random_source_percent(random_source, 80))
        step->after[step->after_count++] = at - 1;
    if (at > 1 && random_source_percent(random_source, 30))
        step->after[step->after_count++] = 0;
}

void generated_job_draw(const Callers *callers, const SiteKind *kind, RandomSource *random_source,
                        GeneratedJob *generated_job)
{
    *generated_job = (GeneratedJob){.step_count = 1};
    snprintf(generated_job->id, sizeof(generated_job->id), "%016" PRIx64, random_source_next(random_source));
    generated_job->payload =
        talloc_asprintf(callers->records, "%s %" PRIx64, kind->name, random_source_next(random_source) >> 40);
    generated_job->saves = random_source_percent(random_source, kind->saves_percent);
    generated_job->lasting = random_source_percent(random_source, kind->lasting_percent);
    generated_job->copies = !generated_job->lasting && random_source_percent(random_source, kind->copies_percent);
    while (!generated_job->lasting && generated_job->step_count < (size_t)kind->steps &&
           generated_job->step_count < GENERATED_JOB_STEPS_MAX && random_source_percent(random_source, 30))
        generated_job->step_count++;
    for (size_t i = 0; i < generated_job->step_count; i++)
        step_draw(callers, kind, random_source, generated_job, i);
    if (!generated_job->lasting && random_source_percent(random_source, kind->turns_percent)) {
        generated_job->turns = (uint64_t)random_source_span(random_source, 2, 6);
        generated_job->first_wall_ms =
            sim_wall_ms(callers->topology->world) + TURNS_FROM_MS + random_source_span(random_source, 0, 4000);
        generated_job->period_ms = random_source_span(random_source, 1500, 4000);
    }
}
