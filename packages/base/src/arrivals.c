/* Estimates the usual time from a response to the peer's next request, and when that request is overdue. */
#include "base/arrivals.h"

#define GAPS_MIN 8          /* Fewer observed gaps allow no estimate */
#define MEAN_DIVISOR 8      /* RFC 6298: a new gap has a weight of 1/8 in the mean */
#define DEVIATION_DIVISOR 4 /* RFC 6298: a new gap has a weight of 1/4 in the deviation */
#define DEVIATION_FACTOR 4  /* RFC 6298: the limit is the mean plus 4 deviations */
#define US_PER_MS 1000

static void gap_observe(Arrivals *arrivals, int64_t gap_ms)
{
    const int64_t gap_us = gap_ms > 0 ? gap_ms * US_PER_MS : 0;
    const int64_t off_us = gap_us - arrivals->mean_us;
    if (arrivals->count++ == 0) {
        arrivals->mean_us = gap_us;
        arrivals->deviation_us = gap_us / 2;
        return;
    }
    arrivals->deviation_us += ((off_us < 0 ? -off_us : off_us) - arrivals->deviation_us) / DEVIATION_DIVISOR;
    arrivals->mean_us += off_us / MEAN_DIVISOR;
}

void arrivals_request(Arrivals *arrivals, int64_t now_ms)
{
    if (arrivals->pending++ == 0 && arrivals->answered_ms != 0)
        gap_observe(arrivals, now_ms - arrivals->answered_ms);
}

void arrivals_response(Arrivals *arrivals, int64_t now_ms)
{
    if (arrivals->pending > 0) /* 0 for a request from before the state was reset */
        arrivals->pending--;
    arrivals->answered_ms = now_ms;
}

/* Upper bound of the usual gap, in ms. */
static int64_t limit_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms)
{
    if (arrivals->count < GAPS_MIN)
        return most_ms;
    const int64_t usual_ms = (arrivals->mean_us + DEVIATION_FACTOR * arrivals->deviation_us) / US_PER_MS;
    if (usual_ms < least_ms)
        return least_ms;
    return usual_ms < most_ms ? usual_ms : most_ms;
}

int64_t arrivals_overdue_ms(const Arrivals *arrivals, int64_t least_ms, int64_t most_ms)
{
    if (arrivals->pending > 0 || arrivals->answered_ms == 0)
        return INT64_MAX;
    return arrivals->answered_ms + limit_ms(arrivals, least_ms, most_ms);
}
