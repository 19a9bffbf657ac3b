#include "member/members.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

typedef struct SeedTask {
    Members *members;
    size_t at;
} SeedTask;

static bool newer(const MemberRecord *a, const MemberRecord *b)
{
    return a->incarnation > b->incarnation || (a->incarnation == b->incarnation && a->tick > b->tick);
}

/* --- rows ------------------------------------------------------------------------ */

static Member *rows_of(Members *members)
{
    return (Member *)(uintptr_t)members->table->rows;
}

/* Where the id stands, or would. */
static size_t row_place(const Members *members, const char *id, bool *found)
{
    size_t low = 0, high = members->table->count;
    *found = false;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        const int order = strcmp(members->table->rows[middle].record.id, id);
        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static void row_write(Members *members, Member *row, const MemberRecord *record)
{
    void *old = row->mem;
    row->mem = talloc_new(members);
    shape_copy(&MemberRecord_shape, record, row->mem, &row->record);
    talloc_free(old);
}

static Member *row_add(Members *members, size_t at, const MemberRecord *record)
{
    MemberTable *table = members->table;
    if (table->count == members->room) {
        members->room = members->room > 0 ? members->room * 2 : 16;
        table->rows = talloc_realloc(members, rows_of(members), Member, (unsigned)members->room);
    }
    Member *rows = rows_of(members);
    memmove(&rows[at + 1], &rows[at], (table->count - at) * sizeof(*rows));
    table->count++;
    const int64_t now_ms = loop_now_ms(members->loop);
    rows[at] = (Member){.seen_ms = now_ms, .direct_ms = INT64_MIN, .answered_ms = INT64_MIN, .since_ms = now_ms};
    row_write(members, &rows[at], record);
    return &rows[at];
}

static void row_drop(Members *members, size_t at)
{
    Member *rows = rows_of(members);
    talloc_free(rows[at].mem);
    members->table->count--;
    memmove(&rows[at], &rows[at + 1], (members->table->count - at) * sizeof(*rows));
}

static bool is_self(const Members *members, const MemberRecord *record)
{
    return strcmp(record->id, members->self.id) == 0;
}

/* A controller of the same name with another disk, as this one's; the count when there is none. */
static size_t row_named(const Members *members, const MemberRecord *record)
{
    size_t at = 0;
    while (at < members->table->count) {
        const MemberRecord *row = &members->table->rows[at].record;
        if (row->role == ROLE_CONTROLLER && row->disk != record->disk && strcmp(row->name, record->name) == 0)
            break;
        at++;
    }
    return at;
}

static void greet(Members *members, const char *address);

static void row_take(Members *members, const MemberRecord *record, bool direct, bool answered)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    if (record->id[0] == '\0' || record->role >= ROLE_COUNT || strlen(record->id) > ID_MAX)
        return;
    const bool mine = record->role == members->self.role && strcmp(record->name, members->self.name) == 0;
    if (is_self(members, record) || (mine && record->role == ROLE_CONTROLLER)) {
        /* somebody remembers an earlier life of ours, or of this place: be newer than that */
        if (record->incarnation > members->self.incarnation ||
            (record->incarnation == members->self.incarnation && !is_self(members, record)))
            members->self.incarnation = record->incarnation + 1;
        rpc_set_self(members->rpc, member_peer(&members->self));
        return;
    }
    bool found;
    size_t at = row_place(members, record->id, &found);
    if (!found && record->role == ROLE_CONTROLLER) {
        const size_t other = row_named(members, record);
        if (other < members->table->count) {
            if (members->table->rows[other].record.incarnation >= record->incarnation)
                return; /* told of one that is gone */
            row_drop(members, other);
            rpc_renew(members->rpc, record->address);
            at = row_place(members, record->id, &found);
        }
    }
    if (!found && members->table->count >= MEMBERS_MAX)
        return;
    /* controllers find each other at once: a voter may be waiting for this one */
    if (!found && !direct && record->role == ROLE_CONTROLLER && members->self.role == ROLE_CONTROLLER)
        greet(members, record->address);
    Member *row = found ? &rows_of(members)[at] : row_add(members, at, record);
    if (found && newer(record, &row->record)) {
        row->seen_ms = now_ms;
        if (record->incarnation > row->record.incarnation)
            rpc_renew(members->rpc, record->address);
        row_write(members, row, record);
    }
    if (direct)
        row->direct_ms = now_ms;
    if (direct && answered)
        row->answered_ms = now_ms;
}

/* The own row as it is now; rows not heard of for long go. */
static void rows_tend(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    for (size_t i = members->table->count; i > 0; i--) {
        Member *row = &rows_of(members)[i - 1];
        if (is_self(members, &row->record)) {
            row_write(members, row, &members->self);
            row->seen_ms = row->direct_ms = row->answered_ms = now_ms;
        } else if (now_ms - row->seen_ms > MEMBER_FORGET_MS) {
            row_drop(members, i - 1);
        }
    }
}

