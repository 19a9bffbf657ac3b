#include "leader_path_search.h"

#define LEADER_PATHS_LOOK_MS 120       /* ms; while a route is searched for, the next hop is tried after this ... */
#define LEADER_PATHS_LOOK_LATER_MS 300 /* ms; ... and once none was found at once, after this */
#define LEADER_PATHS_SOON_MS 1000      /* ms; a leadership that is handed over is found again within this: ... */
#define LEADER_PATHS_SOON_REST_MS 25   /* ms; ... so long all hops are tried again after this back-off, */
#define LEADER_PATHS_REST_MS 150       /* ms; and later after this */
#define LEADER_PATHS_BACK_MS 5000      /* ms; a leader reached through a relay is tried directly this often */

/* Waits. Tries every hop once; true when one leads to the leader. */
static bool look_once(LeaderPaths *leader_paths)
{
    LeaderPathTaken taken;
    const bool later = loop_now_ms(leader_paths->loop) - leader_paths->lost_ms >= LEADER_PATHS_SOON_MS;
    for (size_t nth = 0;; nth++) {
        if (!leader_path_at(leader_paths, nth, &taken)) {
            if (nth == 0)
                continue; /* the leader is not known, or it was this process */
            return false;
        }
        const uint64_t turn = leader_paths->turn;
        bool serves;
        const Status status =
            leader_paths_ping(leader_paths, &taken, later ? LEADER_PATHS_LOOK_LATER_MS : LEADER_PATHS_LOOK_MS, &serves);
        if (leader_paths->turn != turn)
            return false; /* another leader was heard of meanwhile */
        if (status == STATUS_OK) {
            leader_paths_enter_hop(leader_paths, nth);
            leader_paths_heard(leader_paths, &(LeaderPathTaken){.turn = leader_paths->turn}, serves);
            return true;
        }
    }
}

/* Waits. Has the leader itself come within reach again? If not, is the relay still good? */
static void look_back(LeaderPaths *leader_paths)
{
    LeaderPathTaken taken;
    bool serves;
    const uint64_t turn = leader_paths->turn;
    if (leader_path_at(leader_paths, 0, &taken) &&
        leader_paths_ping(leader_paths, &taken, LEADER_PATHS_PING_MS, &serves) == STATUS_OK &&
        leader_paths->turn == turn)
        leader_paths_enter_hop(leader_paths, 0);
    else if (leader_paths_take_hop(leader_paths, &taken) && !leader_paths_alive(leader_paths, &taken))
        leader_paths_drop_hop(leader_paths, &taken);
}

static void look_main(void *arg)
{
    LeaderPaths *leader_paths = arg;
    while (!loop_stopping(leader_paths->loop) && leader_paths_state(leader_paths) != LEADER_PATHS_DIRECT) {
        if (leader_paths_state(leader_paths) == LEADER_PATHS_RELAYED) {
            signal_wait(leader_paths->loop, &leader_paths->moved,
                        loop_now_ms(leader_paths->loop) + LEADER_PATHS_BACK_MS);
            if (leader_paths_state(leader_paths) == LEADER_PATHS_RELAYED)
                look_back(leader_paths);
        } else if (!look_once(leader_paths) && leader_paths_state(leader_paths) == LEADER_PATHS_LOST) {
            const int64_t now_ms = loop_now_ms(leader_paths->loop);
            const bool soon = now_ms - leader_paths->lost_ms < LEADER_PATHS_SOON_MS;
            signal_wait(leader_paths->loop, &leader_paths->moved,
                        now_ms + (soon ? LEADER_PATHS_SOON_REST_MS : LEADER_PATHS_REST_MS));
        }
    }
    leader_paths->looking = false;
}

void leader_paths_search(LeaderPaths *leader_paths)
{
    if (leader_paths->looking)
        return;
    leader_paths->looking = true;
    loop_spawn(leader_paths->loop, "look", look_main, leader_paths);
}
