/* The HTTP server: one h2o server for all addresses of the process. Each request is handled in a task of its own. */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <talloc.h>

#include "real_serve.h"

#define SWEEP_MS 500                 /* Minimum interval between searches for incomplete heads */
#define EXTRA_CONNECTIONS_DIVISOR 8  /* 1 in this many of the limit on connections is accepted beyond the limit */
#define READ_AHEAD_BYTES (16 * 1024) /* Limit on the bytes read ahead while a request is in progress */

typedef struct Served Served;

/* Links an h2o request to its task. It is allocated on the request's pool; when the pool is freed, the caller is marked
 * as disconnected. */
typedef struct RequestLink {
    Served *served;
} RequestLink;

/* A request in progress. */
struct Served {
    HttpExchange task;
    CallerConnection *caller; /* null once the connection is closed */
    Endpoint *endpoint;
    h2o_req_t *req; /* null once h2o has freed the request */
    RequestLink *request_link;
    size_t bytes; /* counted in the endpoint's request_bytes */
};

/* Called by h2o when it frees the pool of a request. */
static void on_pool_freed(void *arg)
{
    RequestLink *request_link = arg;
    if (request_link->served != NULL) {
        request_link->served->task.caller_disconnected = true;
        request_link->served->req = NULL;
        request_link->served->caller = NULL;
    }
}

static const char *reason_phrase(int code)
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

static void header_add(h2o_req_t *req, const char *name, const char *value)
{
    const h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
    const h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);
    h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 0, NULL, value_copy.base,
                          value_copy.len);
}

/* Sends the response in the task. */
static void respond(RealLoop *real, h2o_req_t *req, const HttpExchange *task)
{
    req->res.status = task->code;
    req->res.reason = reason_phrase(task->code);
    req->res.content_length = task->response_body.count;
    const h2o_iovec_t kind = h2o_strdup(&req->pool, task->content_type, SIZE_MAX);
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, kind.base, kind.len);
    if (task->retry_after_s > 0) {
        char text[16];
        snprintf(text, sizeof(text), "%d", task->retry_after_s);
        header_add(req, "retry-after", text);
    }
    for (size_t i = 0; i < task->response_header_count; i++)
        header_add(req, task->response_headers[i].name, task->response_headers[i].value);
    if (real->leaving)
        req->http1_is_persistent = 0;
    h2o_send_inline(req, (const char *)task->response_body.data, task->response_body.count);
}

/* Refuses a request without starting a task. */
static void reject(RealLoop *real, h2o_req_t *req, Status status, const char *text)
{
    char body[160];
    const int count = snprintf(body, sizeof(body), "{\"status\":\"%s\",\"text\":\"%s\"}\n", status_word(status), text);
    const HttpExchange result = {.code = status_http(status),
                                 .content_type = "application/json",
                                 .response_body = {(uint8_t *)body, (size_t)count, 0},
                                 .retry_after_s = status_retry_s(status)};
    respond(real, req, &result);
}

static void served_main(void *arg)
{
    Served *served = arg;
    RealLoop *real = served->endpoint->real;
    served->endpoint->fn(served->endpoint->arg, &served->task);
    served->endpoint->requests--;
    served->endpoint->request_bytes -= served->bytes;
    if (served->caller != NULL) {
        served->caller->served = NULL;
        served->caller->idle_since_ms = loop_now_ms(&real->loop);
        served->caller->response_bytes = served->task.response_body.count;
    }
    if (served->req != NULL) {
        served->request_link->served = NULL;
        if (served->caller != NULL && served->caller->last_request)
            served->req->http1_is_persistent = 0;
        respond(real, served->req, &served->task);
    }
    talloc_free(served);
}

/* Reads the connection while a request is in progress, to detect that the caller disconnects. After the response h2o
 * resumes reading by itself. */
static void on_read_ahead(h2o_socket_t *sock, const char *err)
{
    const CallerConnection *caller = sock->on_close.data;
    if (err != NULL && caller->served != NULL)
        caller->served->task.caller_disconnected = true;
    if (err != NULL || sock->input->size > READ_AHEAD_BYTES)
        h2o_socket_read_stop(sock);
}

