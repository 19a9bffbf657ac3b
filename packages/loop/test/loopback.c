/* The real loop over loopback: an answer goes to its own caller. A thread is the other
 * side, with plain sockets; nobody sleeps, each waits for what the other has done. */
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

#define GIVEN_UP_MS 20  /* ms; a call that is to be given up */
#define PATIENT_MS 5000 /* ms; one that is not */
#define CALLERS 40      /* count; that leave, one after the other */
#define FRAME_BYTES (1024 * 1024)
#define BURST_FRAMES 64           /* count; of FRAME_BYTES: far more than the kernel's send buffer ever grows to */
#define RECEIVE_BYTES (64 * 1024) /* of the listener's sockets: a size that is set doesn't grow by itself */

typedef struct Stage {
    Loop *loop;
    char address[ADDRESS_MAX]; /* the loop's server */
    int listener;              /* the thread's */
    char peer[ADDRESS_MAX];
    void (*thread)(struct Stage *stage); /* the other side's part */
    TaskFn task;                         /* the loop's part; null: it serves only */
    atomic_int step;                     /* how far the two have come */
    atomic_int gone;
} Stage;

static void until(Stage *stage, int step)
{
    while (stage->step < step)
        sched_yield();
}

/* Likewise, in a task of the loop. */
static void until_step(Stage *stage, int step)
{
    while (stage->step < step)
        loop_sleep(stage->loop, 1);
}

/* Reads until the text has these words; false: it ended before. */
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
    Stage *stage = arg;
    stage->thread(stage);
    return NULL;
}

static void on_term(void *arg)
{
    (void)arg;
}

/* --- two requests on one caller's connection, callers that leave ------------------------ */

/* "/up" waits until it has been given up, as one whose deadline comes. */
static void on_http(void *arg, HttpTask *task)
{
    Stage *stage = arg;
    task->code = 200;
    if (strcmp(task->path, "/end") == 0)
        loop_stop(task->loop);
    if (strcmp(task->path, "/up") == 0) {
        until_step(stage, 1);
        task->code = 504;
    }
    if (strcmp(task->path, "/leaver") == 0) {
        while (!task->gone)
            loop_sleep(task->loop, 1);
        stage->gone++;
    }
    const char *text = talloc_asprintf(task, "answer to %s.", task->path);
    bytes_add(task, &task->result, text, strlen(text));
}

static void ask(int fd, const char *path)
{
    char request[256];
    snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nhost: x\r\n\r\n", path);
    put(fd, request);
}

static void reported(int fd, const char *code, const char *path)
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

static void callers(Stage *stage)
{
    /* three at once on one connection, the first given up */
    const int fd = dial(stage->address);
    ask(fd, "/up");
    ask(fd, "/second");
    ask(fd, "/third");
    stage->step = 1;
    reported(fd, "504", "/up");
    reported(fd, "200", "/second");
    reported(fd, "200", "/third");
    /* one leaves with its request in work, the next takes its place */
    for (int i = 0; i < CALLERS; i++) {
        char path[64];
        const int leaver = dial(stage->address);
        ask(leaver, "/leaver");
        close(leaver);
        const int next = dial(stage->address);
        snprintf(path, sizeof(path), "/next%d", i);
        ask(next, path);
        reported(next, "200", path);
        snprintf(path, sizeof(path), "/again%d", i);
        ask(next, path);
        reported(next, "200", path);
        close(next);
    }
    while (stage->gone < CALLERS)
        sched_yield();
    ask(fd, "/end");
    reported(fd, "200", "/end");
    close(fd);
}

/* --- calls of ours: late, cut short, reset ----------------------------------------------- */

