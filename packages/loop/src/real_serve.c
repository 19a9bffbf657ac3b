/* HTTP server: one h2o server for all addresses of the process; each request is handled in a task of its own. */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <talloc.h>

#include "real.h"

#define SWEEP_MS 500            /* ms; unfinished heads are looked for this often, when the loop runs anyway */
#define BEYOND_PART 8           /* part of the bound on callers' connections that is kept beyond it */
#define AHEAD_BYTES (64 * 1024) /* bytes; so much is read of what a caller sends before its result */

/* An address served. */
typedef struct Endpoint {
    RealLoop *real;
    HttpFn fn;
    void *arg;
} Endpoint;

typedef struct Served Served;

/* A caller's connection. Invariants: it is on the loop's list from its acceptance until it is closed; served is the
 * request in work, if any. */
typedef struct CallerConnection {
    struct CallerConnection *prev, *next;
    Endpoint *endpoint;
    h2o_socket_t *sock;
    Served *served;
    int64_t begun_ms; /* when a head was first seen unfinished; 0: none is */
    bool beyond;      /* it came when there were as many as there may be */
} CallerConnection;

/* Ties an h2o request to its task: it is on the request's pool, whose end marks the task's caller as gone. */
typedef struct Watch {
    Served *served;
} Watch;

struct Served {
    HttpTask task;
    CallerConnection *caller; /* null once gone */
    Endpoint *endpoint;
    h2o_req_t *req; /* null once gone */
    Watch *watch;
};

static void on_gone(void *arg)
{
    Watch *watch = arg;
    if (watch->served != NULL) {
        watch->served->task.gone = true;
        watch->served->req = NULL;
        watch->served->caller = NULL;
    }
}

static const char *code_word(int code)
{
    switch (code) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return code < 400 ? "OK" : "Refused";
    }
}

static void notify(h2o_req_t *req, const char *name, const char *value)
{
    const h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
    const h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 0, NULL, value_copy.base,
                          value_copy.len);
}

static void answer(RealLoop *real, h2o_req_t *req, const HttpTask *task)
{
    req->res.status = task->code;
    req->res.reason = code_word(task->code);
    req->res.content_length = task->result.count;
    const h2o_iovec_t kind = h2o_strdup(&req->pool, task->kind, SIZE_MAX);
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, kind.base, kind.len);
    if (task->retry_after_s > 0) {
        char text[16];
        snprintf(text, sizeof(text), "%d", task->retry_after_s);
        notify(req, "retry-after", text);
    }
    for (size_t i = 0; i < task->response_head_count; i++)
        notify(req, task->response_heads[i].name, task->response_heads[i].value);
    if (real->leaving)
        req->http1_is_persistent = 0;
    h2o_send_inline(req, (const char *)task->result.data, task->result.count);
}

/* Rejects a request without a task. */
static void refuse(RealLoop *real, h2o_req_t *req, Status status, const char *text)
{
    char body[160];
    const int count = snprintf(body, sizeof(body), "{\"status\":\"%s\",\"text\":\"%s\"}\n", status_word(status), text);
    const HttpTask result = {.code = status_http(status),
                             .kind = "application/json",
                             .result = {(uint8_t *)body, (size_t)count, 0},
                             .retry_after_s = status_retry_s(status)};
    answer(real, req, &result);
}

static void served_main(void *arg)
{
    Served *served = arg;
    RealLoop *real = served->endpoint->real;
    served->endpoint->fn(served->endpoint->arg, &served->task);
    real->http_tasks--;
    if (served->caller != NULL)
        served->caller->served = NULL;
    if (served->req != NULL) {
        served->watch->served = NULL;
        answer(real, served->req, &served->task);
    }
    talloc_free(served);
}

/* While a request is in work its connection is read all the same, to notice that the caller disconnects. h2o reads on
 * by itself after the response. */
