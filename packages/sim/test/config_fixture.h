#ifndef SIM_TEST_CONFIG_FIXTURE_H
#define SIM_TEST_CONFIG_FIXTURE_H

/* What tests of configurations share. */
#include <stdlib.h>
#include <string.h>

#include "fleet_fixture.h"

static inline Fleet *begin(uint64_t seed)
{
    return case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
}

/* The number behind a key of a result; 0: it is not there. */
static inline uint64_t number_in(const HttpCall *call, void *mem, const char *key)
{
    const char *text = talloc_strndup(mem, (const char *)call->response_body.data, call->response_body.count);
    const char *at = text != NULL ? strstr(text, key) : NULL;
    return at != NULL ? strtoull(at + strlen(key), NULL, 10) : 0;
}

#endif
