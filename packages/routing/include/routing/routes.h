#ifndef ROUTING_ROUTES_H
#define ROUTING_ROUTES_H

#include <stdbool.h>
#include <stddef.h>

/* Which requests an entry point may forward again when the answer of an earlier
 * attempt was lost, and why that does no harm: the one place where this is said.
 * What stands in no row is sent once. */
typedef enum Repeat {
    REPEAT_NEVER,  /* a lost answer is a 504 at once */
    REPEAT_READ,   /* it changes nothing */
    REPEAT_NAMED,  /* the request itself names what it changes: the leader knows it again */
    REPEAT_ORDERED /* the entry point gives it a name and a base: the leader knows it again, or that it is overtaken */
} Repeat;

typedef struct ForwardRoute {
    const char *method;
    const char *path;   /* "*" stands for one part, "**" at the end for any rest */
    const char *needed; /* a key that the query must have, else the row does not apply; null: none */
    Repeat repeat;
    const char *reason;
} ForwardRoute;

const ForwardRoute *forward_routes(size_t *count);
/* What holds for a request. */
Repeat forward_repeat(const char *method, const char *path, const char *query);

#endif
