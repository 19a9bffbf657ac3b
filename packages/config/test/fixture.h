#ifndef CONFIG_TEST_FIXTURE_H
#define CONFIG_TEST_FIXTURE_H

/* Helper of the tests that read documents. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "config/config.h"

/* Returns the text read as version 1, owned by mem. Fails the test with the first fault if there is any. */
static inline const Config *read_good(void *mem, const char *text)
{
    Faults *faults = fault_list_new(mem);
    const Config *config = config_read(mem, text, strlen(text), 1, faults);
    if (config == NULL)
        fail_msg("%s: %s", faults->list[0].path, faults->list[0].text);
    return config;
}

#endif
