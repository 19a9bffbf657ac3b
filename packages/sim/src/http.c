/* Simulated HTTP. Each call has a connection of its own; its request and response are delayed, and held back while the
 * link is cut. */
#include <string.h>
#include <talloc.h>

#include "world.h"

/* A call in progress. Invariant: call is null once the caller no longer waits. SimHttp is freed when call is null and
 * server_done is set. */
typedef struct SimHttp {
    SimWorld *world;
    int from, to;
    uint64_t to_incarnation; /* the server's process, see SimMachine.incarnation */
    HttpCall *call;
    SimLoop *caller;
    SimPort port;
    bool server_done; /* no further event of the server or of the response is due */
    bool answered;
    Status status;
    Signal done;
    char *method, *path;
    Bytes body;
    HttpHeader *heads;
    size_t head_count;
    /* the response */
    int code, retry_after_s;
    Bytes result;
    HttpHeader *response_heads;
    size_t response_head_count;
} SimHttp;

/* A request that the server's process handles. */
typedef struct SimHttpRequest {
    HttpExchange task; /* must be first */
    SimLoop *loop;
    SimHttp *http; /* null once the result has been taken over */
} SimHttpRequest;

/* Copies the pairs, with capacity for further ones. */
static HttpHeader *pairs_copy(void *mem, const HttpHeader *pairs, size_t count, size_t further)
{
    HttpHeader *copy = talloc_array(mem, HttpHeader, (unsigned)(count + further));
    for (size_t i = 0; i < count; i++)
        copy[i] = (HttpHeader){talloc_strdup(copy, pairs[i].name), talloc_strdup(copy, pairs[i].value)};
    return copy;
}

/* Frees the call once neither the caller nor the server needs it. */
static void http_maybe_free(SimHttp *http)
{
    if (http->call == NULL && http->server_done)
        talloc_free(http);
}

