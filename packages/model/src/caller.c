/* Callers: a machine in each zone, from which jobs of each kind are submitted at the kind's rate. */
#include "caller.h"

#include <stdio.h>
#include <talloc.h>

#include "caller_job.h"

/* The stream of jobs of one kind from one zone. */
typedef struct JobSource {
    Callers *callers;
    int64_t zone;
    size_t kind;
    RandomSource random_source;
} JobSource;

void callers_fill_queue(const Site *site, size_t kind, DocumentQueue *queue)
{
    const SiteKind *site_kind = &site->kinds[kind];
    *queue = (DocumentQueue){.kind = "std",
                             .timeout_ms = site->caller_wait_ms,
                             .target_ms = site_kind->target_ms,
                             .priority = site_kind->priority,
                             .attempts = site_kind->attempts,
                             .stretch_percent = site_kind->stretch_percent};
    snprintf(queue->name, sizeof(queue->name), "%s", site_kind->name);
    snprintf(queue->host, sizeof(queue->host), "work%zu.example", kind % 2);
    snprintf(queue->prefix, sizeof(queue->prefix), "/%s/", site_kind->name);
}

static CallerTask *caller_task_new(Callers *callers, const JobSource *source, JobRecord *job, uint64_t number)
{
    CallerTask *task = talloc_zero(callers, CallerTask);
    *task = (CallerTask){.callers = callers,
                         .loop = sim_loop(callers->topology->world, callers->machines[source->zone]),
                         .zone = site_zone(source->zone),
                         .job = job,
                         .random_source = random_source_new(callers->topology->seed, "caller", number)};
    callers_fill_queue(callers->topology->site, source->kind, &task->queue);
    return task;
}

/* Generates a job, starts its caller and, for some jobs, a caller that submits the job a second time. */
static void submit_generated_job(JobSource *source)
{
    Callers *callers = source->callers;
    const Site *site = callers->topology->site;
    const SiteKind *kind = &site->kinds[source->kind];
    GeneratedJob generated_job;
    generated_job_draw(callers, kind, &source->random_source, &generated_job);
    JobRecord *job = job_records_add(callers->records, &generated_job, kind);
    job->queue = source->kind;
    RandomSource own = random_source_new(callers->topology->seed, "abandon", callers->generated_count);
    job->abandons = random_source_percent(&own, kind->abandon_percent);
    job->poison = random_source_percent(&source->random_source, callers->poison_percent);
    const uint64_t number = callers->generated_count++;
    CallerTask *task = caller_task_new(callers, source, job, number * 2);
    loop_spawn(task->loop, "caller", caller_follow_job, task);
    if (random_source_percent(&source->random_source, kind->twice_percent)) {
        CallerTask *duplicate = caller_task_new(callers, source, job, number * 2 + 1);
        duplicate->first_counted = true;
        loop_spawn(duplicate->loop, "duplicate", caller_submit_duplicate, duplicate);
    }
}

static void source_main(void *arg)
{
    JobSource *source = arg;
    Callers *callers = source->callers;
    const Site *site = callers->topology->site;
    Loop *loop = sim_loop(callers->topology->world, callers->machines[source->zone]);
    const int64_t gap_ms = 60000 * site->zones / site->kinds[source->kind].per_minute;
    loop_sleep(loop, random_source_between(&source->random_source, 0, gap_ms));
    while (!callers->stopped) {
        submit_generated_job(source);
        loop_sleep(loop, random_source_between(&source->random_source, gap_ms / 4, gap_ms * 7 / 4) * 1000 /
                             callers->rate_milli[source->kind]);
    }
}

Callers *callers_new(void *mem, Listener *listener, JobRecords *records, SentDocuments *sent_documents)
{
    Callers *callers = talloc_zero(mem, Callers);
    *callers = (Callers){
        .topology = listener->topology, .listener = listener, .records = records, .sent_documents = sent_documents};
    for (int64_t zone = 0; zone < callers->topology->site->zones; zone++)
        callers->machines[zone] = sim_machine_new(callers->topology->world);
    return callers;
}

void callers_start(Callers *callers)
{
    const Site *site = callers->topology->site;
    for (int64_t zone = 0; zone < site->zones; zone++) {
        topology_host(callers->topology, callers->machines[zone]);
        for (size_t kind = 0; kind < site->kind_count; kind++) {
            callers->rate_milli[kind] = 1000;
            if (site->kinds[kind].per_minute <= 0)
                continue;
            JobSource *source = talloc_zero(callers, JobSource);
            *source = (JobSource){callers, zone, kind,
                                  random_source_new(callers->topology->seed, "pour", (uint64_t)zone * 64 + kind)};
            loop_spawn(sim_loop(callers->topology->world, callers->machines[zone]), "job-source", source_main, source);
        }
    }
}

void callers_confirm_all(Callers *callers)
{
    callers->stopped = true;
    callers->finish_ms = topology_now_ms(callers->topology);
    for (size_t i = 0; i < callers->records->count; i++) {
        JobRecord *job = callers->records->jobs[i];
        const JobSource source = {callers, (int64_t)i % callers->topology->site->zones, job->queue, {0}};
        if (job->accepted_ms == 0)
            continue;
        CallerTask *task = caller_task_new(callers, &source, job, (UINT64_C(1) << 32) + i);
        loop_spawn(task->loop, "finish", caller_confirm, task);
    }
}
