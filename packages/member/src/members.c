#include "member/members.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

typedef struct SeedTask {
    Members *members;
    size_t at;
} SeedTask;

static int rowOrder(const void *a, const void *b)
{
    return strcmp(((const Member *)a)->record.id, ((const Member *)b)->record.id);
}

static bool newer(const MemberRecord *a, const MemberRecord *b)
{
    return a->incarnation > b->incarnation || (a->incarnation == b->incarnation && a->tick > b->tick);
}

/* Builds the next table of the present one and the records told, and swaps it. */
static void merge(Members *members, const MemberRecord *told, size_t toldCount, const char *directId, bool answered)
{
    const int64_t nowMs = loopNowMs(members->loop);
    const MemberTable *old = members->table;
    MemberTable *table = talloc_zero(members, MemberTable);
    Member *rows = talloc_array(table, Member, (unsigned)(old->count + toldCount + 1));
    size_t count = 0;
    for (size_t i = 0; i < old->count; i++) {
        const bool self = strcmp(old->rows[i].record.id, members->self.id) == 0;
        if (!self && nowMs - old->rows[i].seenMs > MEMBER_FORGET_MS)
            continue;
        rows[count] = old->rows[i];
        shapeCopy(&MemberRecordShape, self ? &members->self : &old->rows[i].record, rows, &rows[count].record);
        if (self)
            rows[count].seenMs = rows[count].directMs = rows[count].answeredMs = nowMs;
        count++;
    }
    for (size_t k = 0; k < toldCount; k++) {
        const MemberRecord *record = &told[k];
        if (record->id[0] == '\0' || record->role >= ROLE_COUNT || strlen(record->id) > ID_MAX)
            continue;
        if (strcmp(record->id, members->self.id) == 0) {
            /* somebody remembers an earlier life of ours: be newer than that */
            if (record->incarnation > members->self.incarnation)
                members->self.incarnation = record->incarnation + 1;
            continue;
        }
        Member *row = NULL;
        for (size_t i = 0; i < count && row == NULL; i++)
            if (strcmp(rows[i].record.id, record->id) == 0)
                row = &rows[i];
        const bool direct = directId != NULL && strcmp(record->id, directId) == 0;
        if (row == NULL) {
            if (count >= MEMBERS_MAX)
                continue;
            row = &rows[count++];
            *row = (Member){.seenMs = nowMs, .directMs = INT64_MIN, .answeredMs = INT64_MIN};
            shapeCopy(&MemberRecordShape, record, rows, &row->record);
        } else if (newer(record, &row->record)) {
            row->seenMs = nowMs;
            shapeCopy(&MemberRecordShape, record, rows, &row->record);
        }
        if (direct)
            row->directMs = nowMs;
        if (direct && answered)
            row->answeredMs = nowMs;
    }
    qsort(rows, count, sizeof(*rows), rowOrder);
    table->rows = rows;
    table->count = count;
    members->table = table;
    talloc_free((void *)(uintptr_t)old);
}

Members *membersNew(void *mem, Loop *loop, Courier *courier, Ring *ring, const MemberRecord *self,
                    const char *const seeds[SEEDS])
{
    Members *members = talloc_zero(mem, Members);
    members->loop = loop;
    members->courier = courier;
    members->ring = ring;
    shapeCopy(&MemberRecordShape, self, members, &members->self);
    members->leaderId = talloc_strdup(members, "");
    for (int i = 0; i < SEEDS; i++)
        members->seeds[i] = talloc_strdup(members, seeds[i]);
    MemberTable *table = talloc_zero(members, MemberTable);
    Member *row = talloc_zero(table, Member);
    shapeCopy(&MemberRecordShape, self, row, &row->record);
    row->seenMs = row->directMs = row->answeredMs = loopNowMs(loop);
    table->rows = row;
    table->count = 1;
    members->table = table;
    return members;
}

const MemberTable *membersTable(const Members *members)
{
    return members->table;
}

