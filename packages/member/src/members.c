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

static Member *rowsOf(Members *members)
{
    return (Member *)(uintptr_t)members->table->rows;
}

/* Where the id stands, or would. */
static size_t rowPlace(const Members *members, const char *id, bool *found)
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

static void rowWrite(Members *members, Member *row, const MemberRecord *record)
{
    void *old = row->mem;
    row->mem = talloc_new(members);
    shape_copy(&MemberRecordShape, record, row->mem, &row->record);
    talloc_free(old);
}

static Member *rowAdd(Members *members, size_t at, const MemberRecord *record)
{
    MemberTable *table = members->table;
    if (table->count == members->room) {
        members->room = members->room > 0 ? members->room * 2 : 16;
        table->rows = talloc_realloc(members, rowsOf(members), Member, (unsigned)members->room);
    }
    Member *rows = rowsOf(members);
    memmove(&rows[at + 1], &rows[at], (table->count - at) * sizeof(*rows));
    table->count++;
    const int64_t now_ms = loop_now_ms(members->loop);
    rows[at] = (Member){.seenMs = now_ms, .directMs = INT64_MIN, .answeredMs = INT64_MIN, .sinceMs = now_ms};
    rowWrite(members, &rows[at], record);
    return &rows[at];
}

static void rowDrop(Members *members, size_t at)
{
    Member *rows = rowsOf(members);
    talloc_free(rows[at].mem);
    members->table->count--;
    memmove(&rows[at], &rows[at + 1], (members->table->count - at) * sizeof(*rows));
}

static bool isSelf(const Members *members, const MemberRecord *record)
{
    return strcmp(record->id, members->self.id) == 0;
}

/* A core of the same name with another disk, as this one's; the count when there is none. */
static size_t rowNamed(const Members *members, const MemberRecord *record)
{
    size_t at = 0;
    while (at < members->table->count) {
        const MemberRecord *row = &members->table->rows[at].record;
        if (row->role == ROLE_CORE && row->disk != record->disk && strcmp(row->name, record->name) == 0)
            break;
        at++;
    }
    return at;
}

static void greet(Members *members, const char *address);

static void rowTake(Members *members, const MemberRecord *record, bool direct, bool answered)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    if (record->id[0] == '\0' || record->role >= ROLE_COUNT || strlen(record->id) > ID_MAX)
        return;
    const bool mine = record->role == members->self.role && strcmp(record->name, members->self.name) == 0;
    if (isSelf(members, record) || (mine && record->role == ROLE_CORE)) {
        /* somebody remembers an earlier life of ours, or of this place: be newer than that */
        if (record->incarnation > members->self.incarnation ||
            (record->incarnation == members->self.incarnation && !isSelf(members, record)))
            members->self.incarnation = record->incarnation + 1;
        courier_set_self(members->courier, memberPeer(&members->self));
        return;
    }
    bool found;
    size_t at = rowPlace(members, record->id, &found);
    if (!found && record->role == ROLE_CORE) {
        const size_t other = rowNamed(members, record);
        if (other < members->table->count) {
            if (members->table->rows[other].record.incarnation >= record->incarnation)
                return; /* told of one that is gone */
            rowDrop(members, other);
            courier_renew(members->courier, record->address);
            at = rowPlace(members, record->id, &found);
        }
    }
    if (!found && members->table->count >= MEMBERS_MAX)
        return;
    /* cores find each other at once: a seat may be waiting for this one */
    if (!found && !direct && record->role == ROLE_CORE && members->self.role == ROLE_CORE)
        greet(members, record->address);
    Member *row = found ? &rowsOf(members)[at] : rowAdd(members, at, record);
    if (found && newer(record, &row->record)) {
        row->seenMs = now_ms;
        if (record->incarnation > row->record.incarnation)
            courier_renew(members->courier, record->address);
        rowWrite(members, row, record);
    }
    if (direct)
        row->directMs = now_ms;
    if (direct && answered)
        row->answeredMs = now_ms;
}

/* The own row as it is now; rows not heard of for long go. */
static void rowsTend(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    for (size_t i = members->table->count; i > 0; i--) {
        Member *row = &rowsOf(members)[i - 1];
        if (isSelf(members, &row->record)) {
            rowWrite(members, row, &members->self);
            row->seenMs = row->directMs = row->answeredMs = now_ms;
        } else if (now_ms - row->seenMs > MEMBER_FORGET_MS) {
            rowDrop(members, i - 1);
        }
    }
}

