#ifndef ROUTING_SRC_OUTCOME_H
#define ROUTING_SRC_OUTCOME_H

#include "routing/messages.h"

/* What the end of one attempt says of the request: certainly not taken, possibly taken, or
 * answered by a leader. Pure functions; the retry rules of forwarding.c rest on them. */

/* The answer's HTTP codes that carry a meaning of their own here. */
#define GOOD_HTTP 200
#define NOT_TAKEN_HTTP 503 /* certainly not taken */
#define UNKNOWN_HTTP 504   /* it may have been taken */

/* Whether a failed attempt certainly changed nothing: it was not sent, or whoever was asked
 * refused it because it does not lead. Any other failure leaves the outcome open, also an
 * answer that can't be read. */
bool outcome_untaken(Status status);
/* Whether the one who answered had lost the leadership by then, so that the next leader is
 * to be asked. *maybe_taken is set, never cleared, when it may have taken the request first. */
bool outcome_leader_lost(const ForwardAnswer *answer, bool *maybe_taken);
/* Whether the answer comes from a leader that serves: it is neither in repair nor leaving. */
bool outcome_leader_serves(const ForwardAnswer *answer);

#endif
