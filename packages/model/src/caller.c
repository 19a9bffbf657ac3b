#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define IDLE_MS 3000 /* ms; a job stands still for so long */
#define ASK_AGAIN_MS 400

typedef struct Pouring {
    Callers *callers;
    int64_t zone;
    size_t kind;
    RandomSource random_source;
} Pouring;

/* One job's caller. Invariant: it lives as long as the callers. */
typedef struct CallerTask {
    Callers *callers;
    Loop *loop;
    const char *zone;
    BookJob *job;
    RandomSource random_source;
    DocumentQueue queue;
    bool first; /* its first try has been counted */
} CallerTask;

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

/* --- one call ------------------------------------------------------------------------------ */

/* Asks an entry point about the job. */
static Outcome ask(CallerTask *task, void *mem, const char *method, Bytes body, TopologyNode **node, int64_t *sent_ms,
                   Bytes *result, int *again_s)
{
    const Topology *topology = task->callers->topology;
    const Codec *codec = topology->codec;
    *node = door_entry(task->callers->door, &task->random_source, task->zone);
    *sent_ms = topology_now_ms(topology);
    const HttpPair heads[] = {{"host", task->queue.host},
                              {codec->wait_head, talloc_asprintf(mem, "%" PRId64, topology->site->caller_wait_ms)}};
    HttpCall call = {
        .mem = mem,
        .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, (*node)->machine), codec->front_port),
        .method = method,
        .path = talloc_asprintf(mem, "%s%s", task->queue.prefix, task->job->draft.id),
        .body = body,
        .wait_ms = topology->site->caller_wait_ms,
        .heads = heads,
        .head_count = 2};
    const uint64_t life = (*node)->life;
    const Status status = loop_call(task->loop, &call);
    *result = call.result;
    *again_s = call.retry_after_s;
    topology_tell(topology, &task->job->tasks[0].name, "%s through %s: %s %d %.*s", method, (*node)->name,
                  status_word(status), call.code, (int)(call.result.count < 60 ? call.result.count : 60),
                  (const char *)call.result.data);
    const Outcome outcome = codec->outcome(status == STATUS_OK ? call.code : 0);
    if ((*node)->life == life && (outcome == OUTCOME_NOBODY || outcome == OUTCOME_GOOD))
        ledger_shown(task->callers->ledger, *node, task->queue.host, task->queue.prefix, *sent_ms,
                     outcome == OUTCOME_GOOD);
    return outcome;
}

/* --- handing in ------------------------------------------------------------------------------- */

static void first_count(CallerTask *task, bool served, int64_t sent_ms)
{
    Callers *callers = task->callers;
    if (task->first)
        return;
    task->first = true;
    if (callers->closing_ms == 0) {
        callers->sent_before++;
        callers->served_before += served;
    } else if (callers->back_ms != 0 && sent_ms > callers->back_ms + callers->topology->site->recover_ms) {
        callers->sent_after++;
        callers->served_after += served;
    }
}

/* One try; true when it need not be tried again. */
static bool post_once(CallerTask *task)
{
    Callers *callers = task->callers;
    BookJob *job = task->job;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int again_s = 0;
    job->tries_open++;
    const Outcome outcome =
        ask(task, mem, "POST", callers->topology->codec->job(mem, &job->draft), &node, &sent_ms, &result, &again_s);
    job->tries_open--;
    const bool taken = outcome == OUTCOME_GOOD;
    first_count(task, taken, sent_ms);
    if (taken && job->accepted_ms == 0) {
        job->accepted_ms = topology_now_ms(callers->topology);
        job->accepted_by = node;
        callers->last_taker = node;
        callers->last_taken_ms = job->accepted_ms;
    } else if (outcome == OUTCOME_UNCLEAR) {
        job->maybe = true;
    }
    talloc_free(mem);
    if (!taken)
        loop_sleep(task->loop, again_s > 0 ? again_s * 1000 : random_source_span(&task->random_source, 100, 500));
    return taken;
}

