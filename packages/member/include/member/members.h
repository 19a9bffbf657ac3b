#ifndef MEMBER_MEMBERS_H
#define MEMBER_MEMBERS_H

/* Membership. A process is given three seed addresses, finds the controllers through them, and keeps track of them.
 * Each controller knows every member and exchanges a hello with it within CONTACT_INTERVAL_MS. All other processes know
 * the controllers and a bounded partial view of the rest, so that the cost of membership for them does not grow with
 * the fleet. A hello carries a digest of the controllers that its sender knows, and the answer carries only the records
 * that the requester lacks; of two records of a member, the one with the higher (incarnation, tick) wins. Membership
 * reports which processes exist and were heard from recently. Which node leads is decided by packages/replication;
 * which workers are alive is decided by the leader (packages/heartbeat).
 *
 * Every node has one Members object. It also holds the newest leader known, the seeds' votes by which a cluster is
 * founded, and the number of members that this process reaches. That number determines the quorum partition, which is
 * the best partition of XenServer's HA design (the largest one; here it must also hold a majority of the voters, so
 * there is at most one): a leader that reaches far fewer members than another voter hands the lock over.
 *
 * Times are in ms on the process's own monotonic clock. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/recorder.h"
#include "loop/loop.h"
#include "member/record.h"
#include "wire/rpc.h"

#define SEEDS 3 /* number of seed addresses; a process is given no other addresses */

/* One row of the membership table. */
typedef struct Member {
    MemberRecord record;
    int64_t newest_record_ms; /* when its (incarnation, tick) last rose, whoever sent the record */
    /* when it last sent a hello or an answer directly to this process; INT64_MIN: never */
    int64_t last_direct_contact_ms;
    int64_t last_answer_ms; /* when it last answered this process, so that both directions work; INT64_MIN: never */
    int64_t row_added_ms;   /* when the row was created */
    void *mem;              /* talloc parent of what the record points to */
    /* used only by the exchange of hellos */
    uint64_t hash;                  /* hash of the record without its tick */
    uint64_t changed_sequence;      /* the table's sequence number when the record, apart from its tick, last changed */
    uint64_t watermark;             /* controllers: this member's changes were received up to this sequence number */
    uint64_t watermark_incarnation; /* the incarnation of the member that the watermark refers to */
    int64_t next_contact_ms;        /* controllers: when the member is contacted next */
} Member;

/* The membership table. Invariants: rows are ordered by id, and ids are unique; the incarnation of a row never
 * decreases; of the controllers with the same name, only the newest has a row, because a replaced disk never comes
 * back. */
typedef struct MemberTable {
    size_t count;
    const Member *rows;
} MemberTable;

/* The membership of one process. */
typedef struct Members Members;

/* --- construction ------------------------------------------------------------------ */

/* Creates the membership of a process on mem; copies self and seeds. If there are fewer than three seeds, an address is
 * given twice. Sets the identity of this process in the RPC endpoint. */
Members *members_new(void *mem, Loop *loop, Rpc *rpc, Recorder *recorder, const MemberRecord *self,
                     const char *const seeds[SEEDS]);
/* Starts to answer hellos and vote requests, and spawns the tasks that send hellos: one for each seed, and one that
 * contacts all members (a controller) or random known members (other roles). */
void members_start(Members *members);
/* Replaces the seeds, with effect from the next hello. */
void members_set_seeds(Members *members, const char *const seeds[SEEDS]);

/* --- the record of this process ------------------------------------------------------- */

/* The record of this process. Valid as long as members; its incarnation and tick increase. */
const MemberRecord *members_self(const Members *members);
/* Sets whether this process's disk has never been part of a cluster. */
void members_set_empty(Members *members, bool empty);
/* Graceful shutdown ("excluded" in XenServer's HA design): announces to the other members that this process is
 * leaving. */
void members_set_leaving(Members *members);

/* --- the table ------------------------------------------------------------------------ */

