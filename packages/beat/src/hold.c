#include "beat/hold.h"

#include "base/constants.h"

bool holdAnswered(Hold *hold, uint64_t epoch, int64_t sent_ms, int64_t holdMs)
{
    if (epoch < hold->epoch)
        return false;
    hold->epoch = epoch;
    if (sent_ms + holdMs > hold->until_ms)
        hold->until_ms = sent_ms + holdMs;
    return true;
}

bool holdRuns(const Hold *hold, int64_t now_ms)
{
    return now_ms < hold->until_ms;
}

int64_t hold_left_ms(const Hold *hold, int64_t now_ms)
{
    return now_ms < hold->until_ms ? hold->until_ms - now_ms : 0;
}

int64_t holdClaimMs(int64_t holdMs)
{
    return holdMs + holdMs * CLOCK_SLOW_PERCENT / (100 - CLOCK_SLOW_PERCENT) + 1 + HOLD_SLACK_MS;
}

int64_t holdPassedMs(int64_t holdMs)
{
    return holdMs * (100 - CLOCK_SLOW_PERCENT) / 100;
}