static void on_ahead(h2o_socket_t *sock, const char *err)
{
    const CallerConnection *caller = sock->on_close.data;
    if (err != NULL && caller->served != NULL)
        caller->served->task.gone = true;
    if (err != NULL || sock->input->size > AHEAD_BYTES)
        h2o_socket_read_stop(sock);
}

static void take_heads(Served *served, const h2o_req_t *req)
{
    HttpTask *task = &served->task;
    HttpPair *heads = talloc_array(served, HttpPair, (unsigned)req->headers.size + 1);
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        heads[i] = (HttpPair){talloc_strndup(heads, header->name->base, header->name->len),
                              talloc_strndup(heads, header->value.base, header->value.len)};
    }
    task->heads = heads;
    task->head_count = req->headers.size;
    const char *authority = talloc_strndup(heads, req->input.authority.base, req->input.authority.len);
    heads[task->head_count++] = (HttpPair){"host", authority};
    task->host = http_host(served, authority);
}

static size_t head_bytes(const h2o_req_t *req)
{
    size_t bytes = req->method.len + req->path.len + req->input.authority.len;
    for (size_t i = 0; i < req->headers.size; i++)
        bytes += req->headers.entries[i].name->len + req->headers.entries[i].value.len + 4;
    return bytes;
}

static int on_req(h2o_handler_t *super, h2o_req_t *req)
{
    (void)super;
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
    CallerConnection *caller = sock->on_close.data;
    RealLoop *real = caller->endpoint->real;
    caller->begun_ms = 0;
    if (head_bytes(req) > real->limits.head_bytes) {
        refuse(real, req, STATUS_HEAD_LARGE, "the head of this request is too large");
        return 0;
    }
    if (caller->beyond) {
        req->http1_is_persistent = 0; /* its caller finds another process, or comes back */
        refuse(real, req, STATUS_BUSY, "too many connections");
        return 0;
    }
    if (real->http_tasks >= HTTP_TASKS_MAX) {
        refuse(real, req, STATUS_BUSY, "too many requests in work");
        return 0;
    }
    real->http_tasks++;
    Served *served = talloc_zero(real, Served);
    HttpTask *task = &served->task;
    served->endpoint = caller->endpoint;
    served->caller = caller;
    served->req = req;
    served->watch = h2o_mem_alloc_shared(&req->pool, sizeof(*served->watch), on_gone);
    served->watch->served = served;
    caller->served = served;
    task->loop = &real->loop;
    task->method = talloc_strndup(served, req->method.base, req->method.len);
    const size_t path_len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    task->path = talloc_strndup(served, req->path.base, path_len);
    task->query = req->query_at == SIZE_MAX
                      ? ""
                      : talloc_strndup(served, req->path.base + path_len + 1, req->path.len - path_len - 1);
    take_heads(served, req);
    bytes_add(served, &task->body, req->entity.base, req->entity.len);
    task->code = 500;
    task->kind = "application/json";
    h2o_socket_read_start(sock, on_ahead);
    loop_spawn(&real->loop, "http", served_main, served);
    return 0;
}

static void on_close(void *arg)
{
    CallerConnection *caller = arg;
    RealLoop *real = caller->endpoint->real;
    if (caller->served != NULL)
        caller->served->caller = NULL;
    if (caller->prev != NULL)
        caller->prev->next = caller->next;
    else
        real->callers = caller->next;
    if (caller->next != NULL)
        caller->next->prev = caller->prev;
    real->caller_count--;
    talloc_free(caller);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
    Endpoint *endpoint = listener->data;
    RealLoop *real = endpoint->real;
    h2o_socket_t *sock;
    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        /* a few beyond the bound are kept until they ask, so that their callers are told why */
        if (real->caller_count >= real->limits.connections + real->limits.connections / BEYOND_PART + 1) {
            h2o_socket_close(sock);
            continue;
        }
        CallerConnection *caller = talloc_zero(real, CallerConnection);
        *caller = (CallerConnection){.next = real->callers, .endpoint = endpoint, .sock = sock};
        caller->beyond = real->caller_count >= real->limits.connections;
        if (real->callers != NULL)
            real->callers->prev = caller;
        real->callers = caller;
        real->caller_count++;
        sock->on_close.cb = on_close;
        sock->on_close.data = caller;
        h2o_accept(&real->accept, sock);
    }
}

