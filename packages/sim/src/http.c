/* Simulated HTTP: a connection for each call, whose request and response are delayed, and held back while the link
 * is cut. */
#include <string.h>
#include <talloc.h>

#include "world.h"

/* A call in flight. Invariant: call is null once the caller does not wait any more; it is freed when that is so
 * and the server's part is over. */
typedef struct SimHttp {
    SimWorld *world;
    int from, to;
    uint64_t to_life;
    HttpCall *call;
    SimLoop *caller;
    SimPort port;
    bool server_over;
    bool answered;
    Status status;
    Signal done;
    char *method, *path;
    Bytes body;
    HttpHeader *heads;
    size_t head_count;
    /* the response in flight */
    int code, retry_after_s;
    Bytes result;
    HttpHeader *response_heads;
    size_t response_head_count;
} SimHttp;

typedef struct SimServed {
    HttpExchange task; /* first */
    SimLoop *loop;
    SimHttp *http; /* null once the result is given */
} SimServed;

/* Copies, with room for further ones. */
static HttpHeader *pairs_copy(void *mem, const HttpHeader *pairs, size_t count, size_t further)
{
    HttpHeader *copy = talloc_array(mem, HttpHeader, (unsigned)(count + further));
    for (size_t i = 0; i < count; i++)
        copy[i] = (HttpHeader){talloc_strdup(copy, pairs[i].name), talloc_strdup(copy, pairs[i].value)};
    return copy;
}

static void http_maybe_free(SimHttp *http)
{
    if (http->call == NULL && http->server_over)
        talloc_free(http);
}

static void result_arrives(void *arg)
{
    SimHttp *http = arg;
    SimWorld *world = http->world;
    if (http->call != NULL) {
        if (world->cut[http->to][http->from]) {
            sim_at(world, world->now_ms + HELD_RETRY_MS, result_arrives, http);
            return;
        }
        const int64_t frozen_ms = world->machines[http->from].frozen_until_ms;
        if (frozen_ms > world->now_ms) {
            sim_at(world, frozen_ms, result_arrives, http);
            return;
        }
        HttpCall *call = http->call;
        call->code = http->code;
        call->retry_after_s = http->retry_after_s;
        call->response_body = bytes_copy(call->mem, http->result);
        call->response_headers = pairs_copy(call->mem, http->response_heads, http->response_head_count, 0);
        call->response_header_count = http->response_head_count;
        http->answered = true;
        signal_raise(&http->caller->loop, &http->done);
    }
    http->server_over = true;
    http_maybe_free(http);
}

/* The server's process has ended before its response. */
static int served_free(SimServed *served)
{
    SimHttp *http = served->http;
    served->loop->http_tasks--;
    if (http == NULL)
        return 0;
    http->status = STATUS_CLOSED;
    if (http->world->machines[http->to].silent) {
        http->server_over = true; /* the caller waits until it gives up */
        http_maybe_free(http);
    } else {
        sim_at(http->world, http->world->now_ms + sim_link_ms(http->world), result_arrives, http);
    }
    return 0;
}

static void served_main(void *arg)
{
    SimServed *served = arg;
    SimHttp *http = served->http;
    http->port.on_http(http->port.arg, &served->task);
    served->http = NULL;
    http->code = served->task.code;
    http->retry_after_s = served->task.retry_after_s;
    http->result = bytes_copy(http, served->task.response_body);
    http->response_heads = pairs_copy(http, served->task.response_headers, served->task.response_header_count, 0);
    http->response_head_count = served->task.response_header_count;
    sim_at(http->world, sim_arrival_ms(http->world, http->to, http->from, http->result.count), result_arrives, http);
    talloc_free(served);
}

