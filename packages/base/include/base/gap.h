#ifndef BASE_GAP_H
#define BASE_GAP_H

/* How long a peer usually takes until its next message: a smoothed mean and deviation, as TCP's retransmission timer
 * keeps them (Jacobson, RFC 6298). Used to suspect a peer soon without a fixed time-out. Nothing here waits. */

#include <stdbool.h>
#include <stdint.h>

/* All zero: nothing has been observed. */
typedef struct Gap {
    int64_t mean_us, deviation_us;
    uint64_t count; /* gaps observed */
} Gap;

/* Takes an observed gap. */
void gap_take(Gap *gap, int64_t gap_ms);
/* A gap longer than this, in ms, is a reason for suspicion: within least_ms and most_ms; most_ms while too few have
 * been observed. */
int64_t gap_limit_ms(const Gap *gap, int64_t least_ms, int64_t most_ms);

#endif