static void reset_close(int fd)
{
    const struct linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

static int accepted(const Stage *stage, const char *words)
{
    char text[1024];
    const int fd = accept(stage->listener, NULL, NULL);
    if (fd < 0 || !read_until(fd, text, sizeof(text), words))
        fail_msg("%s instead of %s", text, words);
    return fd;
}

#define LATE "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"
#define OWN "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
#define SHORT "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nshort"

static void answering(Stage *stage)
{
    const int late = accepted(stage, "/late");
    until(stage, 1); /* it has been given up */
    send(late, LATE, strlen(LATE), MSG_NOSIGNAL);
    const int own = accepted(stage, "/own");
    send(late, LATE, strlen(LATE), MSG_NOSIGNAL);
    put(own, OWN);
    close(own);
    close(late);
    const int half = accepted(stage, "/short");
    put(half, SHORT);
    close(half);
    const int reset = accepted(stage, "/reset");
    put(reset, "HTTP/1.1 200 OK\r\ncontent-le");
    reset_close(reset);
    const int last = accepted(stage, "/last");
    put(last, OWN);
    close(last);
}

static Status call(Stage *stage, const char *path, int64_t wait_ms, const char *body)
{
    HttpCall one = {
        .mem = talloc_new(stage), .address = stage->peer, .method = "GET", .path = path, .wait_ms = wait_ms};
    const Status status = loop_call(stage->loop, &one);
    if (status == STATUS_OK)
        assert_true(one.result.count == strlen(body) && memcmp(one.result.data, body, one.result.count) == 0);
    assert_true(one.sent);
    talloc_free(one.mem);
    return status;
}

static void calling(void *arg)
{
    Stage *stage = arg;
    assert_int_equal(call(stage, "/late", GIVEN_UP_MS, ""), STATUS_EXPIRED);
    stage->step = 1;
    assert_int_equal(call(stage, "/own", PATIENT_MS, "own"), STATUS_OK);
    assert_int_equal(call(stage, "/short", PATIENT_MS, ""), STATUS_CLOSED);
    assert_int_equal(call(stage, "/reset", PATIENT_MS, ""), STATUS_CLOSED);
    assert_int_equal(call(stage, "/last", PATIENT_MS, "own"), STATUS_OK);
    loop_stop(stage->loop);
}

/* --- frames: half written, and never sent ------------------------------------------------- */

static void framing(Stage *stage)
{
    static const uint8_t WHOLE[] = {0, 0, 0, 2, 'o', 'k'}, HALF[] = {0, 0, 0, 9, 'h', 'a', 'l', 'f'};
    const int half = accept(stage->listener, NULL, NULL);
    send(half, WHOLE, sizeof(WHOLE), MSG_NOSIGNAL);
    send(half, HALF, sizeof(HALF), MSG_NOSIGNAL);
    close(half);
    const int full = accept(stage->listener, NULL, NULL);
    until(stage, 1); /* more has been sent than the kernel takes; nothing is read of it */
    reset_close(full);
}

static void framed(void *arg)
{
    Stage *stage = arg;
    Channel *channel;
    Bytes frame = {0};
    assert_int_equal(loop_open(stage->loop, stage, stage->peer, PATIENT_MS, &channel), STATUS_OK);
    assert_int_equal(channel_receive(channel, stage, INT64_MAX, &frame), STATUS_OK);
    assert_int_equal(frame.count, 2);
    assert_int_equal(channel_receive(channel, stage, INT64_MAX, &frame), STATUS_CLOSED); /* and nothing of the half */
    channel_close(channel);
    assert_int_equal(loop_open(stage->loop, stage, stage->peer, PATIENT_MS, &channel), STATUS_OK);
    const Bytes large = {talloc_zero_size(stage, FRAME_BYTES), FRAME_BYTES, 0};
    for (int i = 0; i < BURST_FRAMES; i++)
        assert_int_equal(channel_send(channel, large), STATUS_OK);
    const uint64_t burst = channel_queued(channel);
    assert_true(channel_unsent(channel, 1)); /* written at the end of a turn, not before */
    while (channel_unsent(channel, 1))
        loop_sleep(stage->loop, 1);
    assert_false(channel_unsent(channel, burst)); /* some of it has left, the rest may at any time: not known */
    assert_int_equal(channel_send(channel, large), STATUS_OK);
    const uint64_t last = channel_queued(channel);
    loop_sleep(stage->loop, 1);
    assert_true(channel_unsent(channel, last)); /* gathered behind the burst: nobody can have it */
    stage->step = 1;
    assert_int_equal(channel_receive(channel, stage, INT64_MAX, &frame), STATUS_CLOSED);
    assert_true(channel_unsent(channel, last));
    assert_false(channel_unsent(channel, burst));
    channel_close(channel);
    loop_stop(stage->loop);
}

/* --- play ------------------------------------------------------------------------------- */

static void play(void (*thread)(Stage *stage), TaskFn task)
{
    Stage *stage = talloc_zero(NULL, Stage);
    stage->loop = real_loop_new(stage);
    stage->thread = thread;
    struct sockaddr_in sin = {.sin_family = AF_INET};
    socklen_t length = sizeof(sin);
    inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
    stage->listener = socket(AF_INET, SOCK_STREAM, 0);
    const int receive_bytes = RECEIVE_BYTES;
    assert_int_equal(setsockopt(stage->listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes)), 0);
    assert_int_equal(bind(stage->listener, (struct sockaddr *)&sin, length), 0);
    assert_int_equal(listen(stage->listener, 16), 0);
    assert_int_equal(getsockname(stage->listener, (struct sockaddr *)&sin, &length), 0);
    snprintf(stage->peer, sizeof(stage->peer), "127.0.0.1:%d", ntohs(sin.sin_port));
    assert_int_equal(loop_serve(stage->loop, "127.0.0.1:0", on_http, stage, stage->address, NULL), STATUS_OK);
    if (task != NULL)
        loop_spawn(stage->loop, "part", task, stage);
    pthread_t other;
    assert_int_equal(pthread_create(&other, NULL, thread_main, stage), 0);
    real_loop_run(stage->loop, on_term, stage);
    assert_int_equal(pthread_join(other, NULL), 0);
    close(stage->listener);
}

static void own_answers(void **state)
{
    (void)state;
    play(callers, NULL);
}

static void own_calls(void **state)
{
    (void)state;
    play(answering, calling);
}

static void whole_frames(void **state)
{
    (void)state;
    play(framing, framed);
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
    _exit(failed); /* a real loop lives as long as its process: what it leaves is no leak */
}
