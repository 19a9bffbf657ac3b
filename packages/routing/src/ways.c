#include "routing/ways.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define WAYS_PING_MS 600       /* ms; whoever lives answers a question that needs no commit in this, also in a crowd */
#define WAYS_LOOK_MS 120       /* ms; ... and while a way is looked for, the next is tried after this ... */
#define WAYS_LOOK_LATER_MS 300 /* ms; ... and once none was found at once, after this */
#define WAYS_SOON_MS 1000      /* ms; a lead that is handed over is found again within this: ... */
#define WAYS_SOON_REST_MS 25   /* ms; ... so long all ways are tried again after this, */
#define WAYS_REST_MS 150       /* ms; and later after this */
#define WAYS_BACK_MS 5000      /* ms; a leader reached through others is tried directly this often */
#define WAYS_GRACE_MS 2000     /* ms; a leader lost so long ago is still expected to be followed by another at once */

/* Invariants:
 *  - turn grows whenever the way in use, or the leader, becomes another one;
 *  - at is the way in use: 0 the leader itself, N the Nth other controller; it means
 *    nothing while lost_ms is not INT64_MAX;
 *  - looking says that the looking task runs, which it does while lost, or while at > 0. */
struct Ways {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    WaysLeads leads;
    const void *arg;
    uint64_t turn;
    uint64_t term; /* of the leader that they lead to */
    size_t at;
    int64_t lost_ms;
    bool looking;
    int64_t heard_ms;
    int64_t served_ms; /* INT64_MIN: never */
    int64_t missed_ms; /* since when no leader has been heard to serve; INT64_MAX: it serves */
    Signal moved;
};

Ways *ways_new(void *mem, Loop *loop, Rpc *rpc, Members *members, WaysLeads leads, const void *arg)
{
    Ways *ways = talloc_zero(mem, Ways);
    *ways = (Ways){.loop = loop,
                   .rpc = rpc,
                   .members = members,
                   .leads = leads,
                   .arg = arg,
                   .lost_ms = loop_now_ms(loop),
                   .heard_ms = INT64_MIN,
                   .served_ms = INT64_MIN,
                   .missed_ms = loop_now_ms(loop)};
    return ways;
}

static bool own_lead(const Ways *ways)
{
    return ways->leads != NULL && ways->leads(ways->arg);
}

static void move_on(Ways *ways)
{
    ways->turn++;
    signal_raise(ways->loop, &ways->moved);
}

static void miss(Ways *ways)
{
    if (ways->missed_ms == INT64_MAX)
        ways->missed_ms = loop_now_ms(ways->loop);
}

/* The address of the nth way; false when there are fewer. */
static bool way_at(const Ways *ways, size_t nth, WaysTaken *taken)
{
    const char *leader = members_leader_address(ways->members);
    const MemberRecord *self = members_self(ways->members);
    *taken = (WaysTaken){.turn = ways->turn, .relay = nth > 0};
    if (leader == NULL && nth == 0)
        return false;
    if (nth == 0) {
        snprintf(taken->address, ADDRESS_MAX, "%s", leader);
        taken->peer = members_leader_peer(ways->members);
        return strcmp(leader, self->address) != 0;
    }
    const MemberTable *table = members_table(ways->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.role != ROLE_CONTROLLER || row->record.leaving ||
            (leader != NULL && strcmp(row->record.address, leader) == 0) || strcmp(row->record.id, self->id) == 0 ||
            member_quiet(row, loop_now_ms(ways->loop)) || --nth > 0)
            continue;
        snprintf(taken->address, ADDRESS_MAX, "%s", row->record.address);
        taken->peer = member_peer(&row->record);
        return true;
    }
    return false;
}

static Status ping(Ways *ways, const WaysTaken *taken, int64_t wait_ms, bool *serves)
{
    void *mem = talloc_new(ways);
    const ForwardAsk ask = {
        .method = "GET", .path = "/readyz", .relay = taken->relay, .host = "", .wait_ms = (uint64_t)wait_ms};
    ForwardAnswer answer = {0};
    const Status status = rpc_ask_peer(ways->rpc, mem, &(RpcTarget){taken->address, taken->peer, NULL}, MESSAGE_FORWARD,
                                       &ForwardAsk_shape, &ask, wait_ms, &ForwardAnswer_shape, &answer);
    if (status == STATUS_OTHER_PEER || status == STATUS_OTHER_LIFE)
        members_meet(ways->members, taken->address);
    else if (status != STATUS_OK)
        ways_told(ways, &answer);
    *serves = status == STATUS_OK && answer.code == 200;
    talloc_free(mem);
    return status;
}

/* --- looking for a way ------------------------------------------------------------- */

static void found(Ways *ways, size_t at)
{
    ways->at = at;
    ways->lost_ms = INT64_MAX;
    move_on(ways);
}

