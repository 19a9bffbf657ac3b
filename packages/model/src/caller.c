/* Callers: a machine for each zone, from which jobs of each kind are submitted at its rate. */
#include "caller.h"

#include <stdio.h>
#include <talloc.h>

#include "caller_job.h"

typedef struct Pouring {
    Callers *callers;
    int64_t zone;
    size_t kind;
    RandomSource random_source;
} Pouring;

void callers_queue(const Site *site, size_t kind, DocumentQueue *queue)
{
    const SiteKind *one = &site->kinds[kind];
    *queue = (DocumentQueue){.kind = "std",
                             .timeout_ms = site->caller_wait_ms,
                             .target_ms = one->target_ms,
                             .priority = one->priority,
                             .attempts = one->attempts,
                             .stretch_percent = one->stretch_percent};
    snprintf(queue->name, sizeof(queue->name), "%s", one->name);
    snprintf(queue->host, sizeof(queue->host), "work%zu.example", kind % 2);
    snprintf(queue->prefix, sizeof(queue->prefix), "/%s/", one->name);
}

static CallerTask *task_new(Callers *callers, const Pouring *pouring, JobRecord *job, uint64_t number)
{
    CallerTask *task = talloc_zero(callers, CallerTask);
    *task = (CallerTask){.callers = callers,
                         .loop = sim_loop(callers->topology->world, callers->machines[pouring->zone]),
                         .zone = site_zone(pouring->zone),
                         .job = job,
                         .random_source = random_source_of(callers->topology->seed, "caller", number)};
    callers_queue(callers->topology->site, pouring->kind, &task->queue);
    return task;
}

static void worker_model_in(Pouring *pouring)
{
    Callers *callers = pouring->callers;
    const Site *site = callers->topology->site;
    const SiteKind *kind = &site->kinds[pouring->kind];
    GeneratedJob generated_job;
    generated_job_draw(callers, kind, &pouring->random_source, &generated_job);
    JobRecord *job = job_records_add(callers->records, &generated_job, kind);
    job->queue = pouring->kind;
    job->poison = random_source_percent(&pouring->random_source, callers->poison_percent);
    const uint64_t number = callers->drawn++;
    CallerTask *task = task_new(callers, pouring, job, number * 2);
    loop_spawn(task->loop, "caller", caller_follow, task);
    if (random_source_percent(&pouring->random_source, kind->twice_percent)) {
        CallerTask *twin = task_new(callers, pouring, job, number * 2 + 1);
        twin->first = true;
        loop_spawn(twin->loop, "twin", caller_twin, twin);
    }
}

static void pour_main(void *arg)
{
    Pouring *pouring = arg;
    Callers *callers = pouring->callers;
    const Site *site = callers->topology->site;
    Loop *loop = sim_loop(callers->topology->world, callers->machines[pouring->zone]);
    const int64_t gap_ms = 60000 * site->zones / site->kinds[pouring->kind].per_minute;
    loop_sleep(loop, random_source_span(&pouring->random_source, 0, gap_ms));
    while (!callers->over) {
        worker_model_in(pouring);
        loop_sleep(loop, random_source_span(&pouring->random_source, gap_ms / 4, gap_ms * 7 / 4) * 1000 /
                             callers->times_milli[pouring->kind]);
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
            callers->times_milli[kind] = 1000;
            if (site->kinds[kind].per_minute <= 0)
                continue;
            Pouring *pouring = talloc_zero(callers, Pouring);
            *pouring = (Pouring){callers, zone, kind,
                                 random_source_of(callers->topology->seed, "pour", (uint64_t)zone * 64 + kind)};
            loop_spawn(sim_loop(callers->topology->world, callers->machines[zone]), "pour", pour_main, pouring);
        }
    }
}

void callers_finish(Callers *callers)
{
    callers->over = true;
    callers->finish_ms = topology_now_ms(callers->topology);
    for (size_t i = 0; i < callers->records->count; i++) {
        JobRecord *job = callers->records->jobs[i];
        const Pouring pouring = {callers, (int64_t)i % callers->topology->site->zones, job->queue, {0}};
        if (job->accepted_ms == 0)
            continue;
        CallerTask *task = task_new(callers, &pouring, job, (UINT64_C(1) << 32) + i);
        loop_spawn(task->loop, "finish", caller_finish, task);
    }
}
