#ifndef BEAT_HOLD_H
#define BEAT_HOLD_H

#include <stdbool.h>
#include <stdint.h>

/* An agent's claim to run work, on the agent's own clock.
 * Invariant: until_ms is the sending time of some answered beat plus the hold it
 * was answered with, so it lapses before the leader's count of it does. */
typedef struct Hold {
    uint64_t epoch; /* the highest seen; orders of older ones are refused */
    int64_t until_ms;
} Hold;

/* False: an answer of an older epoch, which counts for nothing. */
bool hold_answered(Hold *hold, uint64_t epoch, int64_t sent_ms, int64_t hold_ms);
bool hold_runs(const Hold *hold, int64_t now_ms);
int64_t hold_left_ms(const Hold *hold, int64_t now_ms);
/* How long whoever grants a hold must take it to run, by the own clock: the
 * holder's may be slow, and timers are coarse. */
int64_t hold_claim_ms(int64_t hold_ms);
/* What of a hold is passed on, so that it has ended on a slow clock when the whole
 * has on the own. */
int64_t hold_passed_ms(int64_t hold_ms);

#endif
