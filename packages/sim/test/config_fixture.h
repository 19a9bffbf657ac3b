#ifndef SIM_TEST_CONFIG_FIXTURE_H
#define SIM_TEST_CONFIG_FIXTURE_H

/* Fixture of the tests of configurations: a fleet, and numbers read from responses. */
#include <stdlib.h>
#include <string.h>

#include "fleet_fixture.h"

/* A fleet with three controllers, three entry points and four workers, with its configuration in force. */
static inline Fleet *begin(uint64_t seed)
{
    return case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
}

/* The number that follows the first occurrence of key in the response body; 0 when key does not occur. key is the JSON
 * key as written, with quotes and colon. Uses mem for a copy of the body. */
static inline uint64_t number_in(const HttpCall *call, void *mem, const char *key)
{
    const char *text = talloc_strndup(mem, (const char *)call->response_body.data, call->response_body.count);
    const char *at = text != NULL ? strstr(text, key) : NULL;
    return at != NULL ? strtoull(at + strlen(key), NULL, 10) : 0;
}

#endif