static void request_arrives(void *arg)
{
    SimHttp *http = arg;
    SimWorld *world = http->world;
    SimMachine *machine = &world->machines[http->to];
    if (http->call == NULL) {
        http->server_over = true;
        http_maybe_free(http);
        return;
    }
    if (world->cut[http->from][http->to]) {
        sim_at(world, world->now_ms + HELD_RETRY_MS, request_arrives, http);
        return;
    }
    if (machine->loop == NULL || machine->life != http->to_life) {
        http->status = STATUS_CLOSED;
        if (machine->silent)
            http->server_over = true;
        else
            result_arrives(http);
        return;
    }
    if (machine->frozen_until_ms > world->now_ms) {
        sim_at(world, machine->frozen_until_ms, request_arrives, http);
        return;
    }
    const HttpLimits *limits = &machine->loop->limits;
    if (http->body.count > (limits->body_bytes > 0 ? limits->body_bytes : HTTP_BODY_MAX)) {
        http->code = status_http(STATUS_TOO_LARGE);
        result_arrives(http);
        return;
    }
    SimServed *served = talloc_zero(machine->loop, SimServed);
    served->loop = machine->loop;
    machine->loop->http_tasks++;
    served->http = http;
    talloc_set_destructor(served, served_free);
    HttpExchange *task = &served->task;
    task->loop = &machine->loop->loop;
    task->method = talloc_strdup(served, http->method);
    const char *question = strchr(http->path, '?');
    task->path = question ? talloc_strndup(served, http->path, (size_t)(question - http->path))
                          : talloc_strdup(served, http->path);
    task->query = question ? talloc_strdup(served, question + 1) : "";
    task->request_header_count = http->head_count;
    task->request_headers = pairs_copy(served, http->heads, http->head_count, 0);
    task->host = http_host(served, http_header(task, "host"));
    task->body = bytes_copy(served, http->body);
    task->code = 500;
    task->content_type = "application/json";
    loop_spawn(&machine->loop->loop, "http", served_main, served);
}

Status sim_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure)
{
    (void)failure;
    sim_take_port((SimLoop *)loop, address, (SimPort){NULL, fn, arg}, bound);
    return STATUS_OK;
}

void sim_limit(Loop *loop, const HttpLimits *limits)
{
    ((SimLoop *)loop)->limits = *limits;
}

/* Simulated calls have a connection each. */
void sim_leave(Loop *loop)
{
    (void)loop;
}

size_t sim_busy(const Loop *loop)
{
    return ((const SimLoop *)loop)->http_tasks;
}

/* Marks the caller as gone when its process ends during a call. */
typedef struct SimCallMark {
    SimHttp *http;
} SimCallMark;

static int call_mark_free(SimCallMark *mark)
{
    mark->http->call = NULL;
    http_maybe_free(mark->http);
    return 0;
}

Status sim_call(Loop *loop, HttpCall *call)
{
    SimLoop *sim = (SimLoop *)loop;
    SimWorld *world = sim->world;
    int target;
    const char *port;
    if (!sim_find(world, call->address, &target, &port))
        return STATUS_BAD_SETTINGS;
    const int64_t until_ms = loop_now_ms(loop) + call->wait_ms;
    for (;;) {
        loop_sleep(loop, sim_link_ms(world) + sim_link_ms(world));
        const SimMachine *machine = &world->machines[target];
        const bool hidden = world->cut[sim->machine][target] || world->cut[target][sim->machine] ||
                            (machine->loop == NULL && machine->silent);
        if (!hidden)
            break;
        if (loop_now_ms(loop) >= until_ms)
            return STATUS_EXPIRED;
        loop_sleep(loop, HELD_RETRY_MS);
    }
    SimMachine *machine = &world->machines[target];
    if (machine->loop == NULL)
        return STATUS_UNREACHABLE;
    const SimPort *found = map_get(machine->loop->ports, port);
    if (found == NULL || found->on_http == NULL)
        return STATUS_UNREACHABLE;
    SimHttp *http = talloc_zero(world, SimHttp);
    http->world = world;
    http->from = sim->machine;
    http->to = target;
    http->to_life = machine->life;
    http->call = call;
    http->caller = sim;
    http->port = *found;
    http->method = talloc_strdup(http, call->method);
    http->path = talloc_strdup(http, call->path);
    http->body = bytes_copy(http, call->body);
    http->heads = pairs_copy(http, call->request_headers, call->request_header_count, 1);
    http->head_count = call->request_header_count;
    bool named = false;
    for (size_t i = 0; i < call->request_header_count; i++)
        named |= strcmp(call->request_headers[i].name, "host") == 0;
    if (!named)
        http->heads[http->head_count++] = (HttpHeader){"host", talloc_strdup(http->heads, call->address)};
    SimCallMark *mark = talloc_zero(sim, SimCallMark);
    mark->http = http;
    talloc_set_destructor(mark, call_mark_free);
    call->sent = true;
    sim_at(world, sim_arrival_ms(world, http->from, http->to, http->body.count), request_arrives, http);
    call->waiting = &http->done;
    while (!http->answered && !call->is_cancelled)
        if (!signal_wait(loop, &http->done, until_ms))
            break;
    const Status status = call->is_cancelled ? STATUS_CLOSED : http->answered ? http->status : STATUS_EXPIRED;
    talloc_free(mark);
    return status;
}
