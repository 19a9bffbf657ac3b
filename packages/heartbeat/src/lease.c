#include "heartbeat/lease.h"

#include "base/constants.h"

bool lease_answered(Lease *lease, uint64_t term, int64_t sent_ms, int64_t lease_ms)
{
    if (term < lease->term)
        return false;
    lease->term = term;
    if (sent_ms + lease_ms > lease->until_ms)
        lease->until_ms = sent_ms + lease_ms;
    return true;
}

bool lease_runs(const Lease *lease, int64_t now_ms)
{
    return now_ms < lease->until_ms;
}

int64_t lease_left_ms(const Lease *lease, int64_t now_ms)
{
    return now_ms < lease->until_ms ? lease->until_ms - now_ms : 0;
}

int64_t lease_claim_ms(int64_t lease_ms)
{
    return lease_ms + lease_ms * CLOCK_SLOW_PERCENT / (100 - CLOCK_SLOW_PERCENT) + 1 + LEASE_SLACK_MS;
}

int64_t lease_passed_ms(int64_t lease_ms)
{
    return lease_ms * (100 - CLOCK_SLOW_PERCENT) / 100;
}
