/* Protocol adapter: a worker's report and its orders as JSON over HTTP, the native protocol. */
#include "report_json.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "config/check.h"

/* Parses a list of attempts; with_word: each has a result. Returns their number and sets *out. */
static size_t read_attempts(Faults *faults, json_object *object, const char *key, bool with_word,
                            const AttemptUpdate **out)
{
    static const char *const KEYS[] = {"job", "task", "round", "word", "text", "saved", "percent", NULL};
    json_object *list;
    if (!json_object_object_get_ex(object, key, &list))
        return 0;
    if (!json_object_is_type(list, json_type_array)) {
        fault_add(faults, STATUS_BAD_FIELD, key, "must be an array");
        return 0;
    }
    const size_t count = json_object_array_length(list);
    AttemptUpdate *read = talloc_zero_array(faults->mem, AttemptUpdate, (unsigned)count);
    *out = read;
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_array_get_idx(list, i);
        const char *path = talloc_asprintf(faults->mem, "%s[%zu]", key, i);
        AttemptUpdate *update = &read[i];
        *update = (AttemptUpdate){.job = "", .worker = "", .text = "", .saved = ""};
        if (!check_keys(faults, one, path, KEYS))
            continue;
        update->job = check_name(faults, one, path, "job", NULL);
        update->task = (uint64_t)check_int(faults, one, path, "task", 0, INT64_MAX, 0);
        update->attempt = (uint64_t)check_int(faults, one, path, "round", 1, INT64_MAX, 0);
        update->word = ATTEMPT_RUNNING;
        if (with_word) {
            update->word = attempt_status_of_name(check_name(faults, one, path, "word", NULL));
            if (update->word == ATTEMPT_STATUS_COUNT || update->word == ATTEMPT_RUNNING)
                fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, "word"),
                          "must be done, failed, stopped, refused, lost, lapsed, broken or alone");
        }
        update->percent = (uint64_t)check_int(faults, one, path, "percent", 0, 100, 0);
        json_object *text;
        if (json_object_object_get_ex(one, "text", &text) && json_object_is_type(text, json_type_string))
            update->text = talloc_strndup(faults->mem, json_object_get_string(text), 200);
        if (json_object_object_get_ex(one, "saved", &text) && json_object_is_type(text, json_type_string))
            update->saved = talloc_strdup(faults->mem, json_object_get_string(text));
    }
    return count;
}

/* Parses a report. Returns false if faults were added. */
static bool report_read(Faults *faults, const HttpExchange *task, const char *name, WorkerReport *report)
{
    static const char *const KEYS[] = {"boot",    "zone",    "rack",        "kind",  "labels", "room",
                                       "free",    "leaving", "running",     "ended", "waitMs", "seq",
                                       "leaveMs", "left",    "answeredSeq", NULL};
    json_object *object = check_parse(faults, (const char *)task->body.data, task->body.count);
    if (object == NULL)
        return false;
    if (check_keys(faults, object, "", KEYS)) {
        report->boot = check_name(faults, object, "", "boot", NULL);
        report->worker = (Worker){.name = name,
                                  .zone = check_name(faults, object, "", "zone", NULL),
                                  .rack = check_name(faults, object, "", "rack", ""),
                                  .kind = check_name(faults, object, "", "kind", ""),
                                  .resources = check_resources(faults, object, "", "room", true)};
        report->worker.labels = check_names(faults, object, "", "labels", &report->worker.labels_count);
        report->free_given = json_object_object_get_ex(object, "free", NULL);
        report->free = check_resources(faults, object, "", "free", false);
        report->leaving = check_bool(faults, object, "", "leaving", false);
        report->left = check_bool(faults, object, "", "left", false);
        report->leave_ms = check_int(faults, object, "", "leaveMs", 0, INT64_MAX / 4, 0);
        report->seq = (uint64_t)check_int(faults, object, "", "seq", 0, INT64_MAX, 0);
        report->answered_seq = (uint64_t)check_int(faults, object, "", "answeredSeq", 0, INT64_MAX, 0);
        report->wait_ms = check_int(faults, object, "", "waitMs", 0, WORKER_POLL_WAIT_MS * 10, WORKER_POLL_WAIT_MS);
        report->running_count = read_attempts(faults, object, "running", false, &report->running);
        report->ended_count = read_attempts(faults, object, "ended", true, &report->ended);
    }
    json_object_put(object);
    return faults->seen == 0;
}

static json_object *json_attempt_id(const char *job, uint64_t task, uint64_t attempt)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "job", json_object_new_string(job));
    json_object_object_add(object, "task", json_object_new_int64((int64_t)task));
    json_object_object_add(object, "round", json_object_new_int64((int64_t)attempt));
    return object;
}

static json_object *json_attempt_ids(const AttemptId *ids, size_t count)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < count; i++)
        json_object_array_add(list, json_attempt_id(ids[i].job, ids[i].task, ids[i].attempt));
    return list;
}

/* Sets the result of the request to the orders, as JSON. */
static void orders_show(HttpExchange *task, const WorkerOrders *orders)
{
    json_object *body = json_object_new_object(), *starts = json_object_new_array();
    for (size_t i = 0; i < orders->starts_count; i++) {
        const Order *order = &orders->starts[i];
        json_object *one = json_attempt_id(order->job, order->task, order->attempt);
        json_object_object_add(one, "epoch", json_object_new_int64((int64_t)orders->term));
        json_object_object_add(one, "expiryMs", json_object_new_int64(orders->start_within_ms));
        json_object_object_add(one, "room", show_resources(order->resources));
        json_object_object_add(one, "payload", order->payload[0] ? json_tokener_parse(order->payload) : NULL);
        json_object_object_add(one, "saved", json_object_new_string(order->saved));
        json_object_array_add(starts, one);
    }
    json_object_object_add(body, "holdMs", json_object_new_int64(orders->lease_ms));
    json_object_object_add(body, "fence", json_object_new_int64((int64_t)orders->fence));
    json_object_object_add(body, "starts", starts);
    json_object_object_add(body, "stops", json_attempt_ids(orders->stops, orders->stops_count));
    json_object_object_add(body, "known", json_attempt_ids(orders->committed_ends, orders->committed_ends_count));
    show_result(task, 200, body);
}

void worker_report_serve(Agent *agent, HttpExchange *task, const char *name)
{
    Faults *faults = talloc_zero(task, Faults);
    faults->mem = faults;
    WorkerReport report = {0};
    WorkerOrders orders;
    if (strcmp(name, agent->worker_name) != 0) {
        show_refusal(task, STATUS_UNKNOWN_WORKER, "this agent serves another worker", NULL);
        return;
    }
    if (!report_read(faults, task, name, &report)) {
        show_refusal(task, faults->list[0].status, faults->list[0].text, faults);
        return;
    }
    const Status status = agent_report(agent, task, &task->caller_disconnected, &report, &orders);
    if (status == STATUS_DUPLICATE_WORKER)
        show_refusal(task, status, "another process of this name may still be running", NULL);
    else if (status != STATUS_OK)
        show_refusal(task, status, "a newer report has arrived", NULL);
    else
        orders_show(task, &orders);
}