static bool post_all(CallerTask *task)
{
    BookJob *job = task->job;
    job->sent_ms = topology_now_ms(task->callers->topology);
    for (size_t i = 0; i < job->draft.step_count; i++) {
        const DraftStep *step = &job->draft.steps[i];
        topology_tell(task->callers->topology, &job->tasks[job->step_first[i]].name,
                      "%s: %" PRIu64 " of %" PRIu64 " milli-CPU, %" PRIu64 " MB, %" PRId64
                      " ms%s%s, near %s, needs %s, apart %" PRIu64,
                      job->kind->name, step->count, step->room.cpu_milli, step->room.mem_mb, step->work_ms,
                      step->gang ? ", gang" : "", step->same_rack ? " on a rack" : "",
                      step->near != NULL ? step->near : "-", step->needs != NULL ? step->needs : "-", step->apart);
    }
    for (int64_t i = 0; i <= task->callers->topology->site->caller_tries; i++)
        if (post_once(task))
            return true;
    if (job->tries_open == 0 && job->accepted_ms == 0 && !job->maybe)
        job->refused_ms = topology_now_ms(task->callers->topology);
    return job->accepted_ms != 0;
}

/* --- asking ------------------------------------------------------------------------------------- */

static void shown_check(CallerTask *task, JobWord word, const TopologyNode *node)
{
    BookJob *job = task->job;
    Topology *topology = task->callers->topology;
    bool cause = word == JOB_WORD_CANCELLED && job->cancel_sent_ms != 0;
    for (size_t i = 0; i < job->task_count; i++) {
        cause |= word == JOB_WORD_FAILED && book_spent(job, job->tasks[i].fate);
        if (word == JOB_WORD_DONE && !job->tasks[i].fate->done) {
            rules_broke(topology->rules, RULE_MIXED, topology_day_ms(topology),
                        "%s shows %s as done, %" PRIu64 ".%" PRIu64 ".%" PRIu64 " is not", node->name, job->draft.id,
                        job->tasks[i].name.turn, job->tasks[i].name.step, job->tasks[i].name.at);
            break;
        }
    }
    if (word != JOB_WORD_DONE && !cause)
        rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology), "%s shows %s as %s without a cause",
                    node->name, job->draft.id, word == JOB_WORD_FAILED ? "failed" : "cancelled");
    job->shown = word;
    job->shown_ms = topology_now_ms(topology);
}

/* Asks once; true when it was answered clearly. */
static bool ask_once(CallerTask *task)
{
    BookJob *job = task->job;
    Topology *topology = task->callers->topology;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int again_s;
    const Outcome outcome = ask(task, mem, "GET", (Bytes){0}, &node, &sent_ms, &result, &again_s);
    const JobWord word = outcome == OUTCOME_GOOD ? topology->codec->state(result) : JOB_WORD_NONE;
    if (outcome == OUTCOME_GONE && job->accepted_ms != 0 && sent_ms - job->accepted_ms > topology->site->visible_ms &&
        node_in_touch(node))
        rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology),
                    "%s does not know %s, accepted by %s %" PRId64 " ms ago", node->name, job->draft.id,
                    job->accepted_by->name, sent_ms - job->accepted_ms);
    if (word >= JOB_WORD_DONE && word <= JOB_WORD_CANCELLED && job->shown_ms == 0)
        shown_check(task, word, node);
    talloc_free(mem);
    return word != JOB_WORD_NONE;
}

static void cancel(CallerTask *task)
{
    BookJob *job = task->job;
    Topology *topology = task->callers->topology;
    job->cancel_sent_ms = topology_now_ms(topology);
    for (int64_t i = 0; i <= topology->site->caller_tries && job->cancel_ms == 0; i++) {
        void *mem = talloc_new(task);
        TopologyNode *node;
        int64_t sent_ms;
        Bytes result;
        int again_s;
        if (ask(task, mem, "DELETE", (Bytes){0}, &node, &sent_ms, &result, &again_s) == OUTCOME_GOOD)
            job->cancel_ms = topology_now_ms(topology);
        talloc_free(mem);
        if (job->cancel_ms == 0)
            loop_sleep(task->loop, ASK_AGAIN_MS);
    }
}

