#include "beat/hold.h"

#include "base/constants.h"

bool hold_answered(Hold *hold, uint64_t epoch, int64_t sent_ms, int64_t hold_ms)
{
    if (epoch < hold->epoch)
        return false;
    hold->epoch = epoch;
    if (sent_ms + hold_ms > hold->until_ms)
        hold->until_ms = sent_ms + hold_ms;
    return true;
}

bool hold_runs(const Hold *hold, int64_t now_ms)
{
    return now_ms < hold->until_ms;
}

int64_t hold_left_ms(const Hold *hold, int64_t now_ms)
{
    return now_ms < hold->until_ms ? hold->until_ms - now_ms : 0;
}

int64_t hold_claim_ms(int64_t hold_ms)
{
    return hold_ms + hold_ms * CLOCK_SLOW_PERCENT / (100 - CLOCK_SLOW_PERCENT) + 1 + HOLD_SLACK_MS;
}

int64_t hold_passed_ms(int64_t hold_ms)
{
    return hold_ms * (100 - CLOCK_SLOW_PERCENT) / 100;
}
