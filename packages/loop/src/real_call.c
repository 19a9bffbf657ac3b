/* The HTTP client, on h2o's HTTP/1 client: one connection for each request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "real.h"

/* A call in flight. Its task frees it after the client has ended or was cancelled. */
typedef struct CallState {
    RealLoop *real;
    HttpCall *call;
    h2o_http1client_t *client; /* null once ended */
    h2o_iovec_t request;
    Bytes body; /* of the response */
    bool ended;
    Status status;
    Signal done;
} CallState;

static void call_end(CallState *state, Status status)
{
    state->ended = true;
    state->client = NULL;
    state->status = status;
    signal_raise(&state->real->loop, &state->done);
}

static int on_body(h2o_http1client_t *client, const char *err)
{
    CallState *state = client->data;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call_end(state, STATUS_CLOSED);
        return -1;
    }
    bytes_add(state, &state->body, client->sock->input->bytes, client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (err == h2o_http1client_error_is_eos)
        call_end(state, STATUS_OK);
    return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client, const char *err, int minor, int status,
                                       h2o_iovec_t msg, h2o_header_t *headers, size_t count, int rlen)
{
    CallState *state = client->data;
    (void)minor;
    (void)msg;
    (void)rlen;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call_end(state, STATUS_CLOSED);
        return NULL;
    }
    state->call->code = status;
    HttpHeader *response_heads = talloc_array(state->call->mem, HttpHeader, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        response_heads[i].name = talloc_strndup(response_heads, headers[i].name->base, headers[i].name->len);
        response_heads[i].value = talloc_strndup(response_heads, headers[i].value.base, headers[i].value.len);
        if (strcmp(response_heads[i].name, "retry-after") == 0)
            state->call->retry_after_s = atoi(response_heads[i].value);
    }
    state->call->response_headers = response_heads;
    state->call->response_header_count = count;
    if (err == h2o_http1client_error_is_eos) {
        call_end(state, STATUS_OK);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb on_connected(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
                                            size_t *count, int *is_head)
{
    CallState *state = client->data;
    if (err != NULL) {
        call_end(state, STATUS_UNREACHABLE);
        return NULL;
    }
    state->call->sent = true;
    *bufs = &state->request;
    *count = 1;
    *is_head = 0;
    return on_head;
}

/* Serializes the request. */
static void request_write(CallState *state, const HttpCall *call)
{
    char *head = talloc_asprintf(state,
                                 "%s %s HTTP/1.1\r\nconnection: close\r\ncontent-type: application/json\r\n"
                                 "content-length: %zu\r\n",
                                 call->method, call->path, call->body.count);
    bool has_host = false;
    for (size_t i = 0; i < call->request_header_count; i++) {
        head =
            talloc_asprintf_append(head, "%s: %s\r\n", call->request_headers[i].name, call->request_headers[i].value);
        has_host |= strcmp(call->request_headers[i].name, "host") == 0;
    }
    head =
        has_host ? talloc_strdup_append(head, "\r\n") : talloc_asprintf_append(head, "host: %s\r\n\r\n", call->address);
    Bytes request = {0};
    bytes_add(state, &request, head, strlen(head));
    bytes_add(state, &request, call->body.data, call->body.count);
    state->request = h2o_iovec_init((char *)request.data, request.count);
}

Status real_call(Loop *loop, HttpCall *call)
{
    RealLoop *real = (RealLoop *)loop;
    struct sockaddr_in sin;
    if (!real_address(call->address, &sin))
        return STATUS_BAD_SETTINGS;
    CallState *state = talloc_zero(call->mem, CallState);
    state->real = real;
    state->call = call;
    request_write(state, call);
    char host[ADDRESS_MAX];
    snprintf(host, sizeof(host), "%.*s", (int)(strrchr(call->address, ':') - call->address), call->address);
    const int64_t until_ms = loop_now_ms(loop) + call->wait_ms;
    h2o_http1client_connect(&state->client, state, &real->client, h2o_iovec_init(host, strlen(host)),
                            ntohs(sin.sin_port), 0, on_connected);
    call->waiting = &state->done;
    while (!state->ended && !call->is_cancelled)
        if (!signal_wait(loop, &state->done, until_ms))
            break;
    Status status = state->status;
    if (!state->ended) {
        h2o_http1client_cancel(state->client);
        status = call->is_cancelled ? STATUS_CLOSED : STATUS_EXPIRED;
    }
    talloc_steal(call->mem, state->body.data);
    call->response_body = state->body;
    talloc_free(state);
    return status;
}
