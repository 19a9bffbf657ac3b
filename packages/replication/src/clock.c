/* The log's clock and the wall clock. The log's clock never falls below the latest time stamp in the log, and advances
 * only while a leader or follower runs; the wall clock is the median of the voters' wall clocks. */
#include "clock.h"
#include "state.h"

int64_t replication_clock_ms(const Replication *replication)
{
    return replication->clock_runs
               ? replication->clock_base_ms + (loop_now_ms(replication->loop) - replication->clock_at_ms)
               : replication->clock_base_ms;
}

void replication_clock_notify(Replication *replication, int64_t clock_ms)
{
    if (clock_ms > replication->clock_log_ms)
        replication->clock_log_ms = clock_ms;
    if (clock_ms > replication_clock_ms(replication) || !replication->clock_runs)
        replication_clock_set(replication, clock_ms);
}

void replication_clock_set(Replication *replication, int64_t clock_ms)
{
    replication->clock_base_ms = clock_ms > replication->clock_log_ms ? clock_ms : replication->clock_log_ms;
    replication->clock_at_ms = loop_now_ms(replication->loop);
    replication->clock_runs = true;
}

int64_t replication_wall_ms(const Replication *replication)
{
    return replication->wall_known ? loop_now_ms(replication->loop) + replication->wall_offset_ms
                                   : loop_wall_ms(replication->loop);
}

/* Stores the median of the voters' wall clocks as an offset to this loop's clock. Of an even number of clocks, the
 * lower of the two middle ones is used, so that timers never fire early. While some voters are silent, the previous
 * median is kept. */
void wall_clock_update(Replication *replication)
{
    int64_t offsets[VOTERS_MAX];
    int count = 0;
    const int64_t now_ms = loop_now_ms(replication->loop);
    offsets[count++] = loop_wall_ms(replication->loop) - now_ms;
    for (int i = 0; i < VOTERS_MAX; i++)
        if (replication->voters[i] != 0 && replication->voters[i] != replication->disk &&
            replication->peers[i].wall_at_ms != 0 && now_ms - replication->peers[i].wall_at_ms < LOCK_GRANT_MS)
            offsets[count++] = replication->peers[i].wall_ms - replication->peers[i].wall_at_ms;
    for (int i = 1; i < count; i++)
        for (int k = i; k > 0 && offsets[k] < offsets[k - 1]; k--) {
            const int64_t swap = offsets[k];
            offsets[k] = offsets[k - 1];
            offsets[k - 1] = swap;
        }
    if ((size_t)count == replication->voter_count || !replication->wall_known) {
        replication->wall_offset_ms = offsets[(count - 1) / 2];
        replication->wall_known = true;
    }
}
