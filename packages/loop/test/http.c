/* Tests of the real loop's HTTP server over loopback. A thread with plain sockets is the caller. */
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

#include "http_fixture.h"

/* --- scripts of the caller ------------------------------------------------------------- */

static void two_addresses(PeerFixture *fixture)
{
    const int first = connect_to(fixture->first), second = connect_to(fixture->second);
    must_respond(first, "GET /a/b?c=d HTTP/1.1\r\nHost: Jobs.Example:8080\r\nX-Kind: Some\r\n\r\n", "200",
                 "first GET /a/b?c=d host=jobs.example kind=Some body=0");
    must_respond(second, "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    /* the connections are reused */
    must_respond(second, "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    must_respond(first, "POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello", "200", "body=5");
    must_respond(first,
                 "POST /p HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
                 "200", "body=7");
    must_respond(first, "GET / HTTP/1.1\r\n\r\n", "200", "x-told: yes");
    close(first);
    close(second);
}

static void pipelined(PeerFixture *fixture)
{
    const int fd = connect_to(fixture->first);
    char text[4096];
    send_text(
        fd,
        "GET /1 HTTP/1.1\r\nhost: x\r\n\r\nPOST /2 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhiGET /3 HTTP/1.1\r\nhost: x\r\n\r\n");
    static const char *const WORDS[] = {"GET /1?", "POST /2?", "GET /3?"};
    for (int i = 0; i < 3; i++) {
        if (http_response(fd, text, sizeof(text)) == 0 || strstr(text, WORDS[i]) == NULL)
            fail_msg("%s instead of %s", text, WORDS[i]);
    }
    close(fd);
}

static void broken(PeerFixture *fixture)
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
        const int fd = connect_to(fixture->first);
        char text[4096];
        send_text(fd, ROWS[i]);
        shutdown(fd, SHUT_WR);
        if (http_response(fd, text, sizeof(text)) > 0 && strncmp(text, "HTTP/1.1 4", 10) != 0)
            fail_msg("row %zu got response %s", i, text);
        close(fd);
    }
    /* callers that disconnect after a part of the head or body */
    static const char *const HALVES[] = {"G", "GET / HT", "GET / HTTP/1.1\r\nhost: x\r\n",
                                         "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc"};
    const int before = fixture->served;
    for (size_t i = 0; i < sizeof(HALVES) / sizeof(HALVES[0]); i++) {
        const int fd = connect_to(fixture->first);
        send_text(fd, HALVES[i]);
        close(fd);
    }
    /* a head that arrives in two parts is served */
    const int fd = connect_to(fixture->first);
    send_text(fd, "GET /whole HT");
    must_respond(connect_to(fixture->second), "GET /a HTTP/1.1\r\nhost: x\r\n\r\n", "200", "second");
    must_respond(fd, "TP/1.1\r\nhost: x\r\n\r\n", "200", "/whole");
    assert_int_equal(fixture->served, before + 1);
    close(fd);
}

