#ifndef BASE_ARRIVALS_H
#define BASE_ARRIVALS_H

/* How soon a peer that asks again after each answer usually does so: a smoothed mean and deviation, as TCP's
 * retransmission timer keeps them (Jacobson, RFC 6298). Used to suspect a silent peer soon, without a fixed time-out.
 * Times are ms on one steady clock, above 0. Nothing here waits. */

#include <stddef.h>
#include <stdint.h>

/* All zero: nothing has been observed.
 * Invariant: the peer owes a question exactly while pending is 0 and answered_ms is not. */
typedef struct Arrivals {
    size_t pending;      /* its questions that are not answered yet */
    int64_t answered_ms; /* when the last of them was answered; 0: none was */
    int64_t mean_us, deviation_us;
    uint64_t count; /* gaps observed, each from an answer to the next question */
} Arrivals;

/* A question of the peer has come, and waits for its answer from here on. */
void arrivals_asked(Arrivals *arrivals, int64_t now_ms);
/* A question has been answered, or given up: the peer asks again. */
void arrivals_answered(Arrivals *arrivals, int64_t now_ms);
/* When its next question is late: longer after the last answer than is usual, within least_ms and most_ms; most_ms
 * while too little has been observed. INT64_MAX: it owes none. */
int64_t arrivals_late_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms);

#endif
