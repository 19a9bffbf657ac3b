/* HTTP requests by h2o's HTTP/1 client: a connection for each. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "real.h"

/* A call in flight. The task frees it, after the client has ended or was cancelled. */
typedef struct Calling {
    RealLoop *real;
    HttpCall *call;
    h2o_http1client_t *client;
    h2o_iovec_t request;
    Bytes body;
    bool ended;
    Status status;
    Signal done;
} Calling;

static void call_end(Calling *calling, Status status)
{
    calling->ended = true;
    calling->client = NULL;
    calling->status = status;
    signal_raise(&calling->real->loop, &calling->done);
}

static int on_body(h2o_http1client_t *client, const char *err)
{
    Calling *calling = client->data;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call_end(calling, STATUS_CLOSED);
        return -1;
    }
    bytes_add(calling, &calling->body, client->sock->input->bytes, client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (err == h2o_http1client_error_is_eos)
        call_end(calling, STATUS_OK);
    return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client, const char *err, int minor, int status,
                                       h2o_iovec_t msg, h2o_header_t *headers, size_t count, int rlen)
{
    Calling *calling = client->data;
    (void)minor;
    (void)msg;
    (void)rlen;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call_end(calling, STATUS_CLOSED);
        return NULL;
    }
    calling->call->code = status;
    HttpPair *response_heads = talloc_array(calling->call->mem, HttpPair, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        response_heads[i].name = talloc_strndup(response_heads, headers[i].name->base, headers[i].name->len);
        response_heads[i].value = talloc_strndup(response_heads, headers[i].value.base, headers[i].value.len);
        if (strcmp(response_heads[i].name, "retry-after") == 0)
            calling->call->retry_after_s = atoi(response_heads[i].value);
    }
    calling->call->response_heads = response_heads;
    calling->call->response_head_count = count;
    if (err == h2o_http1client_error_is_eos) {
        call_end(calling, STATUS_OK);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb on_connected(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
                                            size_t *count, int *is_head)
{
    Calling *calling = client->data;
    if (err != NULL) {
        call_end(calling, STATUS_UNREACHABLE);
        return NULL;
    }
    calling->call->sent = true;
    *bufs = &calling->request;
    *count = 1;
    *is_head = 0;
    return on_head;
}

/* The bytes of the request. */
static void request_write(Calling *calling, const HttpCall *call)
{
    char *head = talloc_asprintf(calling,
                                 "%s %s HTTP/1.1\r\nconnection: close\r\ncontent-type: application/json\r\n"
                                 "content-length: %zu\r\n",
                                 call->method, call->path, call->body.count);
    bool named = false;
    for (size_t i = 0; i < call->head_count; i++) {
        head = talloc_asprintf_append(head, "%s: %s\r\n", call->heads[i].name, call->heads[i].value);
        named |= strcmp(call->heads[i].name, "host") == 0;
    }
    head = named ? talloc_strdup_append(head, "\r\n") : talloc_asprintf_append(head, "host: %s\r\n\r\n", call->address);
    Bytes request = {0};
    bytes_add(calling, &request, head, strlen(head));
    bytes_add(calling, &request, call->body.data, call->body.count);
    calling->request = h2o_iovec_init((char *)request.data, request.count);
}

Status real_call(Loop *loop, HttpCall *call)
{
    RealLoop *real = (RealLoop *)loop;
    struct sockaddr_in sin;
    if (!real_address(call->address, &sin))
        return STATUS_BAD_SETTINGS;
    Calling *calling = talloc_zero(call->mem, Calling);
    calling->real = real;
    calling->call = call;
    request_write(calling, call);
    char host[ADDRESS_MAX];
    snprintf(host, sizeof(host), "%.*s", (int)(strrchr(call->address, ':') - call->address), call->address);
    const int64_t until_ms = loop_now_ms(loop) + call->wait_ms;
    h2o_http1client_connect(&calling->client, calling, &real->client, h2o_iovec_init(host, strlen(host)),
                            ntohs(sin.sin_port), 0, on_connected);
    call->waiting = &calling->done;
    while (!calling->ended && !call->cut)
        if (!signal_wait(loop, &calling->done, until_ms))
            break;
    Status status = calling->status;
    if (!calling->ended) {
        h2o_http1client_cancel(calling->client);
        status = call->cut ? STATUS_CLOSED : STATUS_EXPIRED;
    }
    talloc_steal(call->mem, calling->body.data);
    call->result = calling->body;
    talloc_free(calling);
    return status;
}
