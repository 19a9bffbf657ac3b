#ifndef ROUTING_RETRY_RULES_H
#define ROUTING_RETRY_RULES_H

#include <stdbool.h>
#include <stddef.h>

/* The retry table: which requests an entry point may send again when the answer of an
 * earlier attempt was lost, and why each of them is idempotent. A request that fits no
 * row is sent once. Used by the forwarder. */
typedef enum Repeat {
    REPEAT_NEVER,  /* not idempotent: a lost answer is a 504 at once */
    REPEAT_READ,   /* it changes nothing */
    REPEAT_NAMED,  /* the request itself names what it changes: the leader recognises a copy */
    REPEAT_ORDERED /* the entry point adds a request id and a base: the leader recognises a copy, or that it is stale */
} Repeat;

typedef struct RetryRule {
    const char *method;
    const char *path;   /* "*" stands for one part, "**" at the end for any rest */
    const char *needed; /* a key that the query must have, else the row does not apply; null: none */
    Repeat repeat;
    const char *reason; /* why it is idempotent */
} RetryRule;

/* The table, static; *count: of its rows. For tests. */
const RetryRule *retry_rules(size_t *count);
/* The rule for a request; query may be null. */
Repeat retry_rule_of(const char *method, const char *path, const char *query);

#endif
