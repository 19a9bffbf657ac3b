/* Tests of the real loop over loopback: a response reaches its own caller only. A thread with plain sockets is the
 * other side. The two sides do not rely on delays: each waits until the other has reached a step. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sched.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "loop/real.h"
#include "socket_fixture.h"

#define SHORT_TIMEOUT_MS 20  /* Timeout of a call that must expire */
#define LONG_TIMEOUT_MS 5000 /* Timeout of a call that must not expire */
#define CALLERS 40           /* Callers that disconnect, one after the other */
#define FRAME_BYTES (1024 * 1024)
#define BURST_FRAMES 64 /* Frames of FRAME_BYTES: far more than the kernel's send buffer grows to */
#define RECEIVE_BYTES \
    (64 * 1024) /* Receive buffer of the listener's sockets: an explicit size does not grow by itself */

typedef struct PeerFixture {
    Loop *loop;
    char address[ADDRESS_MAX];                   /* the loop's server */
    int listener;                                /* the thread's listening socket */
    char peer[ADDRESS_MAX];                      /* address of the listener */
    void (*thread)(struct PeerFixture *fixture); /* runs in the thread */
    TaskFn task;                                 /* runs in the loop; null: the loop only serves */
    atomic_int step;                             /* the step that the two sides have reached */
    atomic_int gone;                             /* callers whose disconnection was detected */
} PeerFixture;

/* Blocks the calling thread until a step; called in the thread of the other side. */
static void wait_for_step(PeerFixture *fixture, int step)
{
    while (fixture->step < step)
        sched_yield();
}

/* Suspends the coroutine until a step; called in a task of the loop. */
static void sleep_until_step(PeerFixture *fixture, int step)
{
    while (fixture->step < step)
        loop_sleep(fixture->loop, 1);
}

/* Reads until the text contains the words; returns false when the connection ends before that. */
static bool read_until(int fd, char *text, size_t capacity, const char *words)
{
    size_t count = 0;
    text[0] = '\0';
    while (strstr(text, words) == NULL && count + 1 < capacity) {
        const ssize_t got = recv(fd, text + count, 1, 0);
        if (got <= 0)
            return false;
        text[++count] = '\0';
    }
    return strstr(text, words) != NULL;
}

static void *thread_main(void *arg)
{
    PeerFixture *fixture = arg;
    fixture->thread(fixture);
    return NULL;
}

static void on_term(void *arg)
{
    (void)arg;
}

/* --- several requests on one caller's connection, callers that disconnect --------------- */

/* "/up" is answered with 504 after step 1, as a request whose deadline expires. */
static void on_http(void *arg, HttpExchange *task)
{
    PeerFixture *fixture = arg;
    task->code = 200;
    if (strcmp(task->path, "/end") == 0)
        loop_stop(task->loop);
    if (strcmp(task->path, "/up") == 0) {
        sleep_until_step(fixture, 1);
        task->code = 504;
    }
    if (strcmp(task->path, "/leaver") == 0) {
        while (!task->caller_disconnected)
            loop_sleep(task->loop, 1);
        fixture->gone++;
    }
    const char *text = talloc_asprintf(task, "answer to %s.", task->path);
    bytes_add(task, &task->response_body, text, strlen(text));
}

static void send_request(int fd, const char *path)
{
    char request[256];
    snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nhost: x\r\n\r\n", path);
    send_text(fd, request);
}

static void must_respond(int fd, const char *code, const char *path)
{
    char text[1024], words[256];
    snprintf(words, sizeof(words), "answer to %s.", path);
    if (!read_until(fd, text, sizeof(text), "answer to /") || strncmp(text + 9, code, 3) != 0)
        fail_msg("%s instead of %s", text, code);
    size_t count = strlen(text);
    while (text[count - 1] != '.' && recv(fd, text + count, 1, 0) == 1)
        text[++count] = '\0';
    if (strstr(text, words) == NULL)
        fail_msg("%s instead of %s", text, words);
}