/* A part of a request head has arrived, but not all of it. */
static bool head_begun(const CallerConnection *caller)
{
    const h2o_buffer_t *input = caller->sock->input;
    return caller->served == NULL && input->size > 0 && memmem(input->bytes, input->size, "\r\n\r\n", 4) == NULL;
}

/* h2o has one time-out from the end of a request to the complete head of the next, the idle one. A head that has begun
 * has a shorter one, which is checked here. */
void real_serve_sweep(RealLoop *real)
{
    const int64_t now_ms = loop_now_ms(&real->loop);
    if (real->callers == NULL || now_ms - real->swept_ms < SWEEP_MS)
        return;
    real->swept_ms = now_ms;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        if (!head_begun(caller)) {
            caller->begun_ms = 0;
        } else if (caller->begun_ms == 0) {
            caller->begun_ms = now_ms;
        } else if (now_ms - caller->begun_ms > real->limits.head_ms) {
            shutdown(h2o_socket_get_fd(caller->sock), SHUT_RDWR); /* h2o reads the end and closes it */
        }
    }
}

static void serve_begin(RealLoop *real)
{
    real->serving = true;
    h2o_config_init(&real->config);
    real->config.server_name = h2o_iovec_init(H2O_STRLIT("spancart"));
    h2o_hostconf_t *host = h2o_config_register_host(&real->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    h2o_handler_t *handler = h2o_create_handler(path, sizeof(*handler));
    handler->on_req = on_req;
    h2o_context_init(&real->context, real->evloop, &real->config);
    real->accept.ctx = &real->context;
    real->accept.hosts = real->config.hosts;
    const HttpLimits first = {0};
    if (real->limits.body_bytes == 0)
        real->limits = first;
    real_limit(&real->loop, &real->limits);
}

Status real_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure)
{
    RealLoop *real = (RealLoop *)loop;
    if (!real->serving)
        serve_begin(real);
    Endpoint *endpoint = talloc_zero(real, Endpoint);
    *endpoint = (Endpoint){real, fn, arg};
    return real_bind(real, address, on_accept, endpoint, bound, failure) != NULL ? STATUS_OK : STATUS_BAD_SETTINGS;
}

/* Callers get three quarters of the descriptors that the process may have: the rest is for peers and files. */
static size_t connections_most(void)
{
    struct rlimit files;
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur / 4 * 3 > HTTP_CONNECTIONS_MAX)
        return HTTP_CONNECTIONS_MAX;
    return (size_t)(files.rlim_cur / 4 * 3);
}

void real_limit(Loop *loop, const HttpLimits *limits)
{
    RealLoop *real = (RealLoop *)loop;
    real->limits = (HttpLimits){limits->head_bytes > 0 ? limits->head_bytes : HTTP_HEAD_MAX,
                                limits->body_bytes > 0 ? limits->body_bytes : HTTP_BODY_MAX,
                                limits->head_ms > 0 ? limits->head_ms : HTTP_HEAD_MS,
                                limits->idle_ms > 0 ? limits->idle_ms : HTTP_IDLE_MS,
                                limits->connections > 0 ? limits->connections : connections_most()};
    if (!real->serving)
        return;
    real->config.max_request_entity_size = real->limits.body_bytes;
    real->context.http1.req_timeout.timeout = (uint64_t)real->limits.idle_ms;
}

void real_leave(Loop *loop)
{
    ((RealLoop *)loop)->leaving = true;
}

size_t real_busy(const Loop *loop)
{
    const RealLoop *real = (const RealLoop *)loop;
    size_t busy = 0;
    for (const CallerConnection *caller = real->callers; caller != NULL; caller = caller->next)
        busy += caller->served != NULL || caller->sock->input->size > 0 || h2o_socket_is_writing(caller->sock);
    return busy;
}
