/* A violated invariant aborts the process in every build, before it continues with a wrong state, and is named in the
 * output. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>
#include <unistd.h>

#include "base/invariant.h"
#include "lock/lock.h"
#include "replication/log.h"

static sigjmp_buf aborted;

static void on_abort(int number)
{
    siglongjmp(aborted, number);
}

/* Runs the function, which must end in SIGABRT, on talloc memory that is freed afterwards. text receives what was
 * written to standard error meanwhile. */
static void must_abort(void (*run)(void *mem), char *text, size_t size)
{
    int pipe_fds[2];
    void *mem = talloc_new(NULL);
    assert_int_equal(pipe(pipe_fds), 0);
    const int saved = dup(STDERR_FILENO);
    dup2(pipe_fds[1], STDERR_FILENO);
    void (*const before)(int) = signal(SIGABRT, on_abort);
    if (sigsetjmp(aborted, 1) == 0) {
        run(mem);
        signal(SIGABRT, before);
        dup2(saved, STDERR_FILENO);
        fail_msg("the process did not abort");
    }
    signal(SIGABRT, before);
    talloc_free(mem);
    dup2(saved, STDERR_FILENO);
    const ssize_t count = read(pipe_fds[0], text, size - 1);
    text[count > 0 ? count : 0] = '\0';
    close(saved);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
}

static void promise_lower(void *mem)
{
    (void)mem;
    LockVoter voter = {.promised = 5, .holder = 1};
    lock_promise(&voter, 4, 1);
}

static void lower_promise_stops(void **state)
{
    (void)state;
    char text[256];
    must_abort(promise_lower, text, sizeof(text));
    assert_non_null(strstr(text, "invariant-broken promise-rises: "));
    assert_non_null(strstr(text, "lock.c:"));
}

static void entry_skip(void *mem)
{
    Log *log = log_new(mem);
    const Record entry = {.kind = RECORD_ENTRY, .term = 1, .index = 2, .name = ""};
    log_add(log, &entry);
}

static void skipped_entry_stops(void **state)
{
    (void)state;
    char text[256];
    must_abort(entry_skip, text, sizeof(text));
    assert_non_null(strstr(text, "invariant-broken log-order: "));
}

static void true_condition_goes_on(void **state)
{
    (void)state;
    INVARIANT(LOG_ORDER, 1 + 1 == 2);
    assert_string_equal(invariant_word(INVARIANT_LOG_ORDER), "log-order");
    assert_string_equal(invariant_word(INVARIANT_COUNT), "unlisted");
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lower_promise_stops),
        cmocka_unit_test(skipped_entry_stops),
        cmocka_unit_test(true_condition_goes_on),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
