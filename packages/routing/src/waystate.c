#include "waystate.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "hop.h"
#include "outcome.h"

WaysState ways_state(const Ways *ways)
{
    if (ways->lost_ms != INT64_MAX)
        return WAYS_LOST;
    return ways->at == 0 ? WAYS_DIRECT : WAYS_RELAYED;
}

void ways_move_on(Ways *ways)
{
    ways->turn++;
    signal_raise(ways->loop, &ways->moved);
}

void ways_enter_hop(Ways *ways, size_t at)
{
    ways->at = at;
    ways->lost_ms = INT64_MAX;
    ways_move_on(ways);
}

void ways_enter_lost(Ways *ways)
{
    ways->lost_ms = loop_now_ms(ways->loop);
    ways_move_on(ways);
}

void ways_miss(Ways *ways)
{
    if (ways->missed_ms == INT64_MAX)
        ways->missed_ms = loop_now_ms(ways->loop);
}

bool ways_own_lead(const Ways *ways)
{
    return ways->leads != NULL && ways->leads(ways->arg);
}

/* Whether requests may be relayed by this member. */
static bool relays(const Ways *ways, const Member *row)
{
    const char *leader = members_leader_address(ways->members);
    const MemberRecord *self = members_self(ways->members);
    return row->record.role == ROLE_CONTROLLER && !row->record.leaving &&
           (leader == NULL || strcmp(row->record.address, leader) != 0) && strcmp(row->record.id, self->id) != 0 &&
           !member_quiet(row, loop_now_ms(ways->loop));
}

static bool leader_hop(const Ways *ways, WaysTaken *taken)
{
    const char *leader = members_leader_address(ways->members);
    if (leader == NULL)
        return false;
    snprintf(taken->address, ADDRESS_MAX, "%s", leader);
    taken->peer = members_leader_peer(ways->members);
    return strcmp(leader, members_self(ways->members)->address) != 0;
}

bool way_at(const Ways *ways, size_t nth, WaysTaken *taken)
{
    *taken = (WaysTaken){.turn = ways->turn, .relay = nth > 0};
    if (nth == 0)
        return leader_hop(ways, taken);
    const MemberTable *table = members_table(ways->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!relays(ways, row) || --nth > 0)
            continue;
        snprintf(taken->address, ADDRESS_MAX, "%s", row->record.address);
        taken->peer = member_peer(&row->record);
        return true;
    }
    return false;
}

bool ways_take_hop(Ways *ways, WaysTaken *taken)
{
    if (ways_own_lead(ways)) {
        *taken = (WaysTaken){.turn = ways->turn, .own = true};
        return true;
    }
    if (ways_state(ways) != WAYS_LOST && way_at(ways, ways->at, taken))
        return true;
    /* the relay has gone, or this process has just lost the leadership */
    if (ways_state(ways) != WAYS_LOST)
        ways_enter_lost(ways);
    ways_miss(ways);
    return false;
}

bool ways_drop_hop(Ways *ways, const WaysTaken *taken)
{
    if (taken->own || !ways_current(ways, taken))
        return false;
    ways_miss(ways);
    ways_enter_lost(ways);
    return true;
}

Status ways_ping(Ways *ways, const WaysTaken *taken, int64_t wait_ms, bool *serves)
{
    void *mem = talloc_new(ways);
    const ForwardAsk ask = {
        .method = "GET", .path = "/readyz", .relay = taken->relay, .host = "", .wait_ms = (uint64_t)wait_ms};
    ForwardAnswer answer = {0};
    const Status status = hop_ask(ways->rpc, mem, taken, NULL, &ask, wait_ms, &answer);
    if (status == STATUS_OTHER_PEER || status == STATUS_OTHER_LIFE)
        members_meet(ways->members, taken->address);
    else if (status != STATUS_OK)
        ways_notified(ways, &answer);
    *serves = status == STATUS_OK && answer.code == GOOD_HTTP;
    talloc_free(mem);
    return status;
}

bool ways_alive(Ways *ways, const WaysTaken *taken)
{
    bool serves;
    const Status status = ways_ping(ways, taken, WAYS_PING_MS, &serves);
    if (status == STATUS_OK)
        ways_heard(ways, taken, serves);
    return status == STATUS_OK;
}

void ways_notified(Ways *ways, const ForwardAnswer *answer)
{
    if (answer->leader_term > members_leader_term(ways->members) && answer->leader_id != NULL &&
        answer->leader_id[0] != '\0')
        members_set_leader(ways->members, answer->leader_term, answer->leader_id);
}

bool ways_current(const Ways *ways, const WaysTaken *taken)
{
    return taken->own || taken->turn == ways->turn;
}

void ways_heard(Ways *ways, const WaysTaken *taken, bool serves)
{
    if (!ways_current(ways, taken))
        return;
    ways->heard_ms = loop_now_ms(ways->loop);
    if (serves) {
        ways->served_ms = ways->heard_ms;
        ways->missed_ms = INT64_MAX;
    } else {
        ways_miss(ways);
    }
}
