/* HTTP by h2o: its server, and its HTTP/1 client without a pool. */
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "real.h"

typedef struct Handler {
    h2o_handler_t super; /* first */
    RealLoop *real;
    HttpFn fn;
    void *arg;
} Handler;

/* Ties an h2o request to our task. The watch lives on the request's pool and
 * tells the task when the request is gone. */
typedef struct Served Served;

typedef struct Watch {
    Served *served;
} Watch;

struct Served {
    HttpTask task;
    Handler *handler;
    h2o_req_t *req; /* null once gone */
    Watch *watch;
};

static void onGone(void *arg)
{
    Watch *watch = arg;
    if (watch->served != NULL) {
        watch->served->task.gone = true;
        watch->served->req = NULL;
    }
}

static const char *codeWord(int code)
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

static void answer(h2o_req_t *req, int code, const char *kind, Bytes body, int retryAfterS)
{
    req->res.status = code;
    req->res.reason = codeWord(code);
    req->res.content_length = body.count;
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, kind, strlen(kind));
    if (retryAfterS > 0) {
        char text[16];
        snprintf(text, sizeof(text), "%d", retryAfterS);
        const h2o_iovec_t value = h2o_strdup(&req->pool, text, SIZE_MAX);
        h2o_add_header_by_str(&req->pool, &req->res.headers, H2O_STRLIT("retry-after"), 0, NULL, value.base, value.len);
    }
    h2o_send_inline(req, (const char *)body.data, body.count);
}

static void servedMain(void *arg)
{
    Served *served = arg;
    served->handler->fn(served->handler->arg, &served->task);
    served->handler->real->httpTasks--;
    if (served->req != NULL) {
        served->watch->served = NULL;
        answer(served->req, served->task.code, served->task.kind, served->task.verdict, served->task.retryAfterS);
    }
    talloc_free(served);
}

static int onReq(h2o_handler_t *super, h2o_req_t *req)
{
    Handler *handler = (Handler *)super;
    RealLoop *real = handler->real;
    if (real->httpTasks >= HTTP_TASKS_MAX) {
        static const char BODY[] = "{\"status\":\"busy\",\"text\":\"too many requests in work\"}\n";
        answer(req, 503, "application/json", (Bytes){(uint8_t *)(uintptr_t)BODY, sizeof(BODY) - 1, 0}, RETRY_AFTER_S);
        return 0;
    }
    real->httpTasks++;
    Served *served = talloc_zero(real, Served);
    HttpTask *task = &served->task;
    served->handler = handler;
    served->req = req;
    served->watch = h2o_mem_alloc_shared(&req->pool, sizeof(*served->watch), onGone);
    served->watch->served = served;
    task->loop = &real->loop;
    task->method = talloc_strndup(served, req->method.base, req->method.len);
    const size_t pathLen = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    task->path = talloc_strndup(served, req->path.base, pathLen);
    task->query = req->query_at == SIZE_MAX
                      ? ""
                      : talloc_strndup(served, req->path.base + pathLen + 1, req->path.len - pathLen - 1);
    bytesAdd(served, &task->body, req->entity.base, req->entity.len);
    task->code = 500;
    task->kind = "application/json";
    loopSpawn(&real->loop, "http", servedMain, served);
    return 0;
}

static void onAccept(h2o_socket_t *listener, const char *err)
{
    RealLoop *real = listener->data;
    h2o_socket_t *sock;
    if (err != NULL)
        return;
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL)
        h2o_accept(&real->accept, sock);
}

