/* The retry table: which requests are idempotent. Rows are tried in order; the first that fits holds. */
#include "routing/retry_rules.h"

#include <string.h>

#include "api/show.h"

static const RetryRule ROUTES[] = {
    {"GET", "/**", NULL, REPEAT_READ, "a read changes nothing"},
    {"POST", "/v1/queue/try", NULL, REPEAT_READ, "a policy is tried on what waits; nothing is changed"},
    {"POST", "/v1/jobs", NULL, REPEAT_NAMED, "the body carries the job's id: the same job is answered as it was"},
    {"DELETE", "/v1/jobs/*", NULL, REPEAT_NAMED, "the path carries the job's id: one that is cancelled stays so"},
    {"POST", "/v1/jobs/*/cancel", NULL, REPEAT_NAMED, "the path carries the job's id: one that is cancelled stays so"},
    {"POST", "/v1/entry/**", NULL, REPEAT_NAMED, "the path ends with the job's id: the same job is answered as it was"},
    {"DELETE", "/v1/entry/**", NULL, REPEAT_NAMED, "the path ends with the job's id: one that is cancelled stays so"},
    {"PUT", "/v1/config", "revision", REPEAT_NAMED, "base, revision and digest of the body: the same call is known"},
    {"PATCH", "/v1/config", "revision", REPEAT_NAMED, "base, revision and digest of the body: the same call is known"},
    {"POST", "/v1/zones/*/drain", NULL, REPEAT_ORDERED, "a name for the order, and the zone's stamp when it came in"},
    {"PUT", "/v1/zones/*/drain", NULL, REPEAT_ORDERED, "a name for the order, and the zone's stamp when it came in"},
    {"DELETE", "/v1/zones/*/drain", NULL, REPEAT_ORDERED, "a name for the order, and the zone's stamp when it came in"},
};

const RetryRule *retry_rules(size_t *count)
{
    *count = sizeof(ROUTES) / sizeof(ROUTES[0]);
    return ROUTES;
}

/* "*" takes one part of the path, "**" at the end takes any rest. */
static bool path_fits(const char *pattern, const char *path)
{
    while (*pattern != '\0') {
        if (strcmp(pattern, "**") == 0)
            return true;
        if (*pattern == '*') {
            const size_t length = strcspn(path, "/");
            if (length == 0)
                return false;
            path += length;
            pattern++;
        } else if (*pattern++ != *path++) {
            return false;
        }
    }
    return *path == '\0';
}

Repeat retry_rule_of(const char *method, const char *path, const char *query)
{
    for (size_t i = 0; i < sizeof(ROUTES) / sizeof(ROUTES[0]); i++) {
        const RetryRule *route = &ROUTES[i];
        if (strcmp(route->method, method) == 0 && path_fits(route->path, path) &&
            (route->needed == NULL || query_has(query, route->needed)))
            return route->repeat;
    }
    return REPEAT_NEVER;
}
