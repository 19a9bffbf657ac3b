#ifndef MEMBER_MEMBERS_H
#define MEMBER_MEMBERS_H

/* Membership: a process is given three seed addresses, finds the controllers from them, and keeps finding them. Each
 * controller knows every member and exchanges a hello with it within REACH_MS; all others know the controllers and
 * a bounded partial view of the rest, so what membership costs them does not grow with the fleet. A hello
 * carries a digest of the controllers that its sender knows, and the answer only the records that the asker
 * lacks; the newer (incarnation, tick) of a record wins. It says who exists and was heard of lately. Who leads is
 * decided by packages/replication, which workers are alive by the leader (packages/heartbeat).
 *
 * Every node has one. Also kept here: the newest leader known, the seeds' votes that found a cluster,
 * and how many members this process reaches. That number decides the quorum partition, which is the
 * paper's best partition (the largest; it must hold a majority of the voters here, so there is at
 * most one): a leader that reaches far fewer than another voter hands the lock over.
 *
 * Times are ms on the own process's steady clock. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/recorder.h"
#include "loop/loop.h"
#include "member/record.h"
#include "wire/rpc.h"

#define SEEDS 3 /* count; three seed addresses are all that a process is given */

/* One row of the table. */
typedef struct Member {
    MemberRecord record;
    int64_t seen_ms;     /* when its (incarnation, tick) last rose, whoever sent the record */
    int64_t direct_ms;   /* when it last sent us a hello or an answer itself; INT64_MIN: never */
    int64_t answered_ms; /* when it last answered us, so that both directions work; INT64_MIN: never */
    int64_t since_ms;    /* when the row was created */
    void *mem;           /* talloc parent of what the record points to */
    /* for the exchange alone */
    uint64_t hash;              /* of the record without its tick */
    uint64_t changed;           /* the table's sequence when the record last changed beside its tick */
    uint64_t taken;             /* a controller has this member's changes up to here ... */
    uint64_t taken_incarnation; /* ... of this incarnation */
    int64_t contact_ms;         /* when a controller contacts it next */
} Member;

/* Invariants: rows are ordered by id, and ids are unique; a row's incarnation never falls; of the
 * controllers with one name only the newest has a row: a disk that stood there before never comes back. */
typedef struct MemberTable {
    size_t count;
    const Member *rows;
} MemberTable;

typedef struct Members Members;

/* --- construction ------------------------------------------------------------------ */

/* On mem; self and seeds are copied. Where there are fewer than three seeds, an address is given twice.
 * Tells the RPC endpoint who this process is. */
Members *members_new(void *mem, Loop *loop, Rpc *rpc, Recorder *recorder, const MemberRecord *self,
                     const char *const seeds[SEEDS]);
/* Answers hellos and votes from now on, and spawns the tasks that send hellos: one for each seed, and
 * one that contacts all members (a controller) or random known ones (others). */
void members_start(Members *members);
/* Replaces the seeds, from the next hello on. */
void members_seeds(Members *members, const char *const seeds[SEEDS]);

/* --- what this process says of itself ----------------------------------------------- */

/* Valid as long as members; its incarnation and tick rise. */
const MemberRecord *members_self(const Members *members);
/* Whether the own disk has never been part of a cluster. */
void members_set_empty(Members *members, bool empty);
/* Graceful shutdown (the paper's "excluded"): the others learn that this process is leaving. */
void members_set_leaving(Members *members);

/* --- the table ------------------------------------------------------------------------ */

/* A controller's has all members; that of others, the controllers and a partial view. Valid until the next wait. */
const MemberTable *members_table(const Members *members);
/* Waits, at most ASK_TIMEOUT_MS for each controller that is not quiet. All members, also the quiet ones, on mem: from
 * the own table or from a controller's; from the own partial view where none answers. */
size_t members_whole(Members *members, void *mem, const MemberRecord **records);
/* How many records were not taken since the start: of another cluster, or the table was full. */
uint64_t members_refused(const Members *members);
/* The member with this id; null: there is none. Valid until the next wait. */
const Member *members_find(const Members *members, const char *id);
/* The controller with this disk; null: there is none. Valid until the next wait. */
const Member *members_find_disk(const Members *members, uint64_t disk);
/* The controller that has this name with another disk, and has said so itself; null: there is none. Valid until
 * the next wait. */
const Member *members_other_disk(const Members *members, const char *name, uint64_t disk);
/* Whether nothing was heard of it for MEMBER_QUIET_MS: suspicion, not proof, that it has ended. */
bool member_quiet(const Member *member, int64_t now_ms);
/* How many members, with this process, have answered it within MEMBER_QUIET_MS. Controllers only: others
 * do not ask everybody. */
size_t members_reach(const Members *members);
/* The process to be asked, so that no other at its address carries the request out. */
PeerIdentity member_peer(const MemberRecord *record);

/* --- hellos ---------------------------------------------------------------------------- */

/* Another process than the known one has answered at the address: a task exchanges hellos with it. */
void members_meet(Members *members, const char *address);
/* Sends hellos to all members that are not quiet, at once: a new leader is known early. */
void members_announce(Members *members);
/* No leader answers this process, which is no controller: until members_found_leader it sends hellos to all
 * controllers known every HELLO_MS, so that it hears of the next leader, and one that has restarted hears of it. */
void members_seek_leader(Members *members);
/* A leader answers. */
void members_found_leader(Members *members);

/* --- the leader -------------------------------------------------------------------------- */

/* A leader of this term is known, by its member's id. Lower terms change nothing. */
void members_set_leader(Members *members, uint64_t term, const char *id);
/* The id of the newest leader known; "": none. Valid until the next wait. */
const char *members_leader_id(const Members *members);
/* Its term; 0: none is known. */
uint64_t members_leader_term(const Members *members);
/* The process to be asked as the leader; id 0: none is known. */
PeerIdentity members_leader_peer(const Members *members);
/* Where the leader is asked; null: not known. Valid until the next wait. */
const char *members_leader_address(const Members *members);
/* Raised when the leader known here changes. */
Signal *members_leader_signal(Members *members);

/* --- founding a cluster: the seeds' votes --------------------------------------------------- */

/* Sets whether this process, as a seed, has a vote to give; it has one in its lifetime. */
void members_set_voter(Members *members, bool voter);
/* Waits, at most ASK_TIMEOUT_MS. Asks all seeds for their votes to found with the disk, or (back) gives
 * them back. round grows with each proposal of the disk. Returns how many said yes; seed_count (out) is
 * how many different seeds there are. */
size_t members_votes(Members *members, uint64_t disk, uint64_t ballot, bool back, size_t *seed_count);
/* The lowest empty disk among the controllers heard of lately; 0: there is none. */
uint64_t members_lowest_empty(const Members *members);

#endif
