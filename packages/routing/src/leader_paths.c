/* The route as others use it: taking the next hop, giving it up, and following the leader. */
#include "routing/leader_paths.h"

#include <talloc.h>

#include "leader_path_search.h"

#define LEADER_PATHS_GRACE_MS \
    2000 /* ms; a leader lost so long ago is still expected to be followed by another at once */

LeaderPaths *leader_paths_new(void *mem, Loop *loop, Rpc *rpc, Members *members, LeaderPathsLeads leads,
                              const void *arg)
{
    LeaderPaths *leader_paths = talloc_zero(mem, LeaderPaths);
    *leader_paths = (LeaderPaths){.loop = loop,
                                  .rpc = rpc,
                                  .members = members,
                                  .leads = leads,
                                  .arg = arg,
                                  .lost_ms = loop_now_ms(loop),
                                  .heard_ms = INT64_MIN,
                                  .served_ms = INT64_MIN,
                                  .missed_ms = loop_now_ms(loop)};
    return leader_paths;
}

/* --- following the leader --------------------------------------------------------------- */

/* Another leader, or the first: it is reached directly until that fails. */
static void leader_new(LeaderPaths *leader_paths)
{
    if (members_leader_term(leader_paths->members) == leader_paths->term)
        return; /* also before any is known: whoever is met tells of the leader */
    leader_paths->term = members_leader_term(leader_paths->members);
    if (members_leader_address(leader_paths->members) != NULL) {
        leader_paths_enter_hop(leader_paths, 0);
        return;
    }
    leader_paths_miss(leader_paths);
    if (leader_paths_state(leader_paths) == LEADER_PATHS_LOST)
        leader_paths_move_on(leader_paths);
    else
        leader_paths_enter_lost(leader_paths);
    leader_paths_search(leader_paths); /* its address may become known later */
}

static void leader_main(void *arg)
{
    LeaderPaths *leader_paths = arg;
    while (!loop_stopping(leader_paths->loop)) {
        leader_new(leader_paths);
        signal_wait(leader_paths->loop, members_leader_signal(leader_paths->members), INT64_MAX);
    }
}

void leader_paths_start(LeaderPaths *leader_paths)
{
    loop_spawn(leader_paths->loop, "ways", leader_main, leader_paths);
}

/* --- in use ------------------------------------------------------------------------------ */

bool leader_paths_take(LeaderPaths *leader_paths, LeaderPathTaken *taken)
{
    if (leader_paths_take_hop(leader_paths, taken))
        return true;
    if (leader_paths->term != 0)
        leader_paths_search(leader_paths);
    return false;
}

void leader_paths_failed(LeaderPaths *leader_paths, const LeaderPathTaken *taken)
{
    if (leader_paths_drop_hop(leader_paths, taken))
        leader_paths_search(leader_paths);
}

Signal *leader_paths_moved(LeaderPaths *leader_paths)
{
    return &leader_paths->moved;
}

int64_t leader_paths_lost_ms(const LeaderPaths *leader_paths)
{
    return leader_paths_own_lead(leader_paths) ? INT64_MAX : leader_paths->lost_ms;
}

int64_t leader_paths_heard_ms(const LeaderPaths *leader_paths)
{
    return leader_paths->heard_ms;
}

bool leader_paths_serve(const LeaderPaths *leader_paths)
{
    return leader_paths->served_ms != INT64_MIN &&
           (leader_paths->missed_ms == INT64_MAX ||
            loop_now_ms(leader_paths->loop) - leader_paths->missed_ms <= LEADER_PATHS_GRACE_MS);
}