/* Tries every way once; true when one leads to the leader. */
static bool look_once(Ways *ways)
{
    WaysTaken taken;
    const bool later = loop_now_ms(ways->loop) - ways->lost_ms >= WAYS_SOON_MS;
    for (size_t nth = 0;; nth++) {
        if (!way_at(ways, nth, &taken)) {
            if (nth == 0)
                continue; /* it is not known, or it was this process */
            return false;
        }
        const uint64_t turn = ways->turn;
        bool serves;
        const Status status = ping(ways, &taken, later ? WAYS_LOOK_LATER_MS : WAYS_LOOK_MS, &serves);
        if (ways->turn != turn)
            return false; /* another leader was heard of meanwhile */
        if (status == STATUS_OK) {
            found(ways, nth);
            ways_heard(ways, &(WaysTaken){.turn = ways->turn}, serves);
            return true;
        }
    }
}

/* Has the direct way come back? If not, is the one in use still good? */
static void look_back(Ways *ways)
{
    WaysTaken taken;
    bool serves;
    const uint64_t turn = ways->turn;
    if (way_at(ways, 0, &taken) && ping(ways, &taken, WAYS_PING_MS, &serves) == STATUS_OK && ways->turn == turn)
        found(ways, 0);
    else if (ways_take(ways, &taken) && !ways_alive(ways, &taken))
        ways_failed(ways, &taken);
}

static void look_main(void *arg)
{
    Ways *ways = arg;
    while (!loop_stopping(ways->loop) && (ways->lost_ms != INT64_MAX || ways->at > 0)) {
        if (ways->lost_ms == INT64_MAX) {
            signal_wait(ways->loop, &ways->moved, loop_now_ms(ways->loop) + WAYS_BACK_MS);
            if (ways->lost_ms == INT64_MAX && ways->at > 0)
                look_back(ways);
        } else if (!look_once(ways) && ways->lost_ms != INT64_MAX) {
            const int64_t now_ms = loop_now_ms(ways->loop);
            const bool soon = now_ms - ways->lost_ms < WAYS_SOON_MS;
            signal_wait(ways->loop, &ways->moved, now_ms + (soon ? WAYS_SOON_REST_MS : WAYS_REST_MS));
        }
    }
    ways->looking = false;
}

static void look(Ways *ways)
{
    if (ways->looking)
        return;
    ways->looking = true;
    loop_spawn(ways->loop, "look", look_main, ways);
}

/* --- the leader known ---------------------------------------------------------------- */

/* Another leader, or the first: it is reached directly until that fails. */
static void leader_new(Ways *ways)
{
    if (members_leader_term(ways->members) == ways->term)
        return; /* also before any is known: whoever is met tells of him */
    ways->term = members_leader_term(ways->members);
    if (members_leader_address(ways->members) == NULL) {
        if (ways->lost_ms == INT64_MAX)
            ways->lost_ms = loop_now_ms(ways->loop);
        miss(ways);
        move_on(ways);
        look(ways); /* its address may yet be told */
        return;
    }
    found(ways, 0);
}

static void leader_main(void *arg)
{
    Ways *ways = arg;
    while (!loop_stopping(ways->loop)) {
        leader_new(ways);
        signal_wait(ways->loop, members_leader_signal(ways->members), INT64_MAX);
    }
}

void ways_start(Ways *ways)
{
    loop_spawn(ways->loop, "ways", leader_main, ways);
}

/* --- in use ------------------------------------------------------------------------------ */

bool ways_take(Ways *ways, WaysTaken *taken)
{
    if (own_lead(ways)) {
        *taken = (WaysTaken){.turn = ways->turn, .own = true};
        return true;
    }
    if (ways->lost_ms == INT64_MAX && way_at(ways, ways->at, taken))
        return true;
    /* the controller that carried on has gone, or this process has just lost the lead */
    if (ways->lost_ms == INT64_MAX) {
        ways->lost_ms = loop_now_ms(ways->loop);
        move_on(ways);
    }
    miss(ways);
    if (ways->term != 0)
        look(ways);
    return false;
}

bool ways_current(const Ways *ways, const WaysTaken *taken)
{
    return taken->own || taken->turn == ways->turn;
}

Signal *ways_moved(Ways *ways)
{
    return &ways->moved;
}

int64_t ways_lost_ms(const Ways *ways)
{
    return own_lead(ways) ? INT64_MAX : ways->lost_ms;
}

bool ways_alive(Ways *ways, const WaysTaken *taken)
{
    bool serves;
    const Status status = ping(ways, taken, WAYS_PING_MS, &serves);
    if (status == STATUS_OK)
        ways_heard(ways, taken, serves);
    return status == STATUS_OK;
}

void ways_failed(Ways *ways, const WaysTaken *taken)
{
    if (taken->own || !ways_current(ways, taken))
        return;
    ways->lost_ms = loop_now_ms(ways->loop);
    miss(ways);
    move_on(ways);
    look(ways);
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
        miss(ways);
    }
}

int64_t ways_heard_ms(const Ways *ways)
{
    return ways->heard_ms;
}

void ways_told(Ways *ways, const ForwardAnswer *answer)
{
    if (answer->leader_term > members_leader_term(ways->members) && answer->leader_id != NULL &&
        answer->leader_id[0] != '\0')
        members_set_leader(ways->members, answer->leader_term, answer->leader_id);
}

bool ways_serve(const Ways *ways)
{
    return ways->served_ms != INT64_MIN &&
           (ways->missed_ms == INT64_MAX || loop_now_ms(ways->loop) - ways->missed_ms <= WAYS_GRACE_MS);
}
