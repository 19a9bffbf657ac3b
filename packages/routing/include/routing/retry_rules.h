#ifndef ROUTING_RETRY_RULES_H
#define ROUTING_RETRY_RULES_H

#include <stdbool.h>
#include <stddef.h>

/* The retry table: which requests an entry point may send again when the answer to an earlier attempt was lost, and
 * why each of them is idempotent. A request that matches no row is sent once. Used by the forwarder. */

/* Whether, and on what ground, a request may be sent again. */
typedef enum RetryPolicy {
    RETRY_NEVER,         /* not idempotent: if the answer is lost, the caller gets 504 immediately */
    RETRY_READ_ONLY,     /* the request changes nothing */
    RETRY_BY_REQUEST_ID, /* the request identifies what it changes: the leader recognises a copy */
    RETRY_BY_STAMP       /* the entry point adds a request id and a base stamp: the leader recognises a copy or a stale
                            request */
} RetryPolicy;

/* A row of the table; a request must match all of its fields. */
typedef struct RetryRule {
    const char *method;
    const char *path;         /* "*" matches one path segment, "**" at the end any rest */
    const char *required_key; /* a key that the query string must contain; null: none */
    RetryPolicy policy;
    const char *reason; /* why such a request is idempotent */
} RetryRule;

/* The table, in static storage; *count is set to the number of rows. For tests. */
const RetryRule *retry_rules(size_t *count);
/* Looks up a request in the table; RETRY_NEVER if no row matches. query may be null. */
RetryPolicy retry_policy_of(const char *method, const char *path, const char *query);

#endif
