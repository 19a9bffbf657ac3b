/* A worker's lease at its agent, and the durations to be assumed by the grantor of a lease and to be delegated. */
#include "heartbeat/lease.h"

#include "base/constants.h"
#include "base/invariant.h"

#define WHOLE_PERCENT 100
/* The part of a duration that a slow clock measures, in percent. */
#define SLOW_CLOCK_PERCENT (WHOLE_PERCENT - CLOCK_SLOW_PERCENT)

bool lease_renewed(Lease *lease, uint64_t term, int64_t sent_ms, int64_t lease_ms)
{
    if (term < lease->term)
        return false;
    lease->term = term;
    if (sent_ms + lease_ms > lease->until_ms) /* answers may arrive out of order */
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
    const int64_t claim_ms = lease_ms + lease_ms * CLOCK_SLOW_PERCENT / SLOW_CLOCK_PERCENT + 1 + LEASE_SLACK_MS;
    INVARIANT(LEASE_CLAIM, lease_ms < 0 || claim_ms > lease_ms);
    return claim_ms;
}

int64_t lease_delegated_ms(int64_t lease_ms)
{
    const int64_t passed_ms = lease_ms * SLOW_CLOCK_PERCENT / WHOLE_PERCENT;
    INVARIANT(LEASE_CLAIM, lease_ms < 0 || passed_ms <= lease_ms);
    return passed_ms;
}