static void follow_main(void *arg)
{
    CallerTask *task = arg;
    BookJob *job = task->job;
    const Topology *topology = task->callers->topology;
    if (!post_all(task))
        return;
    const bool cancels = job->draft.lasting || random_source_percent(&task->random_source, job->kind->cancel_percent);
    const int64_t cancel_ms = cancels
                                  ? topology_now_ms(topology) +
                                        random_source_span(&task->random_source, 200, job->draft.lasting ? 20000 : 4000)
                                  : INT64_MAX;
    int64_t ask_ms = topology_now_ms(topology) + random_source_span(&task->random_source, 500, 6000);
    while (job->shown_ms == 0) {
        const int64_t now_ms = topology_now_ms(topology);
        if (job->cancel_sent_ms == 0 && (now_ms >= cancel_ms || (job->draft.lasting && task->callers->over)))
            cancel(task);
        if (now_ms >= ask_ms || book_done(job) || job->cancel_ms != 0) {
            ask_once(task);
            ask_ms = now_ms + random_source_span(&task->random_source, 2000, 8000);
        }
        loop_sleep(task->loop, ASK_AGAIN_MS);
    }
}

/* The same job through another entry point at the same time. */
static void twin_main(void *arg)
{
    post_once(arg);
}

/* --- many ------------------------------------------------------------------------------------------- */

