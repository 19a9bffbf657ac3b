/* The real loop's HTTP, over loopback: a thread is the caller, with plain sockets. */
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
#include <signal.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "loop/real.h"
#include "socket_fixture.h"

#define LARGE_BYTES (16 * 1024 * 1024) /* more than the kernel takes at once */

/* What the two sides share. Invariant: the loop's thread alone touches loop. */
typedef struct Stage {
    Loop *loop;
    char first[ADDRESS_MAX], second[ADDRESS_MAX];
    void (*script)(struct Stage *stage);
    HttpLimits limits;
    atomic_int gone; /* callers seen to leave */
    atomic_int served;
    atomic_int hups;
} Stage;

static void say(HttpTask *task, const char *text)
{
    task->code = 200;
    task->kind = "text/plain";
    bytes_add(task, &task->result, text, strlen(text));
}

static void on_first(void *arg, HttpTask *task)
{
    Stage *stage = arg;
    stage->served++;
    if (strcmp(task->path, "/wait") == 0) {
        while (!task->gone)
            loop_sleep(task->loop, 1);
        stage->gone++;
    } else if (strcmp(task->path, "/large") == 0) {
        task->code = 200;
        task->result.data = talloc_zero_size(task, LARGE_BYTES);
        task->result.count = LARGE_BYTES;
        memset(task->result.data, 'x', LARGE_BYTES);
    } else if (strcmp(task->path, "/leave") == 0) {
        loop_serve_leave(task->loop);
        say(task, talloc_asprintf(task, "busy %zu", loop_serve_busy(task->loop)));
    } else {
        const char *kind = http_head(task, "x-kind");
        task->response_heads = talloc_memdup(task, (&(HttpPair){"x-told", "yes"}), sizeof(HttpPair));
        task->response_head_count = 1;
        say(task, talloc_asprintf(task, "first %s %s?%s host=%s kind=%s body=%zu", task->method, task->path,
                                  task->query, task->host, kind != NULL ? kind : "none", task->body.count));
    }
}

static void on_second(void *arg, HttpTask *task)
{
    (void)arg;
    if (strcmp(task->path, "/end") == 0)
        loop_stop(task->loop);
    say(task, "second");
}

/* --- the caller ---------------------------------------------------------------------- */

static void asked(int fd, const char *request, const char *code, const char *words)
{
    char text[4096];
    put(fd, request);
    if (http_answer(fd, text, sizeof(text)) == 0)
        snprintf(text, sizeof(text), "nothing");
    if (strncmp(text, "HTTP/1.1 ", 9) != 0 || strncmp(text + 9, code, 3) != 0 || strstr(text, words) == NULL)
        fail_msg("asked %s told %s instead of %s with %s", request, text, code, words);
}

static void *caller_main(void *arg)
{
    Stage *stage = arg;
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP); /* it is the loop's */
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    stage->script(stage);
    ask_until_taken(stage->second, "GET /end HTTP/1.1\r\nhost: x\r\n\r\n");
    return NULL;
}

static void on_term(void *arg)
{
    Stage *stage = arg;
    loop_stop(stage->loop);
}

static void on_hup(void *arg)
{
    Stage *stage = arg;
    stage->hups++;
}

static void play(void (*script)(Stage *stage), HttpLimits limits)
{
    Stage *stage = talloc_zero(NULL, Stage);
    stage->loop = real_loop_new(stage);
    stage->script = script;
    stage->limits = limits;
    assert_int_equal(loop_serve(stage->loop, "127.0.0.1:0", on_first, stage, stage->first, NULL), STATUS_OK);
    loop_serve_limits(stage->loop, &limits);
    assert_int_equal(loop_serve(stage->loop, "127.0.0.1:0", on_second, stage, stage->second, NULL), STATUS_OK);
    real_loop_on_hup(stage->loop, on_hup, stage);
    pthread_t caller;
    assert_int_equal(pthread_create(&caller, NULL, caller_main, stage), 0);
    real_loop_run(stage->loop, on_term, stage);
    pthread_join(caller, NULL);
    /* the loop's memory is the process's: it is left to its end */
}

/* --- what is played --------------------------------------------------------------------- */

