/* The state of the route to the leader and its transitions. */
#include "leader_route_state.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "hop.h"
#include "outcome.h"

LeaderRouteState leader_route_state(const LeaderRoute *leader_route)
{
    if (leader_route->lost_since_ms != INT64_MAX)
        return LEADER_ROUTE_LOST;
    return leader_route->hop_index == 0 ? LEADER_ROUTE_DIRECT : LEADER_ROUTE_RELAYED;
}

void leader_route_begin_generation(LeaderRoute *leader_route)
{
    leader_route->generation++;
    signal_raise(leader_route->loop, &leader_route->changed);
}

/* Called when a next hop is found. Updates the expected duration of a loss: the mean of the duration of this loss (at
 * most ELECTION_MS) and the previous expectation. A loss before the first leader that served does not count. */
static void outage_record(LeaderRoute *leader_route)
{
    if (leader_route->lost_since_ms == INT64_MAX || leader_route->last_served_ms == INT64_MIN)
        return;
    const int64_t took_ms = loop_now_ms(leader_route->loop) - leader_route->lost_since_ms;
    leader_route->expected_outage_ms =
        (leader_route->expected_outage_ms + (took_ms < ELECTION_MS ? took_ms : ELECTION_MS)) / 2;
}

void leader_route_enter_hop(LeaderRoute *leader_route, size_t hop_index)
{
    outage_record(leader_route);
    leader_route->hop_index = hop_index;
    leader_route->lost_since_ms = INT64_MAX;
    leader_route_begin_generation(leader_route);
}

void leader_route_enter_lost(LeaderRoute *leader_route)
{
    leader_route->lost_since_ms = loop_now_ms(leader_route->loop);
    leader_route_begin_generation(leader_route);
}

void leader_route_record_not_serving(LeaderRoute *leader_route)
{
    if (leader_route->not_serving_since_ms == INT64_MAX)
        leader_route->not_serving_since_ms = loop_now_ms(leader_route->loop);
}

bool leader_route_self_leads(const LeaderRoute *leader_route)
{
    return leader_route->leads != NULL && leader_route->leads(leader_route->arg);
}

/* Whether the member can relay requests to the leader. */
static bool can_relay(const LeaderRoute *leader_route, const Member *row)
{
    const char *leader_address = members_leader_address(leader_route->members);
    const MemberRecord *self = members_self(leader_route->members);
    return row->record.role == ROLE_CONTROLLER && !row->record.leaving &&
           (leader_address == NULL || strcmp(row->record.address, leader_address) != 0) &&
           strcmp(row->record.id, self->id) != 0 && !member_quiet(row, loop_now_ms(leader_route->loop));
}

/* The leader itself as the next hop. False: its address is unknown, or it is this process. */
static bool leader_hop(const LeaderRoute *leader_route, LeaderHop *hop)
{
    const char *leader_address = members_leader_address(leader_route->members);
    if (leader_address == NULL)
        return false;
    snprintf(hop->address, ADDRESS_MAX, "%s", leader_address);
    hop->peer = members_leader_peer(leader_route->members);
    return strcmp(leader_address, members_self(leader_route->members)->address) != 0;
}

bool leader_route_hop(const LeaderRoute *leader_route, size_t nth, LeaderHop *hop)
{
    *hop = (LeaderHop){.generation = leader_route->generation, .relay = nth > 0};
    if (nth == 0)
        return leader_hop(leader_route, hop);
    const MemberTable *table = members_table(leader_route->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!can_relay(leader_route, row) || --nth > 0)
            continue;
        snprintf(hop->address, ADDRESS_MAX, "%s", row->record.address);
        hop->peer = member_peer(&row->record);
        return true;
    }
    return false;
}

bool leader_route_hop_in_use(LeaderRoute *leader_route, LeaderHop *hop)
{
    if (leader_route_self_leads(leader_route)) {
        *hop = (LeaderHop){.generation = leader_route->generation, .self = true};
        return true;
    }
    if (leader_route_state(leader_route) != LEADER_ROUTE_LOST &&
        leader_route_hop(leader_route, leader_route->hop_index, hop))
        return true;
    /* the relay has left, or this process has just lost the leadership */
    if (leader_route_state(leader_route) != LEADER_ROUTE_LOST)
        leader_route_enter_lost(leader_route);
    leader_route_record_not_serving(leader_route);
    return false;
}

bool leader_route_discard_hop(LeaderRoute *leader_route, const LeaderHop *hop)
{
    if (hop->self || !leader_route_is_current(leader_route, hop))
        return false;
    leader_route_record_not_serving(leader_route);
    leader_route_enter_lost(leader_route);
    return true;
}

Status leader_route_ping(LeaderRoute *leader_route, const LeaderHop *hop, int64_t wait_ms, bool *serves)
{
    void *mem = talloc_new(leader_route);
    const ForwardAsk ask = {
        .method = "GET", .path = "/readyz", .relay = hop->relay, .host = "", .wait_ms = (uint64_t)wait_ms};
    ForwardAnswer answer = {0};
    const Status status = hop_request(leader_route->rpc, mem, hop, NULL, &ask, wait_ms, &answer);
    if (status == STATUS_OTHER_PEER || status == STATUS_OTHER_INCARNATION)
        members_contact(leader_route->members, hop->address);
    else if (status != STATUS_OK)
        leader_route_learn_leader(leader_route, &answer);
    *serves = status == STATUS_OK && answer.code == HTTP_OK;
    talloc_free(mem);
    return status;
}

bool leader_route_check_hop(LeaderRoute *leader_route, const LeaderHop *hop)
{
    bool serves;
    const Status status = leader_route_ping(leader_route, hop, LEADER_ROUTE_PING_MS, &serves);
    if (status == STATUS_OK)
        leader_route_record_answer(leader_route, hop, serves);
    return status == STATUS_OK;
}

void leader_route_learn_leader(LeaderRoute *leader_route, const ForwardAnswer *answer)
{
    if (answer->leader_term > members_leader_term(leader_route->members) && answer->leader_id != NULL &&
        answer->leader_id[0] != '\0')
        members_set_leader(leader_route->members, answer->leader_term, answer->leader_id);
}

bool leader_route_is_current(const LeaderRoute *leader_route, const LeaderHop *hop)
{
    return hop->self || hop->generation == leader_route->generation;
}

void leader_route_record_answer(LeaderRoute *leader_route, const LeaderHop *hop, bool serves)
{
    if (!leader_route_is_current(leader_route, hop))
        return;
    leader_route->last_answer_ms = loop_now_ms(leader_route->loop);
    if (serves) {
        leader_route->last_served_ms = leader_route->last_answer_ms;
        leader_route->not_serving_since_ms = INT64_MAX;
    } else {
        leader_route_record_not_serving(leader_route);
    }
}
