#ifndef MEMBER_MEMBERS_H
#define MEMBER_MEMBERS_H

#include "base/ring.h"
#include "loop/loop.h"
#include "member/record.h"
#include "wire/courier.h"

#define SEEDS 3 /* count; three seed addresses are all a process is told */

/* One row of the table: the record and when it was last seen to grow. */
typedef struct Member {
    MemberRecord record;
    int64_t seenMs;     /* its tick rose, told by anybody */
    int64_t directMs;   /* it spoke to us itself; INT64_MIN: never */
    int64_t answeredMs; /* it answered us: the way is open there and back; INT64_MIN: never */
    int64_t sinceMs;    /* this row came to be */
    void *mem;          /* of the record */
} Member;

/* Invariants: rows are ordered by id and ids are unique; of the cores with one name
 * there is the newest alone: what stood there with another disk is gone for good. */
typedef struct MemberTable {
    size_t count;
    const Member *rows;
} MemberTable;

/* Finds everybody from the seeds and keeps finding them. */
typedef struct Members Members;

Members *membersNew(void *mem, Loop *loop, Courier *courier, Ring *ring, const MemberRecord *self,
                    const char *const seeds[SEEDS]);
/* Other seeds from now on. */
void membersSeeds(Members *members, const char *const seeds[SEEDS]);
/* Spawns one task for each seed and one that roams the table. */
void membersStart(Members *members);
/* Whether this process, as a seed, has a vote to give to a founder; it has one in its life. */
void membersSetVoter(Members *members, bool voter);
/* Waits. Asks all seeds for their votes, or gives them back: how many of how many
 * seeds said yes. round grows each time that the disk stands anew. */
size_t membersVotes(Members *members, uint64_t disk, uint64_t round, bool back, size_t *seedCount);
/* The empty disk with the lowest id among the cores heard of; 0: none. */
uint64_t membersLowestEmpty(const Members *members);
/* Valid until the next wait. */
const MemberTable *membersTable(const Members *members);
/* Null when there is none. Valid until the next wait. */
const Member *membersFind(const Members *members, const char *id);
const Member *membersFindDisk(const Members *members, uint64_t disk);
/* The core that has come back under this name with another disk, and has said so
 * itself; null: none has. */
const Member *membersOtherDisk(const Members *members, const char *name, uint64_t disk);
const MemberRecord *membersSelf(const Members *members);
bool memberQuiet(const Member *member, int64_t now_ms);

void membersSetEmpty(Members *members, bool empty);
void membersSetLeaving(Members *members);
/* The newest leader known; empty id when none is. */
void membersSetLeader(Members *members, uint64_t epoch, const char *id);
/* Says hello to everybody: a new leader is heard of at once. */
void membersAnnounce(Members *members);
const char *membersLeaderId(const Members *members);
uint64_t membersLeaderEpoch(const Members *members);
/* Of one that is to be asked, and no other. */
PeerLife memberPeer(const MemberRecord *record);
/* Another process than the one known has answered there: it is asked who it is. */
void membersMeet(Members *members, const char *address);
/* Who is meant when the leader is asked; id 0: none is known. */
PeerLife membersLeaderPeer(const Members *members);
/* The address where the leader is asked, or null. */
const char *membersLeaderAddress(const Members *members);
/* The leader is heard from otherwise: until then hellos are spaced out, so that a
 * thousand agents do not drown the seeds. 0: it is not, any more. */
void membersRest(Members *members, int64_t until_ms);
/* Raised when the leader known here changes. */
Signal *membersLeaderSignal(Members *members);
/* The number of members, with ourselves, that have answered us of late. Cores only:
 * others do not ask everybody. */
size_t membersSight(const Members *members);

#endif