/* The membership table: all members in a controller; the controllers and a partial view in other processes. Valid until
 * the coroutine is next suspended. */
const MemberTable *members_table(const Members *members);
/* Suspends the coroutine, for at most REQUEST_TIMEOUT_MS for each controller that is not quiet. Returns the number of
 * all members, including quiet ones, and their records, allocated on mem: from this process's table if it is a
 * controller, otherwise from a controller's table, or from the partial view if no controller answers. */
size_t members_list_all(Members *members, void *mem, const MemberRecord **records);
/* The number of records that were not accepted since the start, because they were of another cluster or the table was
 * full. */
uint64_t members_refused_count(const Members *members);
/* The member with this id; NULL if there is none. Valid until the coroutine is next suspended. */
const Member *members_find_id(const Members *members, const char *id);
/* The controller with this disk; NULL if there is none. Valid until the coroutine is next suspended. */
const Member *members_find_disk(const Members *members, uint64_t disk);
/* The controller that has this name with another disk and has sent its record itself; NULL if there is none. Valid
 * until the coroutine is next suspended. */
const Member *members_other_disk(const Members *members, const char *name, uint64_t disk);
/* Whether the member is quiet: nothing was heard of it for MEMBER_SILENT_MS. Suspicion, not proof, that it has
 * ended. */
bool member_quiet(const Member *member, int64_t now_ms);
/* The number of members, including this process, that have answered it within MEMBER_SILENT_MS. For controllers only:
 * other processes do not contact all members. */
size_t members_reach(const Members *members);
/* The identity of the member's process, for requests that no other process at its address may serve. */
PeerIdentity member_peer(const MemberRecord *record);

/* --- hellos ---------------------------------------------------------------------------- */

/* Called when a process other than the known one has answered at the address: starts a task that exchanges hellos with
 * it. */
void members_contact(Members *members, const char *address);
/* Immediately sends hellos to all members that are not quiet, so that they learn of a new leader early. */
void members_announce(Members *members);
/* Called by processes other than controllers when no leader answers. Until members_found_leader is called, hellos are
 * sent to all known controllers every HELLO_MS, so that this process learns of the next leader, and a restarted leader
 * learns of this process. */
void members_seek_leader(Members *members);
/* Called when a leader answers: ends what members_seek_leader began. */
void members_found_leader(Members *members);

/* --- the leader -------------------------------------------------------------------------- */

/* Sets the leader of a term by its member id. Lower terms than the known one have no effect. */
void members_set_leader(Members *members, uint64_t term, const char *id);
/* The id of the newest leader known; "" if none is known. Valid until the coroutine is next suspended. */
const char *members_leader_id(const Members *members);
/* The term of the newest leader known; 0 if none is known. */
uint64_t members_leader_term(const Members *members);
/* The identity of the newest leader's process; its id is 0 if none is known. */
PeerIdentity members_leader_peer(const Members *members);
/* The address of the newest leader; NULL if it is not known. Valid until the coroutine is next suspended. */
const char *members_leader_address(const Members *members);
/* Raised when the newest leader known changes. */
Signal *members_leader_signal(Members *members);

/* --- founding a cluster: the seeds' votes --------------------------------------------------- */

/* Sets whether this process, as a seed, has a vote to grant; it grants one vote in its lifetime. */
void members_set_voter(Members *members, bool voter);
/* Suspends the coroutine, for at most REQUEST_TIMEOUT_MS. Requests the votes of all seeds to found a cluster with the
 * disk, or gives them back if give_back is true. ballot increases with each proposal of the disk. Returns the number of
 * votes granted; *seed_count is set to the number of different seeds. */
size_t members_request_votes(Members *members, uint64_t disk, uint64_t ballot, bool give_back, size_t *seed_count);
/* The lowest id of an empty disk among the controllers heard from recently; 0 if there is none. */
uint64_t members_lowest_empty_disk(const Members *members);

#endif
