/* Linked into every test program: which of its cases run.
 *
 *     test-NAME                 all
 *     test-NAME --only A,B      these; one that is not there is a failure
 *     test-NAME --but A,B       all others
 *
 * So that a long program is many tests for ctest, which runs them side by side.
 * The linker puts this in the place of cmocka's runner of groups. */
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

typedef int (*Fixture)(void **state);

int __real__cmocka_run_group_tests(const char *group, const struct CMUnitTest *tests, size_t count, Fixture setup,
                                   Fixture teardown);
int __wrap__cmocka_run_group_tests(const char *group, const struct CMUnitTest *tests, size_t count, Fixture setup,
                                   Fixture teardown);

/* The arguments as the kernel keeps them: main of a test program takes none. */
static size_t arguments(char *text, size_t size)
{
    FILE *file = fopen("/proc/self/cmdline", "r");
    const size_t got = file != NULL ? fread(text, 1, size - 1, file) : 0;
    text[got] = '\0';
    if (file != NULL)
        fclose(file);
    return got;
}

/* Whether name is one of the list's, which are parted by commas. */
static bool listed(const char *list, const char *name)
{
    const size_t length = strlen(name);
    for (const char *at = list; (at = strstr(at, name)) != NULL; at += length)
        if ((at == list || at[-1] == ',') && (at[length] == '\0' || at[length] == ','))
            return true;
    return false;
}

int __wrap__cmocka_run_group_tests(const char *group, const struct CMUnitTest *tests, size_t count, Fixture setup,
                                   Fixture teardown)
{
    char text[16384];
    const size_t got = arguments(text, sizeof(text));
    const char *flag = text + strlen(text) + 1;
    if (flag >= text + got)
        return __real__cmocka_run_group_tests(group, tests, count, setup, teardown);
    const char *list = flag + strlen(flag) + 1;
    const bool only = strcmp(flag, "--only") == 0;
    if (list >= text + got || (!only && strcmp(flag, "--but") != 0)) {
        fprintf(stderr, "usage: %s [--only CASE,CASE | --but CASE,CASE]\n", text);
        return 2;
    }
    struct CMUnitTest *chosen = calloc(count + 1, sizeof(*chosen));
    size_t chosen_count = 0, wanted = 1;
    for (size_t i = 0; chosen != NULL && i < count; i++)
        if (listed(list, tests[i].name) == only)
            chosen[chosen_count++] = tests[i];
    for (const char *at = list; (at = strchr(at, ',')) != NULL; at++)
        wanted++;
    int code = 0;
    if (chosen == NULL || (only && chosen_count != wanted)) {
        fprintf(stderr, "%s: not all of %s are there\n", group, list);
        code = 2;
    } else if (chosen_count > 0) {
        code = __real__cmocka_run_group_tests(group, chosen, chosen_count, setup, teardown);
    }
    free(chosen);
    return code;
}
