/* The usual time until a peer's next message, and the time after which it is suspected. */
#include "base/gap.h"

#define GAPS_LEAST 8     /* count; fewer say nothing */
#define MEAN_PART 8      /* RFC 6298: a new gap counts for one part in 8 of the mean ... */
#define DEVIATION_PART 4 /* ... and one in 4 of the deviation; ... */
#define DEVIATIONS 4     /* ... the limit is so many deviations above the mean */
#define US_PER_MS 1000

void gap_take(Gap *gap, int64_t gap_ms)
{
    const int64_t gap_us = gap_ms > 0 ? gap_ms * US_PER_MS : 0;
    const int64_t off_us = gap_us - gap->mean_us;
    if (gap->count++ == 0) {
        gap->mean_us = gap_us;
        gap->deviation_us = gap_us / 2;
        return;
    }
    gap->deviation_us += ((off_us < 0 ? -off_us : off_us) - gap->deviation_us) / DEVIATION_PART;
    gap->mean_us += off_us / MEAN_PART;
}

int64_t gap_limit_ms(const Gap *gap, int64_t least_ms, int64_t most_ms)
{
    if (gap->count < GAPS_LEAST)
        return most_ms;
    const int64_t limit_ms = (gap->mean_us + DEVIATIONS * gap->deviation_us) / US_PER_MS;
    if (limit_ms < least_ms)
        return least_ms;
    return limit_ms < most_ms ? limit_ms : most_ms;
}
