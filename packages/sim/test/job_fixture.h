#ifndef SIM_TEST_JOB_FIXTURE_H
#define SIM_TEST_JOB_FIXTURE_H

/* Fixture of the tests of requests: a fleet, requests to its first entry point, and the JSON of jobs. */
#include <string.h>

#include "fleet_fixture.h"

/* A fleet with three controllers, three entry points and eleven workers, with its configuration in force. */
static inline Fleet *begin(void)
{
    return case_begin(11, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
}

/* Sends a request to the first entry point and returns the HTTP status. text, unless it is null, receives the response
 * body, which belongs to the fleet. */
static inline int ask(Fleet *fleet, const char *method, const char *path, const char *body, const char **text)
{
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, method, path, body);
    if (text != NULL)
        *text = (const char *)call.response_body.data;
    return call.code;
}

/* A job of one step that runs for 500 ms. more: further JSON members, each preceded by a comma. */
#define JOB(id, more)                                                                               \
    "{\"id\":\"" id "\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[" \
    "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":500}}]" more "}"
/* A job with the given steps. */
#define STEPS(id, steps) \
    "{\"id\":\"" id "\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[" steps "]}"
/* The JSON member of a step that asks for little: one CPU and 10 MB. */
#define RESOURCES "\"room\":{\"cpu\":1,\"memMb\":10}"

#endif