Members *membersNew(void *mem, Loop *loop, Courier *courier, Ring *ring, const MemberRecord *self,
                    const char *const seeds[SEEDS])
{
    Members *members = talloc_zero(mem, Members);
    members->loop = loop;
    members->courier = courier;
    members->ring = ring;
    shape_copy(&MemberRecordShape, self, members, &members->self);
    courier_set_self(courier, memberPeer(&members->self));
    members->leaderId = talloc_strdup(members, "");
    for (int i = 0; i < SEEDS; i++)
        members->seeds[i] = talloc_strdup(members, seeds[i]);
    members->table = talloc_zero(members, MemberTable);
    Member *row = rowAdd(members, 0, self);
    row->directMs = row->answeredMs = row->seenMs;
    return members;
}

const MemberTable *membersTable(const Members *members)
{
    return members->table;
}

const Member *membersFind(const Members *members, const char *id)
{
    bool found;
    const size_t at = rowPlace(members, id, &found);
    return found ? &members->table->rows[at] : NULL;
}

const Member *membersOtherDisk(const Members *members, const char *name, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (row->record.role == ROLE_CORE && row->record.disk != disk && row->directMs != INT64_MIN &&
            strcmp(row->record.name, name) == 0)
            return row;
    }
    return NULL;
}

const Member *membersFindDisk(const Members *members, uint64_t disk)
{
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].record.role == ROLE_CORE && members->table->rows[i].record.disk == disk)
            return &members->table->rows[i];
    return NULL;
}

const MemberRecord *membersSelf(const Members *members)
{
    return &members->self;
}

bool memberQuiet(const Member *member, int64_t now_ms)
{
    return now_ms - member->seenMs > MEMBER_QUIET_MS;
}

void membersSetEmpty(Members *members, bool empty)
{
    members->self.empty = empty;
}

void membersSetLeaving(Members *members)
{
    members->self.leaving = true;
}

void membersSetLeader(Members *members, uint64_t epoch, const char *id)
{
    if (epoch < members->leaderEpoch || (epoch == members->leaderEpoch && strcmp(id, members->leaderId) == 0))
        return;
    members->leaderEpoch = epoch;
    talloc_free(members->leaderId);
    members->leaderId = talloc_strdup(members, id);
    signal_raise(members->loop, &members->leaderChanged);
}

const char *membersLeaderId(const Members *members)
{
    return members->leaderId;
}

uint64_t membersLeaderEpoch(const Members *members)
{
    return members->leaderEpoch;
}

PeerLife memberPeer(const MemberRecord *record)
{
    return peer_life(record->id, record->incarnation);
}

PeerLife membersLeaderPeer(const Members *members)
{
    const Member *row = membersFind(members, members->leaderId);
    return row != NULL ? memberPeer(&row->record) : (PeerLife){0};
}

const char *membersLeaderAddress(const Members *members)
{
    const Member *member = members->leaderId[0] ? membersFind(members, members->leaderId) : NULL;
    return member != NULL ? member->record.address : NULL;
}

Signal *membersLeaderSignal(Members *members)
{
    return &members->leaderChanged;
}

size_t membersSight(const Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].answeredMs != INT64_MIN &&
            now_ms - members->table->rows[i].answeredMs < MEMBER_QUIET_MS)
            count++;
    return count;
}

static void helloFill(Members *members, void *mem, Hello *hello)
{
    members->self.tick++;
    members->self.cluster = courier_cluster(members->courier);
    rowsTend(members);
    const MemberTable *table = members->table;
    shape_copy(&MemberRecordShape, &members->self, mem, &hello->self);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    hello->membersCount = 0;
    for (size_t i = 0; i < table->count; i++)
        if (!memberQuiet(&table->rows[i], loop_now_ms(members->loop)))
            shape_copy(&MemberRecordShape, &table->rows[i].record, mem, &hello->members[hello->membersCount++]);
    hello->cluster = members->self.cluster;
    hello->leaderEpoch = members->leaderEpoch;
    hello->leaderId = talloc_strdup(mem, members->leaderId);
}

static void helloTake(Members *members, const Hello *hello, bool answered)
{
    const uint64_t mine = courier_cluster(members->courier);
    if (hello->cluster != 0 && mine != 0 && hello->cluster != mine)
        return; /* of another cluster: nothing it says is taken */
    if (mine == 0 && hello->cluster != 0) {
        courier_set_cluster(members->courier, hello->cluster);
        ring_say(members->ring, RING_NOTE, loop_now_ms(members->loop), "joins cluster %016" PRIx64, hello->cluster);
    }
    for (size_t i = 0; i < hello->membersCount && hello->membersCount <= MEMBERS_MAX; i++)
        rowTake(members, &hello->members[i], false, false);
    rowTake(members, &hello->self, true, answered);
    if (hello->leaderEpoch > members->leaderEpoch)
        membersSetLeader(members, hello->leaderEpoch, hello->leaderId);
}

