/* Pushing aside: whom a cell's policy lets make room, and how much room that is
 * for the plan. */
#include <string.h>
#include <talloc.h>

#include "base/map.h"
#include "pass.h"

size_t pushable_cell(const Pass *pass, const JobSpec *spec)
{
    const size_t at = pass->cells != NULL ? (size_t)(uintptr_t)map_get(pass->cells, spec->cell) : 0;
    return at > 0 ? at - 1 : PLAN_NO_CELL;
}

/* One protected task of each queue of the cell speaks for its queue. */
typedef struct Speakers {
    const Job *jobs[PREEMPT_SPEAKERS_MAX];
    size_t tasks[PREEMPT_SPEAKERS_MAX];
    size_t count;
    bool whole; /* every queue has its speaker here */
} Speakers;

static void speakers_find(const Controller *controller, const char *cell, Speakers *speakers)
{
    Job *const *jobs;
    const size_t count = table_active(controller->table, &jobs);
    *speakers = (Speakers){.whole = true};
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED || strcmp(job->spec.cell, cell) != 0)
            continue;
        bool seen = false;
        for (size_t i = 0; i < speakers->count && !seen; i++)
            seen = strcmp(speakers->jobs[i]->spec.queue, job->spec.queue) == 0;
        for (size_t t = 0; t < job->tasks_count && !seen; t++) {
            if (!task_on_worker(job->tasks[t].phase))
                continue;
            seen = true;
            if (speakers->count == PREEMPT_SPEAKERS_MAX) {
                speakers->whole = false;
                continue;
            }
            speakers->jobs[speakers->count] = job;
            speakers->tasks[speakers->count++] = t;
        }
    }
}

/* A running task that is itself not protected counts when every speaker of its
 * cell may push it: so no two of them count on room that only one may have. */
void pushable_count(Pass *pass)
{
    Controller *controller = pass->controller;
    const Config *config = pass->config;
    PlanInput *input = &pass->input;
    size_t cells = 0;
    pass->cells = map_new(pass->mem);
    for (size_t c = 0; c < config->cell_count; c++)
        if (controller_policy(controller, &config->cells[c]) != policy_plain())
            map_set(pass->cells, config->cells[c].name, (void *)(uintptr_t)++cells);
    if (cells == 0)
        return;
    input->cell_count = cells;
    input->pushable = talloc_zero_array(pass->mem, Room, (unsigned)(cells * input->worker_count));
    Job *const *jobs;
    const size_t count = table_active(controller->table, &jobs);
    size_t looks = 0;
    for (size_t c = 0; c < config->cell_count; c++) {
        const size_t place = (size_t)(uintptr_t)map_get(pass->cells, config->cells[c].name);
        const Policy *policy = controller_policy(controller, &config->cells[c]);
        Speakers speakers;
        if (place == 0)
            continue;
        speakers_find(controller, config->cells[c].name, &speakers);
        if (speakers.count == 0 || !speakers.whole)
            continue;
        for (size_t j = 0; j < count; j++) {
            if (jobs[j]->spec.protection == PROTECTION_PROTECTED ||
                strcmp(jobs[j]->spec.cell, config->cells[c].name) != 0)
                continue;
            for (size_t t = 0; t < jobs[j]->tasks_count && looks < PREEMPT_LOOKS_MAX; t++) {
                const JobTask *task = &jobs[j]->tasks[t];
                const size_t at = task->phase == TASK_RUNNING ? pass_place(pass, task->worker) : SIZE_MAX;
                /* a worker that is given nothing has no room to be had either */
                if (at == SIZE_MAX || input->workers[at].room.cpu_milli == 0)
                    continue;
                const PolicySight other = queue_see(controller->queue, &pass->sight, jobs[j], t);
                bool all = true;
                for (size_t i = 0; i < speakers.count && all; i++, looks++) {
                    const PolicySight mine =
                        queue_see(controller->queue, &pass->sight, speakers.jobs[i], speakers.tasks[i]);
                    all = policy->may_preempt(policy->arg, &mine, &other);
                }
                Room *room = &input->pushable[(place - 1) * input->worker_count + at];
                if (all)
                    *room = room_more(*room, jobs[j]->spec.steps[task->step].room);
            }
        }
    }
}

/* Who wants room looks for running work that its cell's policy lets it push
 * aside, all on one worker. The room is used only once the old attempts are known
 * to be over. Room that is being given up already counts: nothing more is pushed
 * while that would do. */
void preempt_for(Pass *pass, const Candidate *candidate)
{
    Controller *controller = pass->controller;
    const ConfigCell *cell = config_cell(pass->config, candidate->job->spec.cell);
    const Policy *policy = controller_policy(controller, cell);
    if (pass->pushes.attempts_count > 0)
        return;
    if (policy == policy_plain()) {
        preempt_target(pass, candidate);
        return;
    }
    if (candidate->count != 1 || pass->preempt_looks >= PREEMPT_LOOKS_MAX)
        return;
    const PlanNeed need = pass_need(candidate->job, candidate->job->tasks[candidate->first].step);
    const PolicySight mine = queue_see(controller->queue, &pass->sight, candidate->job, candidate->first);
    Job *const *jobs;
    const size_t count = table_active(controller->table, &jobs);
    for (size_t w = 0; w < pass->input.worker_count; w++) {
        const PlanWorker *worker = &pass->input.workers[w];
        if (!plan_able(worker, &need) || !room_fits(need.room, worker->room))
            continue;
        Room free = worker->free;
        AttemptId victims[PREEMPT_TASKS_MAX];
        size_t victim_count = 0, looked = 0;
        const TaskOn *on;
        const size_t on_count = table_on(controller->table, worker->name, &on);
        for (size_t i = 0; i < on_count; i++) {
            const JobTask *task = &on[i].job->tasks[on[i].task];
            if (task->phase == TASK_STOPPING)
                free = room_more(free, on[i].job->spec.steps[task->step].room);
        }
        if (room_fits(need.room, free))
            return; /* it is on its way */
        for (size_t j = count; j > 0 && !room_fits(need.room, free) && looked < PREEMPT_TASKS_MAX; j--) {
            const Job *job = jobs[j - 1];
            if (strcmp(job->spec.cell, candidate->job->spec.cell) != 0 || job == candidate->job)
                continue;
            for (size_t t = 0; t < job->tasks_count && !room_fits(need.room, free) && looked < PREEMPT_TASKS_MAX; t++) {
                const JobTask *task = &job->tasks[t];
                if (task->phase != TASK_RUNNING || strcmp(task->worker, worker->name) != 0)
                    continue;
                const PolicySight other = queue_see(controller->queue, &pass->sight, job, t);
                looked++;
                pass->preempt_looks++;
                if (!policy->may_preempt(policy->arg, &mine, &other))
                    continue;
                victims[victim_count++] =
                    (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(task), task->attempt};
                free = room_more(free, job->spec.steps[task->step].room);
            }
        }
        if (!room_fits(need.room, free))
            continue;
        pass->pushes.attempts = talloc_memdup(pass->mem, victims, victim_count * sizeof(*victims));
        pass->pushes.attempts_count = victim_count;
        pass->pushes.why = "pushed aside";
        return;
    }
}