static void headers_copy(Served *served, const h2o_req_t *req)
{
    HttpExchange *task = &served->task;
    HttpHeader *heads = talloc_array(served, HttpHeader, (unsigned)req->headers.size + 1);
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        heads[i] = (HttpHeader){talloc_strndup(heads, header->name->base, header->name->len),
                                talloc_strndup(heads, header->value.base, header->value.len)};
    }
    task->request_headers = heads;
    task->request_header_count = req->headers.size;
    const char *authority = talloc_strndup(heads, req->input.authority.base, req->input.authority.len);
    heads[task->request_header_count++] = (HttpHeader){"host", authority};
    task->host = http_host(served, authority);
}

/* Returns the approximate size of the request's head, in bytes. */
static size_t head_bytes(const h2o_req_t *req)
{
    size_t bytes = req->method.len + req->path.len + req->input.authority.len;
    for (size_t i = 0; i < req->headers.size; i++)
        bytes += req->headers.entries[i].name->len + req->headers.entries[i].value.len + 4;
    return bytes;
}

/* Handles a complete request: starts its task, or refuses it. */
static int on_req(h2o_handler_t *super, h2o_req_t *req)
{
    (void)super;
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
    CallerConnection *caller = sock->on_close.data;
    RealLoop *real = caller->endpoint->real;
    caller->head_begun_ms = 0;
    if (head_bytes(req) > real->limits.head_bytes) {
        reject(real, req, STATUS_HEAD_LARGE, "the head of this request is too large");
        return 0;
    }
    if (caller->over_limit) {
        req->http1_is_persistent = 0; /* the caller retries here or at another process */
        reject(real, req, STATUS_BUSY, "too many connections");
        return 0;
    }
    Endpoint *endpoint = caller->endpoint;
    const size_t bytes = real_request_bytes(req->entity.len);
    if (caller->closing || endpoint->requests >= HTTP_TASKS_MAX || !real_request_fits(endpoint, bytes)) {
        reject(real, req, STATUS_BUSY, "too many requests in progress");
        return 0;
    }
    endpoint->requests++;
    endpoint->request_bytes += bytes;
    Served *served = talloc_zero(real, Served);
    HttpExchange *task = &served->task;
    served->bytes = bytes;
    served->endpoint = endpoint;
    served->caller = caller;
    served->req = req;
    served->request_link = h2o_mem_alloc_shared(&req->pool, sizeof(*served->request_link), on_pool_freed);
    served->request_link->served = served;
    caller->served = served;
    task->loop = &real->loop;
    task->method = talloc_strndup(served, req->method.base, req->method.len);
    const size_t path_len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    task->path = talloc_strndup(served, req->path.base, path_len);
    task->query = req->query_at == SIZE_MAX
                      ? ""
                      : talloc_strndup(served, req->path.base + path_len + 1, req->path.len - path_len - 1);
    headers_copy(served, req);
    bytes_add(served, &task->body, req->entity.base, req->entity.len);
    task->code = 500;
    task->content_type = "application/json";
    h2o_socket_read_start(sock, on_read_ahead);
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

void real_accept(h2o_socket_t *listener, const char *err)
{
    Endpoint *endpoint = listener->data;
    RealLoop *real = endpoint->real;
    h2o_socket_t *sock;
    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        /* a few connections over the limit are kept until their first request, to refuse it with a reason */
        if (real->caller_count >= real->limits.connections + real->limits.connections / EXTRA_CONNECTIONS_DIVISOR + 1) {
            h2o_socket_close(sock);
            continue;
        }
        CallerConnection *stalled = real->caller_count >= real->limits.connections ? real_caller_stalled(real) : NULL;
        if (stalled != NULL)
            real_caller_close(stalled); /* gives way to the new one */
        CallerConnection *caller = talloc_zero(real, CallerConnection);
        *caller = (CallerConnection){.next = real->callers, .endpoint = endpoint, .sock = sock};
        caller->idle_since_ms = loop_now_ms(&real->loop);
        caller->over_limit = stalled == NULL && real->caller_count >= real->limits.connections;
        if (real->callers != NULL)
            real->callers->prev = caller;
        real->callers = caller;
        real->caller_count++;
        sock->on_close.cb = on_close;
        sock->on_close.data = caller;
        h2o_accept(&real->accept, sock);
    }
}

