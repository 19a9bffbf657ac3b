/* The state of the route to the leader and its transitions. */
#include "leader_route_state.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "hop.h"
#include "outcome.h"

LeaderRouteState leader_route_state(const LeaderRoute *leader_route)
{
    if (leader_route->lost_ms != INT64_MAX)
        return LEADER_ROUTE_LOST;
    return leader_route->at == 0 ? LEADER_ROUTE_DIRECT : LEADER_ROUTE_RELAYED;
}

void leader_route_move_on(LeaderRoute *leader_route)
{
    leader_route->generation++;
    signal_raise(leader_route->loop, &leader_route->moved);
}

/* A route is found again: how long that took is expected of the next loss, half by it and half by those before. */
static void outage_take(LeaderRoute *leader_route)
{
    if (leader_route->lost_ms == INT64_MAX || leader_route->served_ms == INT64_MIN)
        return;
    const int64_t took_ms = loop_now_ms(leader_route->loop) - leader_route->lost_ms;
    leader_route->outage_ms = (leader_route->outage_ms + (took_ms < ELECTION_MS ? took_ms : ELECTION_MS)) / 2;
}

void leader_route_enter_hop(LeaderRoute *leader_route, size_t at)
{
    outage_take(leader_route);
    leader_route->at = at;
    leader_route->lost_ms = INT64_MAX;
    leader_route_move_on(leader_route);
}

void leader_route_enter_lost(LeaderRoute *leader_route)
{
    leader_route->lost_ms = loop_now_ms(leader_route->loop);
    leader_route_move_on(leader_route);
}

void leader_route_miss(LeaderRoute *leader_route)
{
    if (leader_route->missed_ms == INT64_MAX)
        leader_route->missed_ms = loop_now_ms(leader_route->loop);
}

bool leader_route_own_lead(const LeaderRoute *leader_route)
{
    return leader_route->leads != NULL && leader_route->leads(leader_route->arg);
}

/* Whether requests may be relayed by this member. */
static bool relays(const LeaderRoute *leader_route, const Member *row)
{
    const char *leader = members_leader_address(leader_route->members);
    const MemberRecord *self = members_self(leader_route->members);
    return row->record.role == ROLE_CONTROLLER && !row->record.leaving &&
           (leader == NULL || strcmp(row->record.address, leader) != 0) && strcmp(row->record.id, self->id) != 0 &&
           !member_quiet(row, loop_now_ms(leader_route->loop));
}

static bool leader_hop(const LeaderRoute *leader_route, LeaderHop *taken)
{
    const char *leader = members_leader_address(leader_route->members);
    if (leader == NULL)
        return false;
    snprintf(taken->address, ADDRESS_MAX, "%s", leader);
    taken->peer = members_leader_peer(leader_route->members);
    return strcmp(leader, members_self(leader_route->members)->address) != 0;
}

bool leader_route_hop(const LeaderRoute *leader_route, size_t nth, LeaderHop *taken)
{
    *taken = (LeaderHop){.generation = leader_route->generation, .relay = nth > 0};
    if (nth == 0)
        return leader_hop(leader_route, taken);
    const MemberTable *table = members_table(leader_route->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!relays(leader_route, row) || --nth > 0)
            continue;
        snprintf(taken->address, ADDRESS_MAX, "%s", row->record.address);
        taken->peer = member_peer(&row->record);
        return true;
    }
    return false;
}

bool leader_route_take_hop(LeaderRoute *leader_route, LeaderHop *taken)
{
    if (leader_route_own_lead(leader_route)) {
        *taken = (LeaderHop){.generation = leader_route->generation, .own = true};
        return true;
    }
    if (leader_route_state(leader_route) != LEADER_ROUTE_LOST &&
        leader_route_hop(leader_route, leader_route->at, taken))
        return true;
    /* the relay has gone, or this process has just lost the leadership */
    if (leader_route_state(leader_route) != LEADER_ROUTE_LOST)
        leader_route_enter_lost(leader_route);
    leader_route_miss(leader_route);
    return false;
}

bool leader_route_drop_hop(LeaderRoute *leader_route, const LeaderHop *taken)
{
    if (taken->own || !leader_route_current(leader_route, taken))
        return false;
    leader_route_miss(leader_route);
    leader_route_enter_lost(leader_route);
    return true;
}

Status leader_route_ping(LeaderRoute *leader_route, const LeaderHop *taken, int64_t wait_ms, bool *serves)
{
    void *mem = talloc_new(leader_route);
    const ForwardAsk ask = {
        .method = "GET", .path = "/readyz", .relay = taken->relay, .host = "", .wait_ms = (uint64_t)wait_ms};
    ForwardAnswer answer = {0};
    const Status status = hop_ask(leader_route->rpc, mem, taken, NULL, &ask, wait_ms, &answer);
    if (status == STATUS_OTHER_PEER || status == STATUS_OTHER_LIFE)
        members_meet(leader_route->members, taken->address);
    else if (status != STATUS_OK)
        leader_route_learn(leader_route, &answer);
    *serves = status == STATUS_OK && answer.code == GOOD_HTTP;
    talloc_free(mem);
    return status;
}

bool leader_route_alive(LeaderRoute *leader_route, const LeaderHop *taken)
{
    bool serves;
    const Status status = leader_route_ping(leader_route, taken, LEADER_ROUTE_PING_MS, &serves);
    if (status == STATUS_OK)
        leader_route_heard(leader_route, taken, serves);
    return status == STATUS_OK;
}

void leader_route_learn(LeaderRoute *leader_route, const ForwardAnswer *answer)
{
    if (answer->leader_term > members_leader_term(leader_route->members) && answer->leader_id != NULL &&
        answer->leader_id[0] != '\0')
        members_set_leader(leader_route->members, answer->leader_term, answer->leader_id);
}

bool leader_route_current(const LeaderRoute *leader_route, const LeaderHop *taken)
{
    return taken->own || taken->generation == leader_route->generation;
}

void leader_route_heard(LeaderRoute *leader_route, const LeaderHop *taken, bool serves)
{
    if (!leader_route_current(leader_route, taken))
        return;
    leader_route->heard_ms = loop_now_ms(leader_route->loop);
    if (serves) {
        leader_route->served_ms = leader_route->heard_ms;
        leader_route->missed_ms = INT64_MAX;
    } else {
        leader_route_miss(leader_route);
    }
}
