#ifndef CONFIG_TEST_FIXTURE_H
#define CONFIG_TEST_FIXTURE_H

/* Reading documents in tests. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "config/config.h"

/* The text read as version 1, on mem; the test fails at its first fault. */
static inline const Config *read_good(void *mem, const char *text)
{
    Faults *faults = faults_make(mem);
    const Config *config = config_read(mem, text, strlen(text), 1, faults);
    if (config == NULL)
        fail_msg("%s: %s", faults->list[0].path, faults->list[0].text);
    return config;
}

#endif