/* Whether a part of a request head has arrived, but not all of it. */
static bool head_begun(const CallerConnection *caller)
{
    const h2o_buffer_t *input = caller->sock->input;
    return caller->served == NULL && input->size > 0 && memmem(input->bytes, input->size, "\r\n\r\n", 4) == NULL;
}

/* h2o has a single timeout from the end of a request to the complete head of the next: the idle timeout. An incomplete
 * head has a shorter one, which is checked here. */
void real_serve_sweep(RealLoop *real)
{
    const int64_t now_ms = loop_now_ms(&real->loop);
    if (real->callers == NULL || now_ms - real->swept_ms < SWEEP_MS)
        return;
    real->swept_ms = now_ms;
    for (CallerConnection *caller = real->callers; caller != NULL; caller = caller->next) {
        if (!head_begun(caller)) {
            caller->head_begun_ms = 0;
        } else if (caller->head_begun_ms == 0) {
            caller->head_begun_ms = now_ms;
        } else if (now_ms - caller->head_begun_ms > real->limits.head_ms) {
            shutdown(h2o_socket_get_fd(caller->sock), SHUT_RDWR); /* h2o reads the end and closes it */
        }
    }
}

static void server_start(RealLoop *real)
{
    real->serving = true;
    h2o_config_init(&real->config);
    real->config.http1.upgrade_to_http2 = 0; /* HTTP/1.1 only: the limits count one request for each connection */
    real->config.server_name = h2o_iovec_init(H2O_STRLIT("spancart"));
    h2o_hostconf_t *host = h2o_config_register_host(&real->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    h2o_handler_t *handler = h2o_create_handler(path, sizeof(*handler));
    handler->on_req = on_req;
    h2o_context_init(&real->context, real->evloop, &real->config);
    real->accept.ctx = &real->context;
    real->accept.hosts = real->config.hosts;
    const HttpLimits defaults = {0};
    if (real->limits.body_bytes == 0)
        real->limits = defaults;
    real_limit(&real->loop, &real->limits);
}

Status real_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure)
{
    RealLoop *real = (RealLoop *)loop;
    if (!real->serving)
        server_start(real);
    Endpoint *endpoint = talloc_zero(real, Endpoint);
    *endpoint = (Endpoint){.real = real, .fn = fn, .arg = arg, .next = real->endpoints};
    endpoint->listener = real_bind(real, address, real_accept, endpoint, bound, failure);
    if (endpoint->listener == NULL) {
        talloc_free(endpoint);
        return STATUS_BAD_SETTINGS;
    }
    real_set_buffers(h2o_socket_get_fd(endpoint->listener), CALLER_RECEIVE_BYTES, CALLER_SEND_BYTES);
    real->endpoints = endpoint;
    return STATUS_OK;
}

/* Callers get five eighths of the file descriptors that the process may have; the rest is for peers and files. */
static size_t connections_default(void)
{
    struct rlimit files;
    if (getrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_cur / 8 * 5 > HTTP_CONNECTIONS_MAX)
        return HTTP_CONNECTIONS_MAX;
    return (size_t)(files.rlim_cur / 8 * 5);
}

void real_limit(Loop *loop, const HttpLimits *limits)
{
    RealLoop *real = (RealLoop *)loop;
    real->limits = (HttpLimits){limits->head_bytes > 0 ? limits->head_bytes : HTTP_HEAD_MAX,
                                limits->body_bytes > 0 ? limits->body_bytes : HTTP_BODY_MAX,
                                limits->head_ms > 0 ? limits->head_ms : HTTP_HEAD_TIMEOUT_MS,
                                limits->idle_ms > 0 ? limits->idle_ms : HTTP_IDLE_TIMEOUT_MS,
                                limits->connections > 0 ? limits->connections : connections_default()};
    if (!real->serving)
        return;
    real->config.max_request_entity_size = real->limits.body_bytes;
    real->context.http1.req_timeout.timeout = (uint64_t)real->limits.idle_ms;
}

void real_leave(Loop *loop)
{
    ((RealLoop *)loop)->leaving = true;
}
