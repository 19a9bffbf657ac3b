#ifndef SIM_TEST_TENANTS_FIXTURE_H
#define SIM_TEST_TENANTS_FIXTURE_H

/* A fleet whose queues are called by tenants' keys. */
#include <string.h>

#include "config_fixture.h"

#define HOST "jobs.example"
#define ENTRY_POINTS 3
#define CONTROLLERS 3

#define ENTRY(prefix) "\"entry\":{\"host\":\"" HOST "\",\"prefix\":\"" prefix "\"}"

/* Tenants one and two with a key each, and one that is not called by key, the first; a queue that needs keys, and one
 * that does not. */
static const char TENANTS_CONFIG[] =
    "{\"cells\":{\"c\":{\"strict\":false,"
    "\"tenants\":{\"none\":{},\"one\":{\"keys\":[\"key-1a\"],\"weight\":2},"
    "\"two\":{\"keys\":[\"key-2a\"]}},"
    "\"queues\":{\"q\":{" ENTRY("/q/") "},\"open\":{\"public\":true," ENTRY("/open/") "}}}}}";

#define BODY(run_ms) \
    "{\"steps\":[{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":" #run_ms "}}]}"

static inline Fleet *tenants_begin(uint64_t seed)
{
    return case_configured(seed, (FleetShape){CONTROLLERS, ENTRY_POINTS, 6, MIX_TRENTVALE, 0}, TENANTS_CONFIG);
}

/* key null: none. The code; 0: no answer. */
static inline int ask(Fleet *fleet, FleetRole role, int number, const char *method, const char *path, const char *key,
                      const char *body)
{
    void *mem = talloc_new(NULL);
    HttpHeader heads[2] = {{"host", HOST}};
    if (key != NULL)
        heads[1] = (HttpHeader){"authorization", talloc_asprintf(mem, "Bearer %s", key)};
    const int code =
        fleet_request_with_headers(fleet, mem, role, number, method, path, body, heads, key != NULL ? 2 : 1).code;
    talloc_free(mem);
    return code;
}

static inline int post(Fleet *fleet, int entry_point, const char *path, const char *key)
{
    return ask(fleet, FLEET_ENTRY_POINT, entry_point, "POST", path, key, BODY(2000));
}

#endif
