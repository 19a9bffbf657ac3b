#ifndef MEMBER_MEMBERS_H
#define MEMBER_MEMBERS_H

#include "base/recorder.h"
#include "loop/loop.h"
#include "member/record.h"
#include "wire/rpc.h"

#define SEEDS 3 /* count; three seed addresses are all a process is told */

/* One row of the table: the record and when it was last seen to grow. */
typedef struct Member {
    MemberRecord record;
    int64_t seen_ms;     /* its tick rose, told by anybody */
    int64_t direct_ms;   /* it spoke to us itself; INT64_MIN: never */
    int64_t answered_ms; /* it answered us: the way is open there and back; INT64_MIN: never */
    int64_t since_ms;    /* this row came to be */
    void *mem;           /* of the record */
} Member;

/* Invariants: rows are ordered by id and ids are unique; of the controllers with one name
 * there is the newest alone: what stood there with another disk is gone for good. */
typedef struct MemberTable {
    size_t count;
    const Member *rows;
} MemberTable;

/* Finds everybody from the seeds and keeps finding them. */
typedef struct Members Members;

Members *members_new(void *mem, Loop *loop, Rpc *rpc, Recorder *recorder, const MemberRecord *self,
                     const char *const seeds[SEEDS]);
/* Other seeds from now on. */
void members_seeds(Members *members, const char *const seeds[SEEDS]);
/* Spawns one task for each seed and one that roams the table. */
void members_start(Members *members);
/* Whether this process, as a seed, has a vote to give to a founder; it has one in its life. */
void members_set_voter(Members *members, bool voter);
/* Waits. Asks all seeds for their votes, or gives them back: how many of how many
 * seeds said yes. round grows each time that the disk stands anew. */
size_t members_votes(Members *members, uint64_t disk, uint64_t round, bool back, size_t *seed_count);
/* The empty disk with the lowest id among the controllers heard of; 0: none. */
uint64_t members_lowest_empty(const Members *members);
/* Valid until the next wait. */
const MemberTable *members_table(const Members *members);
/* Null when there is none. Valid until the next wait. */
const Member *members_find(const Members *members, const char *id);
const Member *members_find_disk(const Members *members, uint64_t disk);
/* The controller that has come back under this name with another disk, and has said so
 * itself; null: none has. */
const Member *members_other_disk(const Members *members, const char *name, uint64_t disk);
const MemberRecord *members_self(const Members *members);
bool member_quiet(const Member *member, int64_t now_ms);

void members_set_empty(Members *members, bool empty);
void members_set_leaving(Members *members);
/* The newest leader known; empty id when none is. */
void members_set_leader(Members *members, uint64_t term, const char *id);
/* Says hello to everybody: a new leader is heard of at once. */
void members_announce(Members *members);
const char *members_leader_id(const Members *members);
uint64_t members_leader_term(const Members *members);
/* Of one that is to be asked, and no other. */
PeerLife member_peer(const MemberRecord *record);
/* Another process than the one known has answered there: it is asked who it is. */
void members_meet(Members *members, const char *address);
/* Who is meant when the leader is asked; id 0: none is known. */
PeerLife members_leader_peer(const Members *members);
/* The address where the leader is asked, or null. */
const char *members_leader_address(const Members *members);
/* The leader is heard from otherwise: until then hellos are spaced out, so that a
 * thousand agents do not drown the seeds. 0: it is not, any more. */
void members_rest(Members *members, int64_t until_ms);
/* Raised when the leader known here changes. */
Signal *members_leader_signal(Members *members);
/* The number of members, with ourselves, that have answered us of late. Controllers only:
 * others do not ask everybody. */
size_t members_sight(const Members *members);

#endif