/* Event: the response arrives at the caller, or waits while the link is cut or the caller frozen. */
static void response_arrives(void *arg)
{
    SimHttp *http = arg;
    SimWorld *world = http->world;
    if (http->call != NULL) {
        if (world->cut[http->to][http->from]) {
            sim_schedule(world, world->now_ms + HELD_RETRY_MS, response_arrives, http);
            return;
        }
        const int64_t frozen_ms = world->machines[http->from].frozen_until_ms;
        if (frozen_ms > world->now_ms) {
            sim_schedule(world, frozen_ms, response_arrives, http);
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
    http->server_done = true;
    http_maybe_free(http);
}

/* Destructor. If the server's process ends before its response, the caller sees a closed connection or nothing. */
static int request_free(SimHttpRequest *request)
{
    SimHttp *http = request->http;
    request->loop->http_tasks--;
    if (http == NULL)
        return 0;
    http->status = STATUS_CLOSED;
    if (http->world->machines[http->to].silent) {
        http->server_done = true; /* the caller waits until its time limit */
        http_maybe_free(http);
    } else {
        sim_schedule(http->world, http->world->now_ms + sim_link_ms(http->world), response_arrives, http);
    }
    return 0;
}

static void request_main(void *arg)
{
    SimHttpRequest *request = arg;
    SimHttp *http = request->http;
    http->port.on_http(http->port.arg, &request->task);
    request->http = NULL;
    http->code = request->task.code;
    http->retry_after_s = request->task.retry_after_s;
    http->result = bytes_copy(http, request->task.response_body);
    http->response_heads = pairs_copy(http, request->task.response_headers, request->task.response_header_count, 0);
    http->response_head_count = request->task.response_header_count;
    sim_schedule(http->world, sim_arrival_ms(http->world, http->to, http->from, http->result.count), response_arrives,
                 http);
    talloc_free(request);
}

/* Event: the request arrives at the server, or waits while the link is cut or the server frozen. */
static void request_arrives(void *arg)
{
    SimHttp *http = arg;
    SimWorld *world = http->world;
    SimMachine *machine = &world->machines[http->to];
    const bool runs = machine->loop != NULL && machine->incarnation == http->to_incarnation;
    if (http->call == NULL) {
        if (runs)
            machine->loop->http_connections--;
        http->server_done = true;
        http_maybe_free(http);
        return;
    }
    if (world->cut[http->from][http->to]) {
        sim_schedule(world, world->now_ms + HELD_RETRY_MS, request_arrives, http);
        return;
    }
    if (!runs) {
        http->status = STATUS_CLOSED;
        if (machine->silent)
            http->server_done = true;
        else
            response_arrives(http);
        return;
    }
    if (machine->frozen_until_ms > world->now_ms) {
        sim_schedule(world, machine->frozen_until_ms, request_arrives, http);
        return;
    }
    machine->loop->http_connections--;
    const HttpLimits *limits = &machine->loop->limits;
    if (http->body.count > (limits->body_bytes > 0 ? limits->body_bytes : HTTP_BODY_MAX)) {
        http->code = status_http(STATUS_TOO_LARGE);
        response_arrives(http);
        return;
    }
    SimHttpRequest *request = talloc_zero(machine->loop, SimHttpRequest);
    request->loop = machine->loop;
    machine->loop->http_tasks++;
    request->http = http;
    talloc_set_destructor(request, request_free);
    HttpExchange *task = &request->task;
    task->loop = &machine->loop->loop;
    task->method = talloc_strdup(request, http->method);
    const char *query_mark = strchr(http->path, '?');
    task->path = query_mark ? talloc_strndup(request, http->path, (size_t)(query_mark - http->path))
                            : talloc_strdup(request, http->path);
    task->query = query_mark ? talloc_strdup(request, query_mark + 1) : "";
    task->request_header_count = http->head_count;
    task->request_headers = pairs_copy(request, http->heads, http->head_count, 0);
    task->host = http_host(request, http_header(task, "host"));
    task->body = bytes_copy(request, http->body);
    task->code = 500;
    task->content_type = "application/json";
    loop_spawn(&machine->loop->loop, "http", request_main, request);
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

/* Has nothing to do: simulated calls do not share connections. */
void sim_leave(Loop *loop)
{
    (void)loop;
}

void sim_serve_status(const Loop *loop, HttpServeStatus *status)
{
    const SimLoop *sim = (const SimLoop *)loop;
    status->connections = sim->http_tasks + sim->http_connections;
    status->in_progress = sim->http_tasks;
}

void sim_serve_close(Loop *loop)
{
    ((SimLoop *)loop)->http_closed = true;
}

/* A simulated caller sends its request as soon as it is connected: no connection is idle. */
size_t sim_serve_close_idle(Loop *loop)
{
    const SimLoop *sim = (const SimLoop *)loop;
    return sim->http_tasks + sim->http_connections;
}

/* An object of the calling process. Its destructor records that the caller has ended when the process ends during a
 * call. */
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
    if (found == NULL || found->on_http == NULL || machine->loop->http_closed)
        return STATUS_UNREACHABLE;
    SimHttp *http = talloc_zero(world, SimHttp);
    http->world = world;
    http->from = sim->machine;
    http->to = target;
    http->to_incarnation = machine->incarnation;
    http->call = call;
    http->caller = sim;
    http->port = *found;
    http->method = talloc_strdup(http, call->method);
    http->path = talloc_strdup(http, call->path);
    http->body = bytes_copy(http, call->body);
    http->heads = pairs_copy(http, call->request_headers, call->request_header_count, 1);
    http->head_count = call->request_header_count;
    bool has_host = false;
    for (size_t i = 0; i < call->request_header_count; i++)
        has_host |= strcmp(call->request_headers[i].name, "host") == 0;
    if (!has_host)
        http->heads[http->head_count++] = (HttpHeader){"host", talloc_strdup(http->heads, call->address)};
    SimCallMark *mark = talloc_zero(sim, SimCallMark);
    mark->http = http;
    talloc_set_destructor(mark, call_mark_free);
    call->sent = true;
    machine->loop->http_connections++;
    sim_schedule(world, sim_arrival_ms(world, http->from, http->to, http->body.count), request_arrives, http);
    call->waiting = &http->done;
    while (!http->answered && !call->is_cancelled)
        if (!signal_wait(loop, &http->done, until_ms))
            break;
    const Status status = call->is_cancelled ? STATUS_CLOSED : http->answered ? http->status : STATUS_EXPIRED;
    talloc_free(mark);
    return status;
}
