/* The usual time from an answer to a peer's next question, and the time after which that is late. */
#include "base/arrivals.h"

#define GAPS_LEAST 8     /* count; fewer say nothing */
#define MEAN_PART 8      /* RFC 6298: a new gap counts for one part in 8 of the mean ... */
#define DEVIATION_PART 4 /* ... and one in 4 of the deviation; ... */
#define DEVIATIONS 4     /* ... the limit is so many deviations above the mean */
#define US_PER_MS 1000

static void gap_take(Arrivals *arrivals, int64_t gap_ms)
{
    const int64_t gap_us = gap_ms > 0 ? gap_ms * US_PER_MS : 0;
    const int64_t off_us = gap_us - arrivals->mean_us;
    if (arrivals->count++ == 0) {
        arrivals->mean_us = gap_us;
        arrivals->deviation_us = gap_us / 2;
        return;
    }
    arrivals->deviation_us += ((off_us < 0 ? -off_us : off_us) - arrivals->deviation_us) / DEVIATION_PART;
    arrivals->mean_us += off_us / MEAN_PART;
}

void arrivals_asked(Arrivals *arrivals, int64_t now_ms)
{
    if (arrivals->pending++ == 0 && arrivals->answered_ms != 0)
        gap_take(arrivals, now_ms - arrivals->answered_ms);
}

void arrivals_answered(Arrivals *arrivals, int64_t now_ms)
{
    if (arrivals->pending > 0) /* 0: it was asked before all was forgotten */
        arrivals->pending--;
    arrivals->answered_ms = now_ms;
}

/* The longest gap that is usual. */
static int64_t limit_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms)
{
    if (arrivals->count < GAPS_LEAST)
        return most_ms;
    const int64_t usual_ms = (arrivals->mean_us + DEVIATIONS * arrivals->deviation_us) / US_PER_MS;
    if (usual_ms < least_ms)
        return least_ms;
    return usual_ms < most_ms ? usual_ms : most_ms;
}

int64_t arrivals_late_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms)
{
    if (arrivals->pending > 0 || arrivals->answered_ms == 0)
        return INT64_MAX;
    return arrivals->answered_ms + limit_ms(arrivals, least_ms, most_ms);
}
