/* Linked into every test program: selects the test cases to run.
 *
 *     test-NAME                 run all cases
 *     test-NAME --only A,B      run these cases; a case that does not exist is an error
 *     test-NAME --but A,B       run all other cases
 *
 * With this, ctest can run the cases of a long program as separate tests in parallel.
 * The linker replaces cmocka's group runner with this one (--wrap). */
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

/* Reads the arguments of the program, a zero byte after each, from /proc, because main of a test program takes none.
 * Returns the number of bytes read. */
static size_t read_arguments(char *text, size_t size)
{
    FILE *file = fopen("/proc/self/cmdline", "r");
    const size_t got = file != NULL ? fread(text, 1, size - 1, file) : 0;
    text[got] = '\0';
    if (file != NULL)
        fclose(file);
    return got;
}

/* Returns whether the comma-separated list contains the name. */
static bool list_contains(const char *list, const char *name)
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
    const size_t got = read_arguments(text, sizeof(text));
    const char *option = text + strlen(text) + 1;
    if (option >= text + got)
        return __real__cmocka_run_group_tests(group, tests, count, setup, teardown);
    const char *list = option + strlen(option) + 1;
    const bool only = strcmp(option, "--only") == 0;
    if (list >= text + got || (!only && strcmp(option, "--but") != 0)) {
        fprintf(stderr, "usage: %s [--only CASE,CASE | --but CASE,CASE]\n", text);
        return 2;
    }
    struct CMUnitTest *chosen = calloc(count + 1, sizeof(*chosen));
    size_t chosen_count = 0, listed_count = 1;
    for (size_t i = 0; chosen != NULL && i < count; i++)
        if (list_contains(list, tests[i].name) == only)
            chosen[chosen_count++] = tests[i];
    for (const char *at = list; (at = strchr(at, ',')) != NULL; at++)
        listed_count++;
    int code = 0;
    if (chosen == NULL || (only && chosen_count != listed_count)) {
        fprintf(stderr, "%s: not all of the cases %s exist\n", group, list);
        code = 2;
    } else if (chosen_count > 0) {
        code = __real__cmocka_run_group_tests(group, chosen, chosen_count, setup, teardown);
    }
    free(chosen);
    return code;
}
