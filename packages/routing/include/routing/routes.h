#ifndef ROUTING_ROUTES_H
#define ROUTING_ROUTES_H

#include <stdbool.h>
#include <stddef.h>

/* The retry table: which requests an entry point may send again when the answer of an
 * earlier attempt was lost, and why each of them is idempotent. It is said nowhere else. A
 * request that fits no row is sent once. */
typedef enum Repeat {
    REPEAT_NEVER,  /* not idempotent: a lost answer is a 504 at once */
    REPEAT_READ,   /* it changes nothing */
    REPEAT_NAMED,  /* the request itself names what it changes: the leader recognises a copy */
    REPEAT_ORDERED /* the entry point adds a request id and a base: the leader recognises a copy, or that it is stale */
} Repeat;

typedef struct ForwardRoute {
    const char *method;
    const char *path;   /* "*" stands for one part, "**" at the end for any rest */
    const char *needed; /* a key that the query must have, else the row does not apply; null: none */
    Repeat repeat;
    const char *reason; /* why it is idempotent */
} ForwardRoute;

/* The table, static; *count is its rows. For the page that lists them and for tests. */
const ForwardRoute *forward_routes(size_t *count);
/* What holds for a request; a null query is an empty one. */
Repeat forward_repeat(const char *method, const char *path, const char *query);

#endif
