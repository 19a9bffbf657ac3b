#ifndef MEMBER_SRC_STATE_H
#define MEMBER_SRC_STATE_H

/* The state of the package, on which all its files work. No functions are declared here; each source file has its own
 * header. */

#include "base/log_event.h"
#include "loop/loop.h"
#include "member/members.h"
#include "member/record.h"
#include "wire/rpc.h"

/* The vote that this process, as a seed, has to grant to a founder. Invariant: the vote is granted to one disk until
 * that disk gives it back; a proposal that was given back is never granted again, however late a copy of its request
 * arrives. */
typedef struct Vote {
    bool available; /* this process has a vote to grant */
    /* The disk that the vote is granted to, and the number of the proposal; disk 0: not granted. */
    uint64_t disk, ballot;
    uint64_t returned_disk, returned_ballot; /* the last proposal that was given back */
} Vote;

/* The membership of a process. Invariants: table is never NULL and always has a row for this process; the incarnation
 * of self never decreases; leader_term never decreases. */
struct Members {
    Loop *loop;
    Rpc *rpc;
    Recorder *recorder;
    MemberRecord self;
    const char *seeds[SEEDS];
    size_t first_seed; /* index of the seed that is asked first */
    /* Index in the table at which the choice of controllers starts, so that processes do not all ask the same ones. */
    size_t first_contact;
    MemberTable *table;
    size_t capacity;   /* number of rows allocated in table */
    uint64_t sequence; /* number of the newest change of a row apart from its tick */
    uint64_t refused;  /* number of records that were not accepted */
    uint64_t leader_term;
    char *leader_id; /* "": none is known */
    Signal leader_changed;
    /* when a controller of the cluster last sent a request or an answer; INT64_MIN: never */
    int64_t controller_heard_ms;
    int64_t seek_since_ms; /* since when no leader answers (members_seek_leader); INT64_MAX: one answers */
    Signal seek_started;   /* raised when this process starts to look for a leader */
    Vote vote;
};

#endif
