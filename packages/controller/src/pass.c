/* What a pass begins with: the workers with their free room. */
#include <string.h>
#include <talloc.h>

#include "base/map.h"
#include "pass.h"

/* What the worker may be given; none when it may be given nothing now. */
static Room room_now(const Controller *controller, const Worker *worker, Room *orphans)
{
    const LiveRow *row = liveset_find(controller->liveset, worker->name);
    const bool known = orphans_room(controller->orphans, worker->name, orphans);
    const bool ready = known && row != NULL && live_row_ready(row, loop_now_ms(controller->loop)) &&
                       !worker->excluded && !table_drained(controller->table, worker->zone) &&
                       !score_rests(controller, worker->name);
    const Room none = {0};
    return ready ? room_less(worker->room, row->others) : none;
}

/* Workers that may be given work have their free room; the others have none,
 * but what runs on them still counts as to be restarted. */
static void workers_find(Pass *pass)
{
    Controller *controller = pass->controller;
    const Worker **workers;
    const size_t count = table_workers(controller->table, pass->mem, &workers);
    pass->input.workers = talloc_array(pass->mem, PlanWorker, (unsigned)count);
    pass->input.worker_count = count;
    pass->speeds = talloc_array(pass->mem, uint64_t, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        const Worker *worker = workers[i];
        Room orphans;
        const Room room = room_now(controller, worker, &orphans);
        const Room used = room_more(orphans, table_used_on(controller->table, worker->name));
        pass->input.workers[i] = (PlanWorker){.name = worker->name,
                                              .zone = worker->zone,
                                              .rack = worker->rack,
                                              .kind = worker->kind,
                                              .labels = worker->labels,
                                              .label_count = worker->labels_count,
                                              .room = room,
                                              .free = room_less(room, used),
                                              .penalty = score_rate(controller, worker->name) * 10};
        pass->speeds[i] = estimate_speed(controller->estimates, worker->name, loop_now_ms(controller->loop));
        pass->fleet = room_more(pass->fleet, room);
    }
    pass->largest = plan_largest(pass->input.workers, count);
}

size_t pass_place(const Pass *pass, const char *worker)
{
    size_t low = 0, high = pass->input.worker_count;
    while (low < high) { /* they are in the order of their names */
        const size_t middle = (low + high) / 2;
        const int order = strcmp(pass->input.workers[middle].name, worker);
        if (order == 0)
            return middle;
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return SIZE_MAX;
}

Pass *pass_new(Controller *controller, void *mem)
{
    Pass *pass = talloc_zero(mem, Pass);
    pass->controller = controller;
    pass->mem = pass;
    pass->config = controller_config(controller);
    pass->asks = (pass->config->r_named && pass->config->r > 0) || pass->config->zone_loss || pass->config->rack_loss;
    pass->clock = controller_clock(controller);
    pass->next_ms = INT64_MAX;
    pass->input =
        (PlanInput){.r = pass->config->r, .zone_loss = pass->config->zone_loss, .rack_loss = pass->config->rack_loss};
    workers_find(pass);
    pass->sight = (QueueSight){.table = controller->table,
                               .config = pass->config,
                               .config_stamp = controller->config_stamp,
                               .fleet = pass->fleet,
                               .clock = pass->clock,
                               .policy = controller_policy,
                               .arg = controller};
    return pass;
}

void pass_tasks(Pass *pass)
{
    Controller *controller = pass->controller;
    pushable_count(pass);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const TaskOn *on;
        const size_t count = table_on(controller->table, pass->input.workers[i].name, &on);
        for (size_t t = 0; t < count; t++) {
            const Job *job = on[t].job;
            const JobTask *task = &job->tasks[on[t].task];
            /* where no loss is to be survived by each start, the look takes in all */
            const bool counts = pass->asks ? task->assured : job->spec.protection == PROTECTION_PROTECTED;
            if (!counts || task->phase == TASK_STOPPING)
                continue;
            const PlanNeed need = pass_need(job, task->step);
            pass_count(pass, &job->spec, &need, i);
        }
    }
}

PlanInput planner_input(Controller *controller, void *mem)
{
    Pass *pass = pass_new(controller, mem);
    pass_tasks(pass);
    return pass->input;
}