Members *members_new(void *mem, Loop *loop, Rpc *rpc, Recorder *recorder, const MemberRecord *self,
                     const char *const seeds[SEEDS])
{
    Members *members = talloc_zero(mem, Members);
    members->loop = loop;
    members->rpc = rpc;
    members->recorder = recorder;
    shape_copy(&MemberRecord_shape, self, members, &members->self);
    rpc_set_self(rpc, member_peer(&members->self));
    members->leader_id = talloc_strdup(members, "");
    for (int i = 0; i < SEEDS; i++)
        members->seeds[i] = talloc_strdup(members, seeds[i]);
    members->table = talloc_zero(members, MemberTable);
    Member *row = row_add(members, 0, self);
    row->direct_ms = row->answered_ms = row->seen_ms;
    return members;
}

const MemberTable *members_table(const Members *members)
{
    return members->table;
}

const Member *members_find(const Members *members, const char *id)
{
    bool found;
    const size_t at = row_place(members, id, &found);
    return found ? &members->table->rows[at] : NULL;
}

const Member *members_other_disk(const Members *members, const char *name, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (row->record.role == ROLE_CONTROLLER && row->record.disk != disk && row->direct_ms != INT64_MIN &&
            strcmp(row->record.name, name) == 0)
            return row;
    }
    return NULL;
}

const Member *members_find_disk(const Members *members, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].record.role == ROLE_CONTROLLER && members->table->rows[i].record.disk == disk)
            return &members->table->rows[i];
    return NULL;
}

const MemberRecord *members_self(const Members *members)
{
    return &members->self;
}

bool member_quiet(const Member *member, int64_t now_ms)
{
    return now_ms - member->seen_ms > MEMBER_QUIET_MS;
}

void members_set_empty(Members *members, bool empty)
{
    members->self.empty = empty;
}

void members_set_leaving(Members *members)
{
    members->self.leaving = true;
}

void members_set_leader(Members *members, uint64_t term, const char *id)
{
    if (term < members->leader_term || (term == members->leader_term && strcmp(id, members->leader_id) == 0))
        return;
    members->leader_term = term;
    talloc_free(members->leader_id);
    members->leader_id = talloc_strdup(members, id);
    signal_raise(members->loop, &members->leader_changed);
}

const char *members_leader_id(const Members *members)
{
    return members->leader_id;
}

uint64_t members_leader_term(const Members *members)
{
    return members->leader_term;
}

PeerLife member_peer(const MemberRecord *record)
{
    return peer_life(record->id, record->incarnation);
}

PeerLife members_leader_peer(const Members *members)
{
    const Member *row = members_find(members, members->leader_id);
    return row != NULL ? member_peer(&row->record) : (PeerLife){0};
}

const char *members_leader_address(const Members *members)
{
    const Member *member = members->leader_id[0] ? members_find(members, members->leader_id) : NULL;
    return member != NULL ? member->record.address : NULL;
}

Signal *members_leader_signal(Members *members)
{
    return &members->leader_changed;
}

size_t members_sight(const Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].answered_ms != INT64_MIN &&
            now_ms - members->table->rows[i].answered_ms < MEMBER_QUIET_MS)
            count++;
    return count;
}

static void hello_fill(Members *members, void *mem, Hello *hello)
{
    members->self.tick++;
    members->self.cluster = rpc_cluster(members->rpc);
    rows_tend(members);
    const MemberTable *table = members->table;
    shape_copy(&MemberRecord_shape, &members->self, mem, &hello->self);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    hello->members_count = 0;
    for (size_t i = 0; i < table->count; i++)
        if (!member_quiet(&table->rows[i], loop_now_ms(members->loop)))
            shape_copy(&MemberRecord_shape, &table->rows[i].record, mem, &hello->members[hello->members_count++]);
    hello->cluster = members->self.cluster;
    hello->leader_term = members->leader_term;
    hello->leader_id = talloc_strdup(mem, members->leader_id);
}

static void hello_take(Members *members, const Hello *hello, bool answered)
{
    const uint64_t mine = rpc_cluster(members->rpc);
    if (hello->cluster != 0 && mine != 0 && hello->cluster != mine)
        return; /* of another cluster: nothing it says is taken */
    if (mine == 0 && hello->cluster != 0) {
        rpc_set_cluster(members->rpc, hello->cluster);
        recorder_write(members->recorder, RECORDER_NOTE, loop_now_ms(members->loop), "joins cluster %016" PRIx64,
                       hello->cluster);
    }
    for (size_t i = 0; i < hello->members_count && hello->members_count <= MEMBERS_MAX; i++)
        row_take(members, &hello->members[i], false, false);
    row_take(members, &hello->self, true, answered);
    if (hello->leader_term > members->leader_term)
        members_set_leader(members, hello->leader_term, hello->leader_id);
}

