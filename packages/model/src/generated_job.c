/* Generates jobs of a kind. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"

#define FIRST_TURN_DELAY_MS 2500 /* minimum time until the first turn */

static uint64_t limit(uint64_t value, uint64_t max)
{
    return value < max ? value : max > 0 ? max : 1;
}

/* Draws the resources of a step. They are limited by the size of the workers: a task that fits nowhere would wait
 * forever. */
static void draw_resources(const Site *site, const SiteKind *kind, RandomSource *random_source, GeneratedJobStep *step)
{
    const uint64_t worker_models = (uint64_t)site->worker_models, worker_cpu = (uint64_t)site->worker_model_cpu_milli,
                   worker_mem = (uint64_t)site->worker_model_mem_mb;
    step->resources.cpu_milli = limit((uint64_t)random_source_about(random_source, kind->cpu_milli), worker_cpu / 2);
    step->resources.mem_mb = limit((uint64_t)random_source_about(random_source, kind->mem_mb), worker_mem / 2);
    const uint64_t tasks_per_worker = worker_cpu / step->resources.cpu_milli < worker_mem / step->resources.mem_mb
                                          ? worker_cpu / step->resources.cpu_milli
                                          : worker_mem / step->resources.mem_mb;
    uint64_t eligible_workers = worker_models;
    if (random_source_percent(random_source, kind->needs_percent)) {
        step->needs = random_source_percent(random_source, 50) ? "a" : "b";
        eligible_workers = worker_models / 2;
    }
    if (step->gang)
        step->count = limit(step->count, eligible_workers * tasks_per_worker / 3);
    if (random_source_percent(random_source, kind->apart_percent)) {
        step->apart = (uint64_t)random_source_between(random_source, 1, 3);
        if (step->gang)
            step->count = limit(step->count, step->apart * eligible_workers / 2);
    }
    if (step->gang && kind->spread_percent > 0 && random_source_percent(random_source, kind->spread_percent)) {
        step->apart = 1;
        step->count = eligible_workers;
    }
}

static void draw_step(const Callers *callers, const SiteKind *kind, RandomSource *random_source,
                      GeneratedJob *generated_job, size_t at)
{
    const Site *site = callers->topology->site;
    GeneratedJobStep *step = &generated_job->steps[at];
    *step = (GeneratedJobStep){
        .count = limit((uint64_t)random_source_about(random_source, kind->tasks), (uint64_t)kind->tasks_max)};
    step->gang = random_source_percent(random_source, kind->gang_percent) && !generated_job->lasting;
    step->same_rack = step->gang && random_source_percent(random_source, 50);
    draw_resources(site, kind, random_source, step);
    step->work_ms = random_source_about(random_source, kind->task_ms);
    step->estimate_ms = step->work_ms * random_source_between(random_source, 50, 150) / 100;
    if (random_source_percent(random_source, kind->near_percent)) {
        const int64_t near_worker = random_source_between(random_source, 0, site->worker_models - 1);
        step->near = talloc_asprintf(callers->records, "r%" PRId64 "-%" PRId64, near_worker % site->zones,
                                     near_worker / site->zones / site->rack_worker_models);
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
    const int64_t missing_bytes = kind->payload_bytes - (int64_t)strlen(generated_job->payload);
    if (missing_bytes > 0)
        generated_job->payload =
            talloc_asprintf(callers->records, "%s%*s", generated_job->payload, (int)missing_bytes, "");
    generated_job->saves = random_source_percent(random_source, kind->saves_percent);
    generated_job->lasting = random_source_percent(random_source, kind->lasting_percent);
    generated_job->copies = !generated_job->lasting && random_source_percent(random_source, kind->copies_percent);
    while (!generated_job->lasting && generated_job->step_count < (size_t)kind->steps &&
           generated_job->step_count < GENERATED_JOB_STEPS_MAX && random_source_percent(random_source, 30))
        generated_job->step_count++;
    for (size_t i = 0; i < generated_job->step_count; i++)
        draw_step(callers, kind, random_source, generated_job, i);
    if (!generated_job->lasting && random_source_percent(random_source, kind->turns_percent)) {
        generated_job->turns = (uint64_t)random_source_between(random_source, 2, 6);
        generated_job->first_wall_ms =
            sim_wall_ms(callers->topology->world) + FIRST_TURN_DELAY_MS + random_source_between(random_source, 0, 4000);
        generated_job->period_ms = random_source_between(random_source, 1500, 4000);
    }
}
