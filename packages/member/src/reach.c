/* Which members are quiet, and how many this process reaches. That number determines the quorum partition (the best
 * partition of XenServer's HA design): a leader that reaches far fewer members than another voter hands the lock over
 * (packages/replication). */
#include "base/constants.h"
#include "state.h"
#include "loop/loop.h"
#include "member/members.h"

bool member_quiet(const Member *member, int64_t now_ms)
{
    return now_ms - member->newest_record_ms > MEMBER_SILENT_MS;
}

size_t members_reach(const Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].last_answer_ms != INT64_MIN &&
            now_ms - members->table->rows[i].last_answer_ms < MEMBER_SILENT_MS)
            count++;
    return count;
}