Status realServe(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Mishap *mishap)
{
    RealLoop *real = (RealLoop *)loop;
    if (real->serving)
        return mishapSet(mishap, STATUS_INTERNAL, "a process serves HTTP on one address");
    real->serving = true;
    h2o_config_init(&real->config);
    real->config.max_request_entity_size = HTTP_BODY_MAX;
    real->config.server_name = h2o_iovec_init(H2O_STRLIT("spancart"));
    h2o_hostconf_t *host = h2o_config_register_host(&real->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    Handler *handler = (Handler *)h2o_create_handler(path, sizeof(*handler));
    handler->super.on_req = onReq;
    handler->real = real;
    handler->fn = fn;
    handler->arg = arg;
    h2o_context_init(&real->context, real->evloop, &real->config);
    real->accept.ctx = &real->context;
    real->accept.hosts = real->config.hosts;
    return realBind(real, address, onAccept, real, bound, mishap) != NULL ? STATUS_OK : STATUS_BAD_PROPS;
}

/* A call under way. Freed by whichever of task and client ends last. */
typedef struct Calling {
    RealLoop *real;
    HttpCall *call; /* null once the task has gone on */
    h2o_http1client_t *client;
    h2o_iovec_t request;
    Bytes body;
    bool ended;
    Status status;
    Signal done;
} Calling;

static void callEnd(Calling *calling, Status status)
{
    calling->ended = true;
    calling->client = NULL;
    calling->status = status;
    signalRaise(&calling->real->loop, &calling->done);
}

static int onBody(h2o_http1client_t *client, const char *err)
{
    Calling *calling = client->data;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        callEnd(calling, STATUS_CLOSED);
        return -1;
    }
    bytesAdd(calling, &calling->body, client->sock->input->bytes, client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (err == h2o_http1client_error_is_eos)
        callEnd(calling, STATUS_OK);
    return 0;
}

static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *err, int minor, int status, h2o_iovec_t msg,
                                      h2o_header_t *headers, size_t count, int rlen)
{
    Calling *calling = client->data;
    (void)minor;
    (void)msg;
    (void)rlen;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        callEnd(calling, STATUS_CLOSED);
        return NULL;
    }
    calling->call->code = status;
    for (size_t i = 0; i < count; i++)
        if (h2o_memis(headers[i].name->base, headers[i].name->len, H2O_STRLIT("retry-after")) &&
            headers[i].value.len < 8) {
            char text[8] = {0};
            memcpy(text, headers[i].value.base, headers[i].value.len);
            calling->call->retryAfterS = atoi(text);
        }
    if (err == h2o_http1client_error_is_eos) {
        callEnd(calling, STATUS_OK);
        return NULL;
    }
    return onBody;
}

static h2o_http1client_head_cb onConnected(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
                                           size_t *count, int *isHead)
{
    Calling *calling = client->data;
    if (err != NULL) {
        callEnd(calling, STATUS_UNREACHABLE);
        return NULL;
    }
    calling->call->sent = true;
    *bufs = &calling->request;
    *count = 1;
    *isHead = 0;
    return onHead;
}

Status realCall(Loop *loop, HttpCall *call)
{
    RealLoop *real = (RealLoop *)loop;
    struct sockaddr_in sin;
    if (!realAddress(call->address, &sin))
        return STATUS_BAD_PROPS;
    Calling *calling = talloc_zero(call->mem, Calling);
    calling->real = real;
    calling->call = call;
    char *head = talloc_asprintf(calling,
                                 "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\ncontent-type: application/json\r\n"
                                 "content-length: %zu\r\n\r\n",
                                 call->method, call->path, call->address, call->body.count);
    Bytes request = {0};
    bytesAdd(calling, &request, head, strlen(head));
    bytesAdd(calling, &request, call->body.data, call->body.count);
    calling->request = h2o_iovec_init((char *)request.data, request.count);
    char host[ADDRESS_MAX];
    snprintf(host, sizeof(host), "%.*s", (int)(strrchr(call->address, ':') - call->address), call->address);
    const int64_t untilMs = loopNowMs(loop) + call->waitMs;
    h2o_http1client_connect(&calling->client, calling, &real->client, h2o_iovec_init(host, strlen(host)),
                            ntohs(sin.sin_port), 0, onConnected);
    call->waiting = &calling->done;
    while (!calling->ended && !call->cut)
        if (!signalWait(loop, &calling->done, untilMs))
            break;
    Status status = calling->status;
    if (!calling->ended) {
        h2o_http1client_cancel(calling->client);
        status = call->cut ? STATUS_CLOSED : STATUS_EXPIRED;
    }
    talloc_steal(call->mem, calling->body.data);
    call->verdict = calling->body;
    talloc_free(calling);
    return status;
}
