/* The retry table: which requests are idempotent. The first row that matches a request applies. */
#include "routing/retry_rules.h"

#include <string.h>

#include "api/show.h"

static const RetryRule RULES[] = {
    {"GET", "/**", NULL, RETRY_READ_ONLY, "a read changes nothing"},
    {"POST", "/v1/queue/try", NULL, RETRY_READ_ONLY, "a policy is evaluated on the ready queue; nothing is changed"},
    {"POST", "/v1/jobs", NULL, RETRY_BY_REQUEST_ID,
     "the body contains the job's id: the same job gets the same answer"},
    {"DELETE", "/v1/jobs/*", NULL, RETRY_BY_REQUEST_ID,
     "the path contains the job's id: a cancelled job stays cancelled"},
    {"POST", "/v1/jobs/*/cancel", NULL, RETRY_BY_REQUEST_ID,
     "the path contains the job's id: a cancelled job stays cancelled"},
    {"POST", "/v1/entry/**", NULL, RETRY_BY_REQUEST_ID,
     "the path ends with the job's id: the same job gets the same answer"},
    {"DELETE", "/v1/entry/**", NULL, RETRY_BY_REQUEST_ID,
     "the path ends with the job's id: a cancelled job stays cancelled"},
    {"PUT", "/v1/config", "revision", RETRY_BY_REQUEST_ID, "base, revision and digest of the body identify the call"},
    {"PATCH", "/v1/config", "revision", RETRY_BY_REQUEST_ID, "base, revision and digest of the body identify the call"},
    {"POST", "/v1/zones/*/drain", NULL, RETRY_BY_STAMP,
     "the order's id and the zone's stamp at its arrival identify the order"},
    {"PUT", "/v1/zones/*/drain", NULL, RETRY_BY_STAMP,
     "the order's id and the zone's stamp at its arrival identify the order"},
    {"DELETE", "/v1/zones/*/drain", NULL, RETRY_BY_STAMP,
     "the order's id and the zone's stamp at its arrival identify the order"},
};

const RetryRule *retry_rules(size_t *count)
{
    *count = sizeof(RULES) / sizeof(RULES[0]);
    return RULES;
}

/* Whether the path matches the pattern: "*" matches one path segment, "**" at the end any rest. */
static bool path_matches(const char *pattern, const char *path)
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

RetryPolicy retry_policy_of(const char *method, const char *path, const char *query)
{
    for (size_t i = 0; i < sizeof(RULES) / sizeof(RULES[0]); i++) {
        const RetryRule *rule = &RULES[i];
        if (strcmp(rule->method, method) == 0 && path_matches(rule->path, path) &&
            (rule->required_key == NULL || query_has(query, rule->required_key)))
            return rule->policy;
    }
    return RETRY_NEVER;
}