static void too_large(PeerFixture *fixture)
{
    char *head = talloc_strdup(NULL, "GET / HTTP/1.1\r\nhost: x\r\nx-long: ");
    for (int i = 0; i < 100; i++)
        head = talloc_strdup_append(head, "0123456789012345678901234567890123456789");
    head = talloc_strdup_append(head, "\r\n\r\n");
    int fd = connect_to(fixture->first);
    must_respond(fd, head, "431", "head-large");
    /* the connection stays usable */
    must_respond(fd, "GET /after HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/after");
    close(fd);
    fd = connect_to(fixture->first);
    must_respond(fd, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n", "413", "");
    close(fd);
    fd = connect_to(fixture->first);
    must_respond(fd, "GET /alive HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/alive");
    close(fd);
    talloc_free(head);
}

/* A connection with an incomplete head and one without a request are closed. */
static void timeouts(PeerFixture *fixture)
{
    const int half = connect_to(fixture->first), idle = connect_to(fixture->first);
    send_text(half, "GET / HT");
    must_respond(idle, "GET /once HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/once");
    assert_true(is_closed(idle));
    assert_true(is_closed(half));
    close(half);
    close(idle);
}

/* The timeout of a head does not apply to a body. */
static void slow_body(PeerFixture *fixture)
{
    const int body = connect_to(fixture->first), half = connect_to(fixture->first);
    send_text(body, "POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhe");
    send_text(half, "GET / HT");
    assert_true(is_closed(half));
    must_respond(body, "llo", "200", "body=5");
    close(body);
    close(half);
}

/* A caller's disconnection is detected, and a caller that reads slowly does not delay others. */
static void callers(PeerFixture *fixture)
{
    int fd = connect_to(fixture->first);
    send_text(fd, "GET /wait HTTP/1.1\r\nhost: x\r\n\r\n");
    close(fd);
    const int slow = connect_to(fixture->first), other = connect_to(fixture->first);
    send_text(slow, "GET /large HTTP/1.1\r\nhost: x\r\n\r\n");
    while (fixture->gone == 0)
        must_respond(other, "GET /meanwhile HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/meanwhile");
    static char bytes[65536];
    size_t count = 0, parts = 0;
    while (count < LARGE_BYTES) {
        const ssize_t got = recv(slow, bytes, sizeof(bytes), 0);
        assert_true(got > 0);
        count += (size_t)got;
        if (++parts % 16 == 0)
            must_respond(other, "GET /between HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/between");
    }
    close(slow);
    close(other);
}

/* During a graceful shutdown, connections are closed after their next response, not before. */
static void leaving(PeerFixture *fixture)
{
    const int open = connect_to(fixture->first), asking = connect_to(fixture->first);
    must_respond(open, "GET /open HTTP/1.1\r\nhost: x\r\n\r\n", "200", "keep-alive");
    must_respond(asking, "GET /leave HTTP/1.1\r\nhost: x\r\n\r\n", "200", "busy 1");
    assert_true(is_closed(asking));
    must_respond(open, "GET /last HTTP/1.1\r\nhost: x\r\n\r\n", "200", "onnection: close");
    assert_true(is_closed(open));
    const int fresh = connect_to(fixture->first);
    must_respond(fresh, "GET /fresh HTTP/1.1\r\nhost: x\r\n\r\n", "200", "onnection: close");
    assert_true(is_closed(fresh));
    close(open);
    close(asking);
    close(fresh);
}

/* Guards against accepting connections without a limit, which left the process without file descriptors for its peers
 * and files. */
static void crowded(PeerFixture *fixture)
{
    const int one = connect_to(fixture->first), other = connect_to(fixture->first);
    must_respond(one, "GET /one HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /one");
    must_respond(other, "GET /other HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /other");
    const int served = fixture->served;
    /* with the limit of 2, one more connection is kept and further idle ones are closed; other callers are served */
    int idle[20], closed = 0;
    for (size_t i = 0; i < sizeof(idle) / sizeof(idle[0]); i++)
        idle[i] = connect_to(fixture->first);
    for (size_t i = 1; i < sizeof(idle) / sizeof(idle[0]); i++)
        closed += is_closed(idle[i]);
    assert_int_equal(closed, 19);
    must_respond(one, "GET /between HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /between");
    must_respond(idle[0], "GET /idle HTTP/1.1\r\nhost: x\r\n\r\n", "503", "etry-after: ");
    assert_true(is_closed(idle[0]));
    for (size_t i = 0; i < sizeof(idle) / sizeof(idle[0]); i++)
        close(idle[i]);
    const int third = connect_to(fixture->first);
    must_respond(third, "GET /third HTTP/1.1\r\nhost: x\r\n\r\n", "503", "etry-after: ");
    assert_true(is_closed(third));
    close(third);
    assert_int_equal(fixture->served, served + 1); /* the refused request was not handled */
    must_respond(one, "GET /again HTTP/1.1\r\nhost: x\r\n\r\n", "200", "first GET /again");
    close(one);
    close(other);
}

/* Repeated SIGHUPs call the handler, and neither the loop nor a connection ends. */
static void hups(PeerFixture *fixture)
{
    const int fd = connect_to(fixture->first);
    for (int i = 1; i <= 3; i++) {
        must_respond(fd, "GET /up HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/up"); /* the loop is running */
        kill(getpid(), SIGHUP);
        while (fixture->hups < i)
            must_respond(fd, "GET /up HTTP/1.1\r\nhost: x\r\n\r\n", "200", "/up");
    }
    close(fd);
}

static void test_hups(void **state)
{
    (void)state;
    run_script(hups, (HttpLimits){0});
}

static void test_two_addresses(void **state)
{
    (void)state;
    run_script(two_addresses, (HttpLimits){0});
}

static void test_pipelined(void **state)
{
    (void)state;
    run_script(pipelined, (HttpLimits){0});
}

static void test_broken(void **state)
{
    (void)state;
    run_script(broken, (HttpLimits){0});
}

static void test_too_large(void **state)
{
    (void)state;
    run_script(too_large, (HttpLimits){.head_bytes = 2000, .body_bytes = 1000});
}

static void test_patience(void **state)
{
    (void)state;
    run_script(timeouts, (HttpLimits){.head_ms = 50, .idle_ms = 100});
}

static void test_slow_body(void **state)
{
    (void)state;
    run_script(slow_body, (HttpLimits){.head_ms = 50});
}

static void test_callers(void **state)
{
    (void)state;
    run_script(callers, (HttpLimits){0});
}

static void test_leaving(void **state)
{
    (void)state;
    run_script(leaving, (HttpLimits){0});
}

static void test_crowded(void **state)
{
    (void)state;
    run_script(crowded, (HttpLimits){.connections = 2});
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
    _exit(failed); /* a real loop lives as long as its process: memory that it still holds is no leak */
}