static Status on_hello(void *arg, void *mem, const void *ask, void *answer)
{
    Members *members = arg;
    const Hello *hello = ask;
    const uint64_t mine = rpc_cluster(members->rpc);
    if (hello->cluster != 0 && mine != 0 && hello->cluster != mine)
        return STATUS_STRANGER;
    hello_take(members, hello, false);
    hello_fill(members, mem, answer);
    return STATUS_OK;
}

static void hello_to(Members *members, const char *address)
{
    void *mem = talloc_new(members);
    Hello ask = {0}, answer = {0};
    hello_fill(members, mem, &ask);
    if (rpc_ask(members->rpc, mem, address, MESSAGE_HELLO, &Hello_shape, &ask, ASK_TIMEOUT_MS, &Hello_shape, &answer) ==
        STATUS_OK)
        hello_take(members, &answer, true);
    talloc_free(mem);
}

void members_rest(Members *members, int64_t until_ms)
{
    const bool rested = loop_now_ms(members->loop) < members->rest_until_ms;
    members->rest_until_ms = until_ms;
    if (rested && until_ms == 0)
        signal_raise(members->loop, &members->hurry);
}

static void hello_pause(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    signal_wait(members->loop, &members->hurry, now_ms + (now_ms < members->rest_until_ms ? HELLO_REST_MS : HELLO_MS));
}

static void seed_main(void *arg)
{
    SeedTask *seed = arg;
    Members *members = seed->members;
    while (!loop_stopping(members->loop)) {
        const char *address = members->seeds[seed->at];
        bool again = strcmp(address, members->self.address) == 0;
        for (size_t i = 0; i < seed->at && !again; i++) /* fewer than three were told: some are there twice */
            again = strcmp(address, members->seeds[i]) == 0;
        if (!again)
            hello_to(members, address);
        hello_pause(members);
    }
}

typedef struct LookTask {
    Members *members;
    char address[ADDRESS_MAX];
} LookTask;

static void look_one(void *arg)
{
    LookTask *look = arg;
    hello_to(look->members, look->address);
    talloc_free(look);
}

static void greet(Members *members, const char *address)
{
    LookTask *look = talloc_zero(members, LookTask);
    look->members = members;
    strncpy(look->address, address, sizeof(look->address) - 1);
    loop_spawn(members->loop, "greet", look_one, look);
}

void members_meet(Members *members, const char *address)
{
    greet(members, address);
}

void members_announce(Members *members)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (!is_self(members, &row->record) && !member_quiet(row, loop_now_ms(members->loop)))
            greet(members, row->record.address);
    }
}

/* A controller asks every member in turn, each in a task of its own, so that those
 * that do not answer keep none waiting. */
static void look_main(void *arg)
{
    Members *members = arg;
    for (size_t at = 0; !loop_stopping(members->loop); at++) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[at % table->count];
        if (strcmp(row->record.id, members->self.id) != 0 && !member_quiet(row, loop_now_ms(members->loop))) {
            greet(members, row->record.address);
        }
        loop_sleep(members->loop, SIGHT_MS / (int64_t)(table->count > SIGHT_MS ? SIGHT_MS : table->count));
    }
}

/* Speaks with a member at random, so that all are found though the seeds have
 * changed hands. */
static void roam_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[loop_random(members->loop) % table->count];
        if (strcmp(row->record.id, members->self.id) != 0) {
            void *mem = talloc_new(members);
            hello_to(members, talloc_strdup(mem, row->record.address));
            talloc_free(mem);
        }
        hello_pause(members);
    }
}

void members_seeds(Members *members, const char *const seeds[SEEDS])
{
    for (int i = 0; i < SEEDS; i++) /* an old one may still be in a question's hands */
        if (strcmp(members->seeds[i], seeds[i]) != 0)
            members->seeds[i] = talloc_strdup(members, seeds[i]);
}

void members_start(Members *members)
{
    rpc_handle(members->rpc, MESSAGE_HELLO, &Hello_shape, &Hello_shape, on_hello, members);
    rpc_handle(members->rpc, MESSAGE_VOTE, &VoteAsk_shape, &VoteAnswer_shape, vote_asked, members);
    for (int i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, (size_t)i};
        loop_spawn(members->loop, "seed", seed_main, seed);
    }
    if (members->self.role == ROLE_CONTROLLER)
        loop_spawn(members->loop, "look", look_main, members);
    else
        loop_spawn(members->loop, "roam", roam_main, members);
}
