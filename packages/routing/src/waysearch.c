#include "waysearch.h"

#define WAYS_LOOK_MS 120       /* ms; while a route is searched for, the next hop is tried after this ... */
#define WAYS_LOOK_LATER_MS 300 /* ms; ... and once none was found at once, after this */
#define WAYS_SOON_MS 1000      /* ms; a leadership that is handed over is found again within this: ... */
#define WAYS_SOON_REST_MS 25   /* ms; ... so long all hops are tried again after this back-off, */
#define WAYS_REST_MS 150       /* ms; and later after this */
#define WAYS_BACK_MS 5000      /* ms; a leader reached through a relay is tried directly this often */

/* Waits. Tries every hop once; true when one leads to the leader. */
static bool look_once(Ways *ways)
{
    WaysTaken taken;
    const bool later = loop_now_ms(ways->loop) - ways->lost_ms >= WAYS_SOON_MS;
    for (size_t nth = 0;; nth++) {
        if (!way_at(ways, nth, &taken)) {
            if (nth == 0)
                continue; /* the leader is not known, or it was this process */
            return false;
        }
        const uint64_t turn = ways->turn;
        bool serves;
        const Status status = ways_ping(ways, &taken, later ? WAYS_LOOK_LATER_MS : WAYS_LOOK_MS, &serves);
        if (ways->turn != turn)
            return false; /* another leader was heard of meanwhile */
        if (status == STATUS_OK) {
            ways_enter_hop(ways, nth);
            ways_heard(ways, &(WaysTaken){.turn = ways->turn}, serves);
            return true;
        }
    }
}

/* Waits. Has the leader itself come within reach again? If not, is the relay still good? */
static void look_back(Ways *ways)
{
    WaysTaken taken;
    bool serves;
    const uint64_t turn = ways->turn;
    if (way_at(ways, 0, &taken) && ways_ping(ways, &taken, WAYS_PING_MS, &serves) == STATUS_OK && ways->turn == turn)
        ways_enter_hop(ways, 0);
    else if (ways_take_hop(ways, &taken) && !ways_alive(ways, &taken))
        ways_drop_hop(ways, &taken);
}

static void look_main(void *arg)
{
    Ways *ways = arg;
    while (!loop_stopping(ways->loop) && ways_state(ways) != WAYS_DIRECT) {
        if (ways_state(ways) == WAYS_RELAYED) {
            signal_wait(ways->loop, &ways->moved, loop_now_ms(ways->loop) + WAYS_BACK_MS);
            if (ways_state(ways) == WAYS_RELAYED)
                look_back(ways);
        } else if (!look_once(ways) && ways_state(ways) == WAYS_LOST) {
            const int64_t now_ms = loop_now_ms(ways->loop);
            const bool soon = now_ms - ways->lost_ms < WAYS_SOON_MS;
            signal_wait(ways->loop, &ways->moved, now_ms + (soon ? WAYS_SOON_REST_MS : WAYS_REST_MS));
        }
    }
    ways->looking = false;
}

void ways_search(Ways *ways)
{
    if (ways->looking)
        return;
    ways->looking = true;
    loop_spawn(ways->loop, "look", look_main, ways);
}