static Status onHello(void *arg, void *mem, const void *ask, void *answer)
{
    Members *members = arg;
    const Hello *hello = ask;
    const uint64_t mine = courier_cluster(members->courier);
    if (hello->cluster != 0 && mine != 0 && hello->cluster != mine)
        return STATUS_STRANGER;
    helloTake(members, hello, false);
    helloFill(members, mem, answer);
    return STATUS_OK;
}

static void helloTo(Members *members, const char *address)
{
    void *mem = talloc_new(members);
    Hello ask = {0}, answer = {0};
    helloFill(members, mem, &ask);
    if (courier_ask(members->courier, mem, address, MESSAGE_HELLO, &HelloShape, &ask, ASK_EXPIRY_MS, &HelloShape,
                    &answer) == STATUS_OK)
        helloTake(members, &answer, true);
    talloc_free(mem);
}

void membersRest(Members *members, int64_t until_ms)
{
    const bool rested = loop_now_ms(members->loop) < members->restUntilMs;
    members->restUntilMs = until_ms;
    if (rested && until_ms == 0)
        signal_raise(members->loop, &members->hurry);
}

static void helloPause(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    signal_wait(members->loop, &members->hurry, now_ms + (now_ms < members->restUntilMs ? HELLO_REST_MS : HELLO_MS));
}

static void seedMain(void *arg)
{
    SeedTask *seed = arg;
    Members *members = seed->members;
    while (!loop_stopping(members->loop)) {
        const char *address = members->seeds[seed->at];
        bool again = strcmp(address, members->self.address) == 0;
        for (size_t i = 0; i < seed->at && !again; i++) /* fewer than three were told: some are there twice */
            again = strcmp(address, members->seeds[i]) == 0;
        if (!again)
            helloTo(members, address);
        helloPause(members);
    }
}

typedef struct LookTask {
    Members *members;
    char address[ADDRESS_MAX];
} LookTask;

static void lookOne(void *arg)
{
    LookTask *look = arg;
    helloTo(look->members, look->address);
    talloc_free(look);
}

static void greet(Members *members, const char *address)
{
    LookTask *look = talloc_zero(members, LookTask);
    look->members = members;
    strncpy(look->address, address, sizeof(look->address) - 1);
    loop_spawn(members->loop, "greet", lookOne, look);
}

void membersMeet(Members *members, const char *address)
{
    greet(members, address);
}

void membersAnnounce(Members *members)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (!isSelf(members, &row->record) && !memberQuiet(row, loop_now_ms(members->loop)))
            greet(members, row->record.address);
    }
}

/* A core asks every member in turn, each in a task of its own, so that those
 * that do not answer keep none waiting. */
static void lookMain(void *arg)
{
    Members *members = arg;
    for (size_t at = 0; !loop_stopping(members->loop); at++) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[at % table->count];
        if (strcmp(row->record.id, members->self.id) != 0 && !memberQuiet(row, loop_now_ms(members->loop))) {
            greet(members, row->record.address);
        }
        loop_sleep(members->loop, SIGHT_MS / (int64_t)(table->count > SIGHT_MS ? SIGHT_MS : table->count));
    }
}

/* Speaks with a member at random, so that all are found though the seeds have
 * changed hands. */
static void roamMain(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[loop_random(members->loop) % table->count];
        if (strcmp(row->record.id, members->self.id) != 0) {
            void *mem = talloc_new(members);
            helloTo(members, talloc_strdup(mem, row->record.address));
            talloc_free(mem);
        }
        helloPause(members);
    }
}

void membersSeeds(Members *members, const char *const seeds[SEEDS])
{
    for (int i = 0; i < SEEDS; i++) /* an old one may still be in a question's hands */
        if (strcmp(members->seeds[i], seeds[i]) != 0)
            members->seeds[i] = talloc_strdup(members, seeds[i]);
}

void membersStart(Members *members)
{
    courier_handle(members->courier, MESSAGE_HELLO, &HelloShape, &HelloShape, onHello, members);
    courier_handle(members->courier, MESSAGE_VOTE, &VoteAskShape, &VoteAnswerShape, voteAsked, members);
    for (int i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, (size_t)i};
        loop_spawn(members->loop, "seed", seedMain, seed);
    }
    if (members->self.role == ROLE_CORE)
        loop_spawn(members->loop, "look", lookMain, members);
    else
        loop_spawn(members->loop, "roam", roamMain, members);
}
