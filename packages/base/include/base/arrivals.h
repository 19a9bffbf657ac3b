#ifndef BASE_ARRIVALS_H
#define BASE_ARRIVALS_H

/* Failure detector for a peer that sends a new request after each response. It keeps a smoothed mean and deviation of
 * the time from a response to the next request, as TCP's retransmission timer does (Jacobson, RFC 6298), so that a
 * silent peer is suspected early without a fixed timeout. Times are in ms on one monotonic clock, above 0. No function
 * here waits. */

#include <stddef.h>
#include <stdint.h>

/* Zeroed memory is the state before any observation.
 * Invariant: a request of the peer is expected exactly while pending is 0 and answered_ms is not 0. */
typedef struct Arrivals {
    size_t pending;                /* requests of the peer without a response yet */
    int64_t answered_ms;           /* time of the last response; 0: there was none */
    int64_t mean_us, deviation_us; /* of the observed gaps */
    uint64_t count;                /* observed gaps, each from a response to the next request */
} Arrivals;

/* Records a request of the peer, which is pending from now on. */
void arrivals_request(Arrivals *arrivals, int64_t now_ms);
/* Records the response to a request, or that the request was abandoned: the peer is expected to send another. */
void arrivals_response(Arrivals *arrivals, int64_t now_ms);
/* Returns the time from which the peer's next request is overdue: the last response plus the usual gap, which is
 * bounded by least_ms and most_ms; most_ms while there are too few observations. INT64_MAX: no request is expected. */
int64_t arrivals_overdue_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms);

#endif
