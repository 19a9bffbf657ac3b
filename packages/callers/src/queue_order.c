/* Routes of /v1/queue: the ready queue of a cell, in the order of the cell's policy or of one that is under trial. */
#include "queue_order.h"

#include <string.h>
#include <talloc.h>

#include "policy/lua.h"

/* A policy under trial for one cell; null: the cell's own policy. The other cells use their own. */
typedef struct PolicyTrial {
    CallerService *service;
    const char *cell;
    const Policy *policy;
} PolicyTrial;

/* The policy to use for a cell: the one under trial, if there is one for this cell, else the one in force. */
static const Policy *policy_of(void *arg, const ConfigCell *cell)
{
    const PolicyTrial *trial = arg;
    const bool is_trial = cell != NULL && trial->policy != NULL && strcmp(cell->name, trial->cell) == 0;
    return is_trial ? trial->policy : in_force_policy(trial->service->in_force, cell);
}

/* Shows the ready queue of the cell that the query names, ordered by policy; null: by the cell's own. */
static void queue_show(CallerRequest *request, const Policy *policy)
{
    CallerService *service = request->service;
    int64_t limit = LIST_PAGE_DEFAULT;
    query_int(request->faults, request->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = query_value(request->mem, request->task->query, "cell");
    const Config *config = in_force_config(service->in_force);
    if (cell == NULL || config_cell(config, cell) == NULL)
        fault_add(request->faults, STATUS_UNKNOWN_CELL, "?cell", "must name a cell of the configuration");
    if (request->faults->count > 0) {
        request_refuse(request);
        return;
    }
    PolicyTrial trial = {service, cell, policy};
    ReadyQueue *ready = scheduler_ready_queue(service->scheduler, request->mem, policy_of, &trial);
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    int64_t ready_count = 0;
    const Candidate *candidate;
    for (; (candidate = ready_queue_next(ready)) != NULL; ready_queue_placed(ready)) {
        if (strcmp(candidate->job->spec.cell, cell) != 0 || ++ready_count > limit)
            continue;
        json_object *row = json_object_new_object();
        json_object_object_add(row, "job", json_object_new_string(candidate->job->spec.id));
        json_object_object_add(row, "task",
                               json_object_new_int64((int64_t)task_number(&candidate->job->tasks[candidate->first])));
        json_object_object_add(row, "tenant", json_object_new_string(candidate->job->spec.tenant));
        json_object_object_add(row, "queue", json_object_new_string(candidate->job->spec.queue));
        json_object_object_add(row, "rank", json_object_new_double(candidate->rank));
        json_object_object_add(row, "restart", json_object_new_boolean(candidate->restart));
        json_object_array_add(list, row);
    }
    json_object_object_add(body, "cell", json_object_new_string(cell));
    json_object_object_add(body, "ready", json_object_new_int64(ready_count));
    json_object_object_add(body, "order", list);
    show_result(request->task, 200, body);
}

void queue_get(CallerRequest *request)
{
    queue_show(request, NULL);
}

void queue_try(CallerRequest *request)
{
    const char *text = talloc_strndup(request->mem, (const char *)request->task->body.data, request->task->body.count);
    LuaPolicy *policy;
    Failure failure = {0};
    if (text == NULL || text[0] == '\0')
        fault_add(request->faults, STATUS_BAD_POLICY, "", "the body must be the text of a policy");
    else if (lua_policy_new(request->mem, "policy", text, &policy, &failure) != STATUS_OK)
        fault_add(request->faults, STATUS_BAD_POLICY, "", "%s", failure.text);
    if (request->faults->count > 0)
        request_refuse(request);
    else
        queue_show(request, lua_policy(policy));
}
