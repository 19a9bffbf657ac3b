/* What a worker is to run, told to its agent as soon as that has changed. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

AgentLine *agent_line(Core *core, const char *worker)
{
    AgentLine *line = map_get(core->lines, worker);
    if (line == NULL) {
        line = talloc_zero(core->lines, AgentLine);
        map_set(core->lines, worker, line);
    }
    return line;
}

static void on_orders(void *arg, const char *worker)
{
    Core *core = arg;
    AgentLine *line = map_get(core->lines, worker);
    if (line != NULL)
        signal_raise(core->loop, &line->news);
}

void orders_wake(Core *core)
{
    void *mem = talloc_new(core);
    const char **names;
    const size_t count = map_keys(core->lines, mem, &names);
    for (size_t i = 0; i < count; i++)
        signal_raise(core->loop, &((AgentLine *)map_get(core->lines, names[i]))->news);
    talloc_free(mem);
}

void orders_start(Core *core)
{
    core->lines = map_new(core);
    table_orders_watch(core->table, on_orders, core);
}

static bool listed(const RoundId *list, size_t count, const char *job, uint64_t task, uint64_t round)
{
    for (size_t i = 0; i < count; i++)
        if (list[i].round == round && list[i].task == task && strcmp(list[i].job, job) == 0)
            return true;
    return false;
}

static void orders_fill(Core *core, void *mem, const HeartbeatAsk *heartbeat, HeartbeatAnswer *out)
{
    const TaskOn *on;
    const size_t count = table_on(core->table, heartbeat->worker.name, &on);
    out->wanted = talloc_array(mem, RoundId, (unsigned)count);
    out->starts = talloc_array(mem, Order, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        const Job *job = on[i].job;
        const JobTask *task = &job->tasks[on[i].task];
        if (task->phase != TASK_PLACED && task->phase != TASK_RUNNING)
            continue;
        const char *id = talloc_strdup(mem, job->spec.id);
        const uint64_t number = task_number(task);
        out->wanted[out->wanted_count++] = (RoundId){id, number, task->round};
        if (task->phase != TASK_PLACED || listed(heartbeat->rounds, heartbeat->rounds_count, id, number, task->round))
            continue;
        const StepSpec *step = &job->spec.steps[task->step];
        out->starts[out->starts_count++] = (Order){
            id, number, task->round, step->room, talloc_strdup(mem, step->payload), talloc_strdup(mem, task->saved)};
    }
}

static bool orders_new(const Core *core, const HeartbeatAsk *heartbeat)
{
    const LiveRow *row = liveset_find(core->liveset, heartbeat->worker.name);
    return replication_leading(core->replication) && !core->repairing && row != NULL &&
           row->incarnation == heartbeat->incarnation && !row->losing &&
           (table_orders(core->table, heartbeat->worker.name) != heartbeat->have ||
            configuration_term(core->replication) != heartbeat->have_term);
}

void orders_answer(Core *core, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms, HeartbeatAnswer *out)
{
    const int64_t until_ms = loop_now_ms(core->loop) + wait_ms;
    AgentLine *line = agent_line(core, heartbeat->worker.name);
    const uint64_t turn = ++line->turn;
    signal_raise(core->loop, &line->news); /* an earlier question waits no longer */
    while (!orders_new(core, heartbeat))
        if (!signal_wait(core->loop, &line->news, until_ms) || turn != line->turn)
            return;
    if (!core_decides(core))
        return;
    out->orders = true;
    out->version = table_orders(core->table, heartbeat->worker.name);
    out->timeout_ms = ORDER_LIFETIME_MS;
    orders_fill(core, mem, heartbeat, out);
}
