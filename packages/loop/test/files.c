/* Tests of files on the real loop: appended and replaced content is read back, and so is the hint beside a file. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <ftw.h>
#include <talloc.h>
#include <unistd.h>

#include "loop/real.h"

typedef struct Fixture {
    Loop *loop;
    char directory[32];
    const char *path;
} Fixture;

static Bytes bytes_of(void *mem, const char *text)
{
    Bytes bytes = {0};
    bytes_add(mem, &bytes, text, strlen(text));
    return bytes;
}

static void must_be(Bytes bytes, const char *text)
{
    assert_int_equal(bytes.count, strlen(text));
    if (bytes.count > 0)
        assert_memory_equal(bytes.data, text, bytes.count);
}

static void must_read(Fixture *fixture, File *file, const char *content, const char *hint)
{
    Bytes bytes;
    assert_int_equal(file_read(file, fixture, &bytes), STATUS_OK);
    must_be(bytes, content);
    assert_int_equal(file_hint_read(file, fixture, &bytes), STATUS_OK);
    must_be(bytes, hint);
}

static void file_main(void *arg)
{
    Fixture *fixture = arg;
    File *file;
    assert_int_equal(file_open(fixture->loop, fixture, fixture->path, &file, NULL), STATUS_OK);
    must_read(fixture, file, "", "");
    assert_int_equal(file_append(file, bytes_of(fixture, "one")), STATUS_OK);
    assert_int_equal(file_append(file, bytes_of(fixture, "two")), STATUS_OK);
    assert_int_equal(file_hint_write(file, bytes_of(fixture, "a longer hint")), STATUS_OK);
    must_read(fixture, file, "onetwo", "a longer hint");
    assert_int_equal(file_replace(file, bytes_of(fixture, "three")), STATUS_OK);
    assert_int_equal(file_hint_write(file, bytes_of(fixture, "short")), STATUS_OK);
    assert_int_equal(file_append(file, bytes_of(fixture, "four")), STATUS_OK);
    must_read(fixture, file, "threefour", "short");
    const Bytes large = {talloc_zero_size(fixture, FILE_HINT_MAX_BYTES + 1), FILE_HINT_MAX_BYTES + 1, 0};
    assert_int_equal(file_hint_write(file, large), STATUS_DISK_FAILED);
    must_read(fixture, file, "threefour", "short");
    loop_stop(fixture->loop);
}

static int entry_remove(const char *path, const struct stat *status, int kind, struct FTW *place)
{
    (void)status;
    (void)kind;
    (void)place;
    return remove(path);
}

static void on_term(void *arg)
{
    loop_stop(((Fixture *)arg)->loop);
}

static void what_is_written_is_read(void **state)
{
    (void)state;
    Fixture *fixture = talloc_zero(NULL, Fixture);
    strcpy(fixture->directory, "/tmp/files-XXXXXX");
    assert_non_null(mkdtemp(fixture->directory));
    fixture->path = talloc_asprintf(fixture, "%s/data/file", fixture->directory);
    fixture->loop = real_loop_new(fixture);
    loop_spawn(fixture->loop, "file", file_main, fixture);
    real_loop_run(fixture->loop, on_term, fixture);
    nftw(fixture->directory, entry_remove, 8, FTW_DEPTH | FTW_PHYS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(what_is_written_is_read),
    };
    const int failed = cmocka_run_group_tests(tests, NULL, NULL);
    fflush(NULL);
    _exit(failed); /* a real loop lives as long as its process: memory that it still holds is no leak */
}