const Member *membersFind(const Members *members, const char *id)
{
    for (size_t i = 0; i < members->table->count; i++)
        if (strcmp(members->table->rows[i].record.id, id) == 0)
            return &members->table->rows[i];
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

bool memberQuiet(const Member *member, int64_t nowMs)
{
    return nowMs - member->seenMs > MEMBER_QUIET_MS;
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
    signalRaise(members->loop, &members->leaderChanged);
}

const char *membersLeaderId(const Members *members)
{
    return members->leaderId;
}

uint64_t membersLeaderEpoch(const Members *members)
{
    return members->leaderEpoch;
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
    const int64_t nowMs = loopNowMs(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < members->table->count; i++)
        if (members->table->rows[i].answeredMs != INT64_MIN &&
            nowMs - members->table->rows[i].answeredMs < MEMBER_QUIET_MS)
            count++;
    return count;
}

static void helloFill(Members *members, void *mem, Hello *hello)
{
    members->self.tick++;
    members->self.cluster = courierCluster(members->courier);
    merge(members, NULL, 0, NULL, false);
    const MemberTable *table = members->table;
    shapeCopy(&MemberRecordShape, &members->self, mem, &hello->self);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    hello->membersCount = 0;
    for (size_t i = 0; i < table->count; i++)
        if (!memberQuiet(&table->rows[i], loopNowMs(members->loop)))
            shapeCopy(&MemberRecordShape, &table->rows[i].record, mem, &hello->members[hello->membersCount++]);
    hello->cluster = members->self.cluster;
    hello->leaderEpoch = members->leaderEpoch;
    hello->leaderId = talloc_strdup(mem, members->leaderId);
}

static void helloTake(Members *members, const Hello *hello, bool answered)
{
    const uint64_t mine = courierCluster(members->courier);
    if (hello->cluster != 0 && mine != 0 && hello->cluster != mine)
        return; /* of another cluster: nothing it says is taken */
    if (mine == 0 && hello->cluster != 0) {
        courierSetCluster(members->courier, hello->cluster);
        ringSay(members->ring, RING_NOTE, loopNowMs(members->loop), "joins cluster %016" PRIx64, hello->cluster);
    }
    if (hello->membersCount <= MEMBERS_MAX)
        merge(members, hello->members, hello->membersCount, NULL, false);
    merge(members, &hello->self, 1, hello->self.id, answered);
    if (hello->leaderEpoch > members->leaderEpoch)
        membersSetLeader(members, hello->leaderEpoch, hello->leaderId);
}

static Status onHello(void *arg, void *mem, const void *ask, void *answer)
{
    Members *members = arg;
    const Hello *hello = ask;
    const uint64_t mine = courierCluster(members->courier);
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
    if (courierAsk(members->courier, mem, address, MESSAGE_HELLO, &HelloShape, &ask, ASK_EXPIRY_MS, &HelloShape,
                   &answer) == STATUS_OK)
        helloTake(members, &answer, true);
    talloc_free(mem);
}

static void seedMain(void *arg)
{
    SeedTask *seed = arg;
    Members *members = seed->members;
    while (!loopStopping(members->loop)) {
        const char *address = members->seeds[seed->at];
        bool again = strcmp(address, members->self.address) == 0;
        for (size_t i = 0; i < seed->at && !again; i++) /* fewer than three were told: some are there twice */
            again = strcmp(address, members->seeds[i]) == 0;
        if (!again)
            helloTo(members, address);
        loopSleep(members->loop, HELLO_MS);
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

/* A core asks every member in turn, each in a task of its own, so that those
 * that do not answer keep none waiting. */
static void lookMain(void *arg)
{
    Members *members = arg;
    for (size_t at = 0; !loopStopping(members->loop); at++) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[at % table->count];
        if (strcmp(row->record.id, members->self.id) != 0 && !memberQuiet(row, loopNowMs(members->loop))) {
            LookTask *look = talloc_zero(members, LookTask);
            look->members = members;
            strncpy(look->address, row->record.address, sizeof(look->address) - 1);
            loopSpawn(members->loop, "look", lookOne, look);
        }
        loopSleep(members->loop, SIGHT_MS / (int64_t)(table->count > SIGHT_MS ? SIGHT_MS : table->count));
    }
}

/* Speaks with a member at random, so that all are found though the seeds have
 * changed hands. */
static void roamMain(void *arg)
{
    Members *members = arg;
    while (!loopStopping(members->loop)) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[loopRandom(members->loop) % table->count];
        if (strcmp(row->record.id, members->self.id) != 0) {
            void *mem = talloc_new(members);
            helloTo(members, talloc_strdup(mem, row->record.address));
            talloc_free(mem);
        }
        loopSleep(members->loop, HELLO_MS);
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
    courierHandle(members->courier, MESSAGE_HELLO, &HelloShape, &HelloShape, onHello, members);
    courierHandle(members->courier, MESSAGE_VOTE, &VoteAskShape, &VoteAnswerShape, voteAsked, members);
    for (int i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, (size_t)i};
        loopSpawn(members->loop, "seed", seedMain, seed);
    }
    if (members->self.role == ROLE_CORE)
        loopSpawn(members->loop, "look", lookMain, members);
    else
        loopSpawn(members->loop, "roam", roamMain, members);
}