static void two_addresses(Stage *stage)
{
    const int first = dial(stage->first), second = dial(stage->second);
    asked(first, "GET /a/b?c=d HTTP/1.1\r\nHost: Jobs.Example:8080\r\nX-Kind: Some\r\n\r\n", "200",
          "first GET /a/b?c=d host=jobs.example kind=Some body=0");
    asked(second, "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    /* the same connections again */
    asked(second, "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    asked(first, "POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello", "200", "body=5");
    asked(first, "POST /p HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
          "200", "body=7");
    asked(first, "GET / HTTP/1.1\r\n\r\n", "200", "x-told: yes");
    close(first);
    close(second);
}

static void pipelined(Stage *stage)
{
    const int fd = dial(stage->first);
    char text[4096];
    put(fd,
        "GET /1 HTTP/1.1\r\nhost: x\r\n\r\nPOST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhiGET /3 HTTP/1.1\r\nhost: x\r\n\r\n");
    static const char *const WORDS[] = {"GET /1?", "POST /2?", "GET /3?"};
    for (int i = 0; i < 3; i++) {
        if (http_answer(fd, text, sizeof(text)) == 0 || strstr(text, WORDS[i]) == NULL)
            fail_msg("%s instead of %s", text, WORDS[i]);
    }
    close(fd);
}

static void broken(Stage *stage)
{
    static const char *const ROWS[] = {
        "GARBAGE\r\n\r\n",
        "GET\r\n\r\n",
        "\x01\x02\x03\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nbad header\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        const int fd = dial(stage->first);
        char text[4096];
        put(fd, ROWS[i]);
        shutdown(fd, SHUT_WR);
        if (http_answer(fd, text, sizeof(text)) > 0 && strncmp(text, "HTTP/1.1 4", 10) != 0)
            fail_msg("row %zu told %s", i, text);
        close(fd);
    }
    /* half a head, half a body, and gone */
    static const char *const HALVES[] = {"G", "GET / HT", "GET / HTTP/1.1\r\nhost: x\r\n",
                                         "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc"};
    const int before = stage->served;
    for (size_t i = 0; i < sizeof(HALVES) / sizeof(HALVES[0]); i++) {
        const int fd = dial(stage->first);
        put(fd, HALVES[i]);
        close(fd);
    }
    /* in two parts, and served */
    const int fd = dial(stage->first);
    put(fd, "GET /whole HT");
    asked(dial(stage->second), "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    asked(fd, "TP/1.1\r\nhost: x\r\n\r\n", "200", "/whole");
    assert_int_equal(stage->served, before + 1);
    close(fd);
}

static void too_large(Stage *stage)
{
    char *head = talloc_strdup(NULL, "GET / HTTP/1.1\r\nhost: x\r\nx-long: ");
    for (int i = 0; i < 100; i++)
        head = talloc_strdup_append(head, "0123456789012345678901234567890123456789");
    head = talloc_strdup_append(head, "\r\n\r\n");
    int fd = dial(stage->first);
    asked(fd, head, "431", "head-large");
    /* the connection goes on */
    asked(fd, "GET /after HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/after");
    close(fd);
    fd = dial(stage->first);
    asked(fd, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n", "413", "");
    close(fd);
    fd = dial(stage->first);
    asked(fd, "GET /alive HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/alive");
    close(fd);
    talloc_free(head);
}

/* A head that never ends, and a connection without a request, are closed. */
static void patience(Stage *stage)
{
    const int half = dial(stage->first), idle = dial(stage->first);
    put(half, "GET / HT");
    asked(idle, "GET /once HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/once");
    assert_true(ended(idle));
    assert_true(ended(half));
    close(half);
    close(idle);
}

/* A body has more time than a head. */
static void slow_body(Stage *stage)
{
    const int body = dial(stage->first), half = dial(stage->first);
    put(body, "POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhe");
    put(half, "GET / HT");
    assert_true(ended(half));
    asked(body, "llo", "200", "body=5");
    close(body);
    close(half);
}

/* A caller who leaves is seen; one who reads slowly keeps nobody else waiting. */
static void callers(Stage *stage)
{
    int fd = dial(stage->first);
    put(fd, "GET /wait HTTP/1.1\r\nhost: x\r\n\r\n");
    close(fd);
    const int slow = dial(stage->first), other = dial(stage->first);
    put(slow, "GET /large HTTP/1.1\r\nhost: x\r\n\r\n");
    while (stage->gone == 0)
        asked(other, "GET /meanwhile HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/meanwhile");
    static char bytes[65536];
    size_t count = 0, parts = 0;
    while (count < LARGE_BYTES) {
        const ssize_t got = recv(slow, bytes, sizeof(bytes), 0);
        assert_true(got > 0);
        count += (size_t)got;
        if (++parts % 16 == 0)
            asked(other, "GET /between HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/between");
    }
    close(slow);
    close(other);
}

/* Connections are closed after their next answer, not before. */
static void leaving(Stage *stage)
{
    const int open = dial(stage->first), asking = dial(stage->first);
    asked(open, "GET /open HTTP/1.1\r\nhost: x\r\n\r\n", "200", "keep-alive");
    asked(asking, "GET /leave HTTP/1.1\r\nhost: x\r\n\r\n", "200", "busy 1");
    assert_true(ended(asking));
    asked(open, "GET /last HTTP/1.1\r\nhost: x\r\n\r\n", "200", "onnection: close");
    assert_true(ended(open));
    const int fresh = dial(stage->first);
    asked(fresh, "GET /fresh HTTP/1.1\r\nhost: x\r\n\r\n", "200", "onnection: close");
    assert_true(ended(fresh));
    close(open);
    close(asking);
    close(fresh);
}

/* Guards against: connections were taken without a bound until the process had no descriptors left, for its peers and
 * files neither. */
static void crowded(Stage *stage)
{
    const int one = dial(stage->first), other = dial(stage->first);
    asked(one, "GET /one HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /one");
    asked(other, "GET /other HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /other");
    const int served = stage->served;
    /* those that ask nothing are closed beyond one more than the bound, and keep nobody else from asking */
    int idle[20], closed = 0;
    for (size_t i = 0; i < sizeof(idle) / sizeof(idle[0]); i++)
        idle[i] = dial(stage->first);
    for (size_t i = 1; i < sizeof(idle) / sizeof(idle[0]); i++)
        closed += ended(idle[i]);
    assert_int_equal(closed, 19);
    asked(one, "GET /between HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /between");
    asked(idle[0], "GET /idle HTTP/1.1\r\nhost: x\r\n\r\n", "503", "etry-after: ");
    assert_true(ended(idle[0]));
    for (size_t i = 0; i < sizeof(idle) / sizeof(idle[0]); i++)
        close(idle[i]);
    const int third = dial(stage->first);
    asked(third, "GET /third HTTP/1.1\r\nhost: x\r\n\r\n", "503", "etry-after: ");
    assert_true(ended(third));
    close(third);
    assert_int_equal(stage->served, served + 1); /* it was certainly not taken */
    asked(one, "GET /again HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /again");
    close(one);
    close(other);
}

/* SIGHUP, again and again, ends nothing. */
static void hups(Stage *stage)
{
    const int fd = dial(stage->first);
    for (int i = 1; i <= 3; i++) {
        asked(fd, "GET /up HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/up"); /* the loop runs */
        kill(getpid(), SIGHUP);
        while (stage->hups < i)
            asked(fd, "GET /up HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/up");
    }
    close(fd);
}

static void test_hups(void **state)
{
    (void)state;
    play(hups, (HttpLimits){0});
}

static void test_two_addresses(void **state)
{
    (void)state;
    play(two_addresses, (HttpLimits){0});
}

static void test_pipelined(void **state)
{
    (void)state;
    play(pipelined, (HttpLimits){0});
}

static void test_broken(void **state)
{
    (void)state;
    play(broken, (HttpLimits){0});
}

static void test_too_large(void **state)
{
    (void)state;
    play(too_large, (HttpLimits){.head_bytes = 2000, .body_bytes = 1000});
}

static void test_patience(void **state)
{
    (void)state;
    play(patience, (HttpLimits){.head_ms = 50, .idle_ms = 100});
}

static void test_slow_body(void **state)
{
    (void)state;
    play(slow_body, (HttpLimits){.head_ms = 50});
}

static void test_callers(void **state)
{
    (void)state;
    play(callers, (HttpLimits){0});
}

static void test_leaving(void **state)
{
    (void)state;
    play(leaving, (HttpLimits){0});
}

static void test_crowded(void **state)
{
    (void)state;
    play(crowded, (HttpLimits){.connections = 2});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_two_addresses), cmocka_unit_test(test_pipelined), cmocka_unit_test(test_broken),
        cmocka_unit_test(test_too_large),     cmocka_unit_test(test_patience),  cmocka_unit_test(test_callers),
        cmocka_unit_test(test_leaving),       cmocka_unit_test(test_hups),      cmocka_unit_test(test_slow_body),
        cmocka_unit_test(test_crowded),
    };
    const int failed = cmocka_run_group_tests(tests, NULL, NULL);
    fflush(NULL);
    _exit(failed); /* a real loop lives as long as its process: what it leaves is no leak */
}
