#ifndef SIM_TEST_JOB_FIXTURE_H
#define SIM_TEST_JOB_FIXTURE_H

/* What tests of requests share: a fleet, its first entry point, and the text of jobs. */
#include <string.h>

#include "fleet_fixture.h"

static inline Fleet *begin(void)
{
    return case_begin(11, (FleetShape){3, 3, 11, MIX_TRENTVALE, 0});
}

/* Asks the first entry point; text receives the result unless it is null. return: the HTTP status. */
static inline int ask(Fleet *fleet, const char *method, const char *path, const char *body, const char **text)
{
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, method, path, body);
    if (text != NULL)
        *text = (const char *)call.response_body.data;
    return call.code;
}

#define JOB(id, more)                                                                               \
    "{\"id\":\"" id "\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[" \
    "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":500}}]" more "}"
#define STEPS(id, steps) \
    "{\"id\":\"" id "\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":[" steps "]}"
#define RESOURCES "\"room\":{\"cpu\":1,\"memMb\":10}"

#endif
