#ifndef ROUTING_SRC_OUTCOME_H
#define ROUTING_SRC_OUTCOME_H

#include "routing/messages.h"

/* What the end of one attempt implies for the request: certainly not accepted, possibly accepted, or answered by a
 * leader. Pure functions, on which the retry logic of forwarding.c is based. */

/* HTTP status codes that the forwarder interprets. */
#define HTTP_OK 200
#define HTTP_NOT_ACCEPTED 503    /* the request was certainly not accepted */
#define HTTP_OUTCOME_UNKNOWN 504 /* the request may have been accepted */

/* Whether a failed attempt certainly changed nothing: the request was not sent, or was refused unprocessed. After any
 * other failure the outcome is unknown, also after an answer that cannot be decoded. */
bool outcome_not_accepted(Status status);
/* Whether the process that answered had lost the leadership, so that the request goes to the next leader.
 * *maybe_accepted is set if that process may have accepted the request before; it is never cleared. */
bool outcome_leader_lost(const ForwardAnswer *answer, bool *maybe_accepted);
/* Whether the answer comes from a leader that serves: one that is neither in repair nor leaving. */
bool outcome_leader_serves(const ForwardAnswer *answer);

#endif
