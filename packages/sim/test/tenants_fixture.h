#ifndef SIM_TEST_TENANTS_FIXTURE_H
#define SIM_TEST_TENANTS_FIXTURE_H

/* Fixture of the tenant tests: a fleet whose queues are called with the keys of tenants. */
#include <string.h>

#include "config_fixture.h"

#define HOST "jobs.example"
#define ENTRY_POINTS 3
#define CONTROLLERS 3

/* The JSON member of a queue that gives it an entry path. */
#define ENTRY(prefix) "\"entry\":{\"host\":\"" HOST "\",\"prefix\":\"" prefix "\"}"

/* Tenant none, the first, without keys, and tenants one and two with a key each; queue q, which needs keys, and queue
 * open, which is public. */
static const char TENANTS_CONFIG[] =
    "{\"cells\":{\"c\":{\"strict\":false,"
    "\"tenants\":{\"none\":{},\"one\":{\"keys\":[\"key-1a\"],\"weight\":2},"
    "\"two\":{\"keys\":[\"key-2a\"]}},"
    "\"queues\":{\"q\":{" ENTRY("/q/") "},\"open\":{\"public\":true," ENTRY("/open/") "}}}}}";

/* A job that runs for run_ms. */
#define BODY(run_ms) \
    "{\"steps\":[{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":10},\"payload\":{\"runMs\":" #run_ms "}}]}"

/* A fleet with TENANTS_CONFIG; it has no talloc parent. */
static inline Fleet *tenants_begin(uint64_t seed)
{
    return case_configured(seed, (FleetShape){CONTROLLERS, ENTRY_POINTS, 6, MIX_TRENTVALE, 0}, TENANTS_CONFIG);
}

/* Sends one call under the key (null: none). Returns the HTTP code; 0: no answer. */
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

/* Submits a job at the entry point. Returns the HTTP code; 0: no answer. */
static inline int post(Fleet *fleet, int entry_point, const char *path, const char *key)
{
    return ask(fleet, FLEET_ENTRY_POINT, entry_point, "POST", path, key, BODY(2000));
}

#endif
