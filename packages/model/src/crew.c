/* How long work takes, and how much of a worker it uses. */
#include "worker_model.h"

#include <string.h>
#include <talloc.h>

#define ENDLESS_US (INT64_C(1) << 60)

Room worker_model_used(const WorkerModel *worker_model)
{
    Room used = {0};
    for (const WorkerModelRun *run = worker_model->runs; run != NULL; run = run->next) {
        const Room room = book_step(run->task)->room;
        used = (Room){used.cpu_milli + room.cpu_milli, used.mem_mb + room.mem_mb, used.gpu + room.gpu};
    }
    return used;
}

void crew_advance(Crew *crew)
{
    const int64_t now_ms = topology_now_ms(crew->worker_models->topology);
    if (crew->begun)
        crew->done_us += (now_ms - crew->last_ms) * crew->rate;
    crew->last_ms = now_ms;
}

/* Work is slower away from its data or over several racks; the slowest member sets the pace. */
void crew_pace(Crew *crew)
{
    const Site *site = crew->worker_models->topology->site;
    const DraftStep *step = book_step(crew->members[0]->task);
    crew_advance(crew);
    int64_t rate = INT64_MAX;
    bool far = false;
    for (size_t i = 0; i < crew->count; i++) {
        const WorkerModel *worker_model = crew->members[i]->worker_model;
        const int64_t own = worker_model->hangs ? 0 : 10 * worker_model->speed / worker_model->slow_times;
        rate = own < rate ? own : rate;
        far |= step->near != NULL && strcmp(step->near, worker_model->rack) != 0;
        far |= step->same_rack && strcmp(worker_model->rack, crew->members[0]->worker_model->rack) != 0;
    }
    crew->rate = far ? rate * 100 / site->far_percent : rate;
}

/* Whether and where an attempt fails by itself: always the same for the same attempt. */
static void fail_draw(Crew *crew, WorkerModelRun *run)
{
    const BookJob *job = run->task->job;
    RandomSource random_source =
        random_source_of(bytes_crc(&run->task->name, sizeof(run->task->name)), job->draft.id, run->attempt);
    const bool fails = job->poison || (int64_t)(random_source_next(&random_source) % 1000) < job->kind->fail_milli ||
                       (job->draft.lasting && random_source_percent(&random_source, 20)) ||
                       random_source_percent(&random_source, run->worker_model->grey_percent);
    const int64_t span = job->draft.lasting ? 15000000 : crew->work_us;
    const int64_t at = span * random_source_span(&random_source, 10, 90) / 100;
    if (fails && at < crew->fail_us) {
        crew->fail_us = at;
        crew->failing = run;
    }
}

static Crew *crew_find(const WorkerModelRun *run)
{
    const BookTask *task = run->task;
    const BookJob *job = task->job;
    const size_t first = (size_t)task->name.turn * job->each_turn + job->step_first[task->name.step];
    for (size_t i = first; book_step(task)->gang && i < first + book_step(task)->count; i++)
        for (const WorkerModelRun *one = job->tasks[i].live; one != NULL; one = one->next_live)
            if (one->attempt == run->attempt && one->crew != NULL)
                return one->crew;
    return NULL;
}

void crew_join(WorkerModels *worker_models, WorkerModelRun *run, int64_t from_ms)
{
    const DraftStep *step = book_step(run->task);
    const BookJob *job = run->task->job;
    Crew *crew = crew_find(run);
    if (crew == NULL) {
        crew = talloc_zero(worker_models, Crew);
        crew->worker_models = worker_models;
        crew->attempt = run->attempt;
        crew->needed = step->gang ? step->count : 1;
        crew->work_us = job->draft.lasting ? ENDLESS_US : step->work_ms * 1000;
        crew->from_ms = from_ms;
        /* restoring a checkpoint takes time: it counts as work still to be done */
        crew->done_us = from_ms * 1000 - (from_ms > 0 ? worker_models->topology->site->restore_ms * 1000 : 0);
        crew->fail_us = INT64_MAX;
        crew->last_ms = topology_now_ms(worker_models->topology);
    }
    run->crew = crew;
    if (crew->count < sizeof(crew->members) / sizeof(crew->members[0]))
        crew->members[crew->count++] = run;
    fail_draw(crew, run);
    crew_advance(crew);
    crew->begun |= crew->count == crew->needed;
    crew_pace(crew);
    for (size_t i = 0; i < crew->count; i++)
        signal_raise(crew->members[i]->worker_model->loop, &crew->members[i]->worker_model->work);
}

void crew_leave(WorkerModelRun *run)
{
    Crew *crew = run->crew;
    crew_advance(crew);
    for (size_t i = 0; i < crew->count; i++)
        if (crew->members[i] == run) {
            crew->members[i] = crew->members[--crew->count];
            break;
        }
    if (crew->failing == run)
        crew->fail_us = INT64_MAX;
    run->crew = NULL;
    if (crew->count == 0)
        talloc_free(crew);
    else
        crew_pace(crew);
}

int64_t crew_next_ms(const Crew *crew)
{
    if (!crew->begun || crew->rate <= 0 || crew->work_us == ENDLESS_US)
        return crew->begun && crew->rate > 0 && crew->fail_us < INT64_MAX
                   ? crew->last_ms + (crew->fail_us - crew->done_us + crew->rate - 1) / crew->rate
                   : INT64_MAX;
    const int64_t until_us = crew->fail_us < crew->work_us ? crew->fail_us : crew->work_us;
    return until_us <= crew->done_us ? crew->last_ms
                                     : crew->last_ms + (until_us - crew->done_us + crew->rate - 1) / crew->rate;
}

int64_t crew_progress_ms(const Crew *crew)
{
    return crew->done_us / 1000 > crew->from_ms ? crew->done_us / 1000 : crew->from_ms;
}
