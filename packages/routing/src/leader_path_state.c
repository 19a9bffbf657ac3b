#include "leader_path_state.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "hop.h"
#include "outcome.h"

LeaderPathsState leader_paths_state(const LeaderPaths *leader_paths)
{
    if (leader_paths->lost_ms != INT64_MAX)
        return LEADER_PATHS_LOST;
    return leader_paths->at == 0 ? LEADER_PATHS_DIRECT : LEADER_PATHS_RELAYED;
}

void leader_paths_move_on(LeaderPaths *leader_paths)
{
    leader_paths->turn++;
    signal_raise(leader_paths->loop, &leader_paths->moved);
}

void leader_paths_enter_hop(LeaderPaths *leader_paths, size_t at)
{
    leader_paths->at = at;
    leader_paths->lost_ms = INT64_MAX;
    leader_paths_move_on(leader_paths);
}

void leader_paths_enter_lost(LeaderPaths *leader_paths)
{
    leader_paths->lost_ms = loop_now_ms(leader_paths->loop);
    leader_paths_move_on(leader_paths);
}

void leader_paths_miss(LeaderPaths *leader_paths)
{
    if (leader_paths->missed_ms == INT64_MAX)
        leader_paths->missed_ms = loop_now_ms(leader_paths->loop);
}

bool leader_paths_own_lead(const LeaderPaths *leader_paths)
{
    return leader_paths->leads != NULL && leader_paths->leads(leader_paths->arg);
}

/* Whether requests may be relayed by this member. */
static bool relays(const LeaderPaths *leader_paths, const Member *row)
{
    const char *leader = members_leader_address(leader_paths->members);
    const MemberRecord *self = members_self(leader_paths->members);
    return row->record.role == ROLE_CONTROLLER && !row->record.leaving &&
           (leader == NULL || strcmp(row->record.address, leader) != 0) && strcmp(row->record.id, self->id) != 0 &&
           !member_quiet(row, loop_now_ms(leader_paths->loop));
}

static bool leader_hop(const LeaderPaths *leader_paths, LeaderPathTaken *taken)
{
    const char *leader = members_leader_address(leader_paths->members);
    if (leader == NULL)
        return false;
    snprintf(taken->address, ADDRESS_MAX, "%s", leader);
    taken->peer = members_leader_peer(leader_paths->members);
    return strcmp(leader, members_self(leader_paths->members)->address) != 0;
}

bool leader_path_at(const LeaderPaths *leader_paths, size_t nth, LeaderPathTaken *taken)
{
    *taken = (LeaderPathTaken){.turn = leader_paths->turn, .relay = nth > 0};
    if (nth == 0)
        return leader_hop(leader_paths, taken);
    const MemberTable *table = members_table(leader_paths->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (!relays(leader_paths, row) || --nth > 0)
            continue;
        snprintf(taken->address, ADDRESS_MAX, "%s", row->record.address);
        taken->peer = member_peer(&row->record);
        return true;
    }
    return false;
}

bool leader_paths_take_hop(LeaderPaths *leader_paths, LeaderPathTaken *taken)
{
    if (leader_paths_own_lead(leader_paths)) {
        *taken = (LeaderPathTaken){.turn = leader_paths->turn, .own = true};
        return true;
    }
    if (leader_paths_state(leader_paths) != LEADER_PATHS_LOST && leader_path_at(leader_paths, leader_paths->at, taken))
        return true;
    /* the relay has gone, or this process has just lost the leadership */
    if (leader_paths_state(leader_paths) != LEADER_PATHS_LOST)
        leader_paths_enter_lost(leader_paths);
    leader_paths_miss(leader_paths);
    return false;
}

bool leader_paths_drop_hop(LeaderPaths *leader_paths, const LeaderPathTaken *taken)
{
    if (taken->own || !leader_paths_current(leader_paths, taken))
        return false;
    leader_paths_miss(leader_paths);
    leader_paths_enter_lost(leader_paths);
    return true;
}

Status leader_paths_ping(LeaderPaths *leader_paths, const LeaderPathTaken *taken, int64_t wait_ms, bool *serves)
{
    void *mem = talloc_new(leader_paths);
    const ForwardAsk ask = {
        .method = "GET", .path = "/readyz", .relay = taken->relay, .host = "", .wait_ms = (uint64_t)wait_ms};
    ForwardAnswer answer = {0};
    const Status status = hop_ask(leader_paths->rpc, mem, taken, NULL, &ask, wait_ms, &answer);
    if (status == STATUS_OTHER_PEER || status == STATUS_OTHER_LIFE)
        members_meet(leader_paths->members, taken->address);
    else if (status != STATUS_OK)
        leader_paths_notified(leader_paths, &answer);
    *serves = status == STATUS_OK && answer.code == GOOD_HTTP;
    talloc_free(mem);
    return status;
}

bool leader_paths_alive(LeaderPaths *leader_paths, const LeaderPathTaken *taken)
{
    bool serves;
    const Status status = leader_paths_ping(leader_paths, taken, LEADER_PATHS_PING_MS, &serves);
    if (status == STATUS_OK)
        leader_paths_heard(leader_paths, taken, serves);
    return status == STATUS_OK;
}

void leader_paths_notified(LeaderPaths *leader_paths, const ForwardAnswer *answer)
{
    if (answer->leader_term > members_leader_term(leader_paths->members) && answer->leader_id != NULL &&
        answer->leader_id[0] != '\0')
        members_set_leader(leader_paths->members, answer->leader_term, answer->leader_id);
}

bool leader_paths_current(const LeaderPaths *leader_paths, const LeaderPathTaken *taken)
{
    return taken->own || taken->turn == leader_paths->turn;
}

void leader_paths_heard(LeaderPaths *leader_paths, const LeaderPathTaken *taken, bool serves)
{
    if (!leader_paths_current(leader_paths, taken))
        return;
    leader_paths->heard_ms = loop_now_ms(leader_paths->loop);
    if (serves) {
        leader_paths->served_ms = leader_paths->heard_ms;
        leader_paths->missed_ms = INT64_MAX;
    } else {
        leader_paths_miss(leader_paths);
    }
}