static CallerTask *task_new(Callers *callers, const Pouring *pouring, BookJob *job, uint64_t number)
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
    Draft draft;
    draft_draw(callers, kind, &pouring->random_source, &draft);
    BookJob *job = book_add(callers->book, &draft, kind);
    job->queue = pouring->kind;
    job->poison = random_source_percent(&pouring->random_source, callers->poison_percent);
    const uint64_t number = callers->drawn++;
    CallerTask *task = task_new(callers, pouring, job, number * 2);
    loop_spawn(task->loop, "caller", follow_main, task);
    if (random_source_percent(&pouring->random_source, kind->twice_percent)) {
        CallerTask *twin = task_new(callers, pouring, job, number * 2 + 1);
        twin->first = true;
        loop_spawn(twin->loop, "twin", twin_main, twin);
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

static void nothing(void *arg, Loop *loop)
{
    (void)arg;
    (void)loop;
}

Callers *callers_new(void *mem, Door *door, Book *book, Ledger *ledger)
{
    Callers *callers = talloc_zero(mem, Callers);
    *callers = (Callers){.topology = door->topology, .door = door, .book = book, .ledger = ledger};
    for (int64_t zone = 0; zone < callers->topology->site->zones; zone++)
        callers->machines[zone] = sim_machine(callers->topology->world);
    return callers;
}

void callers_start(Callers *callers)
{
    const Site *site = callers->topology->site;
    for (int64_t zone = 0; zone < site->zones; zone++) {
        sim_start(callers->topology->world, callers->machines[zone], nothing, NULL);
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

/* --- the end -------------------------------------------------------------------------------------------- */

static void finish_main(void *arg)
{
    CallerTask *task = arg;
    while (!ask_once(task))
        loop_sleep(task->loop, ASK_AGAIN_MS);
    task->job->asked_ms = topology_now_ms(task->callers->topology);
}

void callers_finish(Callers *callers)
{
    callers->over = true;
    callers->finish_ms = topology_now_ms(callers->topology);
    for (size_t i = 0; i < callers->book->count; i++) {
        BookJob *job = callers->book->jobs[i];
        const Pouring pouring = {callers, (int64_t)i % callers->topology->site->zones, job->queue, {0}};
        if (job->accepted_ms == 0)
            continue;
        CallerTask *task = task_new(callers, &pouring, job, (UINT64_C(1) << 32) + i);
        loop_spawn(task->loop, "finish", finish_main, task);
    }
}

/* How many of the task's step could stand in twice their room, over all workers that take any. */
static uint64_t places_for(const WorkerModels *worker_models, const DraftStep *step)
{
    uint64_t places = 0;
    for (size_t i = 0; i < worker_models->count; i++) {
        const WorkerModel *worker_model = &worker_models->list[i];
        const ZoneOrder *zone = ledger_zone(worker_models->ledger, worker_model->zone);
        if (!worker_model->up || worker_model->leaving || zone->drained_ms != 0 ||
            (step->needs != NULL && strcmp(step->needs, worker_model->label) != 0))
            continue;
        const Room used = worker_model_used(worker_model);
        if (used.cpu_milli > worker_model->room.cpu_milli || used.mem_mb > worker_model->room.mem_mb)
            continue;
        const uint64_t cpu = (worker_model->room.cpu_milli - used.cpu_milli) / (step->room.cpu_milli * 2);
        const uint64_t mem = (worker_model->room.mem_mb - used.mem_mb) / (step->room.mem_mb * 2);
        const uint64_t here = cpu < mem ? cpu : mem;
        places += step->apart != 0 && here > step->apart ? step->apart : here;
    }
    return places;
}

static bool may_run(const WorkerModels *worker_models, const BookJob *job)
{
    const int64_t wall_ms = sim_wall_ms(worker_models->topology->world);
    for (size_t i = 0; i < job->task_count; i++)
        if (job->tasks[i].live != NULL || book_spent(job, job->tasks[i].fate))
            return false;
    for (size_t i = 0; i < job->task_count; i++) {
        const BookTask *task = &job->tasks[i];
        const DraftStep *step = book_step(task);
        if (!task->fate->done && wall_ms >= book_due_wall_ms(job, task->name.turn) &&
            book_ready(job, task->name.turn, task->name.step))
            return places_for(worker_models, step) >= (step->gang ? step->count : 1);
    }
    return false;
}

void callers_idle(Callers *callers, const WorkerModels *worker_models)
{
    Topology *topology = callers->topology;
    Room used = {0}, all = {0};
    for (size_t i = 0; i < worker_models->count; i++) {
        const WorkerModel *worker_model = &worker_models->list[i];
        if (!worker_model->up)
            continue;
        const Room one = worker_model_used(worker_model);
        used = (Room){used.cpu_milli + one.cpu_milli, used.mem_mb + one.mem_mb, 0};
        all = (Room){all.cpu_milli + worker_model->room.cpu_milli, all.mem_mb + worker_model->room.mem_mb, 0};
    }
    const bool room = used.cpu_milli * 2 < all.cpu_milli && used.mem_mb * 2 < all.mem_mb;
    for (size_t i = 0; i < callers->book->count; i++) {
        BookJob *job = callers->book->jobs[i];
        const bool idle = room && job->accepted_ms != 0 && job->cancel_sent_ms == 0 && job->shown_ms == 0 &&
                          may_run(worker_models, job);
        if (!idle)
            job->idle_ms = 0;
        else if (job->idle_ms == 0)
            job->idle_ms = topology_now_ms(topology);
        else if (job->idle_ms > 0 && topology_now_ms(topology) - job->idle_ms >= IDLE_MS) {
            rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology), "%s stands still though there is room",
                        job->draft.id);
            job->idle_ms = -1; /* once */
        }
    }
}

void callers_end(Callers *callers)
{
    Topology *topology = callers->topology;
    for (size_t i = 0; i < callers->book->count; i++) {
        const BookJob *job = callers->book->jobs[i];
        if (job->accepted_ms != 0 && job->accepted_ms <= callers->finish_ms && job->asked_ms == 0 && job->shown_ms == 0)
            rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology), "nobody tells of %s, accepted by %s",
                        job->draft.id, job->accepted_by->name);
    }
    if (callers->sent_after > 10 && callers->served_before * 4 >= callers->sent_before &&
        callers->served_after * 4 < callers->sent_after)
        rules_broke(topology->rules, RULE_RECOVER, topology_day_ms(topology),
                    "%zu of %zu are served after the closing fault", callers->served_after, callers->sent_after);
}