static void callers(PeerFixture *fixture)
{
    /* three requests at the same time on one connection; the first expires */
    const int fd = connect_to(fixture->address);
    send_request(fd, "/up");
    send_request(fd, "/second");
    send_request(fd, "/third");
    fixture->step = 1;
    must_respond(fd, "504", "/up");
    must_respond(fd, "200", "/second");
    must_respond(fd, "200", "/third");
    /* a caller disconnects while its request is in progress, and another connects */
    for (int i = 0; i < CALLERS; i++) {
        char path[64];
        const int leaver = connect_to(fixture->address);
        send_request(leaver, "/leaver");
        close(leaver);
        const int next = connect_to(fixture->address);
        snprintf(path, sizeof(path), "/next%d", i);
        send_request(next, path);
        must_respond(next, "200", path);
        snprintf(path, sizeof(path), "/again%d", i);
        send_request(next, path);
        must_respond(next, "200", path);
        close(next);
    }
    while (fixture->gone < CALLERS)
        sched_yield();
    send_request(fd, "/end");
    must_respond(fd, "200", "/end");
    close(fd);
}

/* --- outgoing calls: late, truncated and reset responses ---------------------------------- */

/* Closes the connection with a TCP reset. */
static void reset_close(int fd)
{
    const struct linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

/* Accepts a connection and reads its request, which must contain the words. */
static int accept_request(const PeerFixture *fixture, const char *words)
{
    char text[1024];
    const int fd = accept(fixture->listener, NULL, NULL);
    if (fd < 0 || !read_until(fd, text, sizeof(text), words))
        fail_msg("%s instead of %s", text, words);
    return fd;
}

#define LATE "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"
#define OWN "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
#define SHORT "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nshort"

static void respond_to_calls(PeerFixture *fixture)
{
    const int late = accept_request(fixture, "/late");
    wait_for_step(fixture, 1); /* the call has expired */
    send(late, LATE, strlen(LATE), MSG_NOSIGNAL);
    const int own = accept_request(fixture, "/own");
    send(late, LATE, strlen(LATE), MSG_NOSIGNAL);
    send_text(own, OWN);
    close(own);
    close(late);
    const int half = accept_request(fixture, "/short");
    send_text(half, SHORT);
    close(half);
    const int reset = accept_request(fixture, "/reset");
    send_text(reset, "HTTP/1.1 200 OK\r\ncontent-le");
    reset_close(reset);
    const int last = accept_request(fixture, "/last");
    send_text(last, OWN);
    close(last);
}

static Status call(PeerFixture *fixture, const char *path, int64_t wait_ms, const char *body)
{
    HttpCall one = {
        .mem = talloc_new(fixture), .address = fixture->peer, .method = "GET", .path = path, .wait_ms = wait_ms};
    const Status status = loop_call(fixture->loop, &one);
    if (status == STATUS_OK)
        assert_true(one.response_body.count == strlen(body) &&
                    memcmp(one.response_body.data, body, one.response_body.count) == 0);
    assert_true(one.sent);
    talloc_free(one.mem);
    return status;
}

static void make_calls(void *arg)
{
    PeerFixture *fixture = arg;
    assert_int_equal(call(fixture, "/late", SHORT_TIMEOUT_MS, ""), STATUS_EXPIRED);
    fixture->step = 1;
    assert_int_equal(call(fixture, "/own", LONG_TIMEOUT_MS, "own"), STATUS_OK);
    assert_int_equal(call(fixture, "/short", LONG_TIMEOUT_MS, ""), STATUS_CLOSED);
    assert_int_equal(call(fixture, "/reset", LONG_TIMEOUT_MS, ""), STATUS_CLOSED);
    assert_int_equal(call(fixture, "/last", LONG_TIMEOUT_MS, "own"), STATUS_OK);
    loop_stop(fixture->loop);
}

/* --- frames: partly received, and not sent ------------------------------------------------ */

static void peer_of_frames(PeerFixture *fixture)
{
    static const uint8_t WHOLE[] = {0, 0, 0, 2, 'o', 'k'}, HALF[] = {0, 0, 0, 9, 'h', 'a', 'l', 'f'};
    const int half = accept(fixture->listener, NULL, NULL);
    send(half, WHOLE, sizeof(WHOLE), MSG_NOSIGNAL);
    send(half, HALF, sizeof(HALF), MSG_NOSIGNAL);
    close(half);
    const int full = accept(fixture->listener, NULL, NULL);
    wait_for_step(fixture, 1); /* the loop has sent more than the kernel accepts; none of it is read */
    reset_close(full);
}

static void exchange_frames(void *arg)
{
    PeerFixture *fixture = arg;
    Channel *channel;
    Bytes frame = {0};
    assert_int_equal(loop_open(fixture->loop, fixture, fixture->peer, LONG_TIMEOUT_MS, &channel), STATUS_OK);
    assert_int_equal(channel_receive(channel, fixture, INT64_MAX, &frame), STATUS_OK);
    assert_int_equal(frame.count, 2);
    assert_int_equal(channel_receive(channel, fixture, INT64_MAX, &frame),
                     STATUS_CLOSED); /* the partial frame is dropped */
    channel_close(channel);
    assert_int_equal(loop_open(fixture->loop, fixture, fixture->peer, LONG_TIMEOUT_MS, &channel), STATUS_OK);
    const Bytes large = {talloc_zero_size(fixture, FRAME_BYTES), FRAME_BYTES, 0};
    for (int i = 0; i < BURST_FRAMES; i++)
        assert_int_equal(channel_send(channel, large), STATUS_OK);
    const uint64_t burst = channel_queued(channel);
    assert_true(channel_unsent(channel, 1)); /* frames are written at the end of a turn */
    while (channel_unsent(channel, 1))
        loop_sleep(fixture->loop, 1);
    assert_false(channel_unsent(channel, burst)); /* a part has left, the rest may leave at any time */
    assert_int_equal(channel_send(channel, large), STATUS_OK);
    const uint64_t last = channel_queued(channel);
    loop_sleep(fixture->loop, 1);
    assert_true(channel_unsent(channel, last)); /* queued after the burst, so the peer cannot have it */
    fixture->step = 1;
    assert_int_equal(channel_receive(channel, fixture, INT64_MAX, &frame), STATUS_CLOSED);
    assert_true(channel_unsent(channel, last));
    assert_false(channel_unsent(channel, burst));
    channel_close(channel);
    loop_stop(fixture->loop);
}

/* --- fixture ---------------------------------------------------------------------------- */

static void run_sides(void (*thread)(PeerFixture *fixture), TaskFn task)
{
    PeerFixture *fixture = talloc_zero(NULL, PeerFixture);
    fixture->loop = real_loop_new(fixture);
    fixture->thread = thread;
    struct sockaddr_in sin = {.sin_family = AF_INET};
    socklen_t length = sizeof(sin);
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    fixture->listener = socket(AF_INET, SOCK_STREAM, 0);
    const int receive_bytes = RECEIVE_BYTES;
    assert_int_equal(setsockopt(fixture->listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes)), 0);
    assert_int_equal(bind(fixture->listener, (struct sockaddr *)&sin, length), 0);
    assert_int_equal(listen(fixture->listener, 16), 0);
    assert_int_equal(getsockname(fixture->listener, (struct sockaddr *)&sin, &length), 0);
    snprintf(fixture->peer, sizeof(fixture->peer), "127.0.0.1:%d", ntohs(sin.sin_port));
    assert_int_equal(loop_serve(fixture->loop, "127.0.0.1:0", on_http, fixture, fixture->address, NULL), STATUS_OK);
    if (task != NULL)
        loop_spawn(fixture->loop, "part", task, fixture);
    pthread_t other;
    assert_int_equal(pthread_create(&other, NULL, thread_main, fixture), 0);
    real_loop_run(fixture->loop, on_term, fixture);
    assert_int_equal(pthread_join(other, NULL), 0);
    close(fixture->listener);
}

static void own_answers(void **state)
{
    (void)state;
    run_sides(callers, NULL);
}

static void own_calls(void **state)
{
    (void)state;
    run_sides(respond_to_calls, make_calls);
}

static void whole_frames(void **state)
{
    (void)state;
    run_sides(peer_of_frames, exchange_frames);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(own_answers),
        cmocka_unit_test(own_calls),
        cmocka_unit_test(whole_frames),
    };
    const int failed = cmocka_run_group_tests(tests, NULL, NULL);
    fflush(NULL);
    _exit(failed); /* a real loop lives as long as its process: memory that it still holds is no leak */
}
