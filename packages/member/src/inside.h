#ifndef MEMBER_SRC_INSIDE_H
#define MEMBER_SRC_INSIDE_H

/* The state of the package: what all its files work on. It declares no functions; each file's
 * own header does. */

#include "base/log_event.h"
#include "loop/loop.h"
#include "member/members.h"
#include "member/record.h"
#include "wire/rpc.h"

/* The vote that this process, as a seed, has to give to a founder.
 * Invariant: it is given to one disk until that disk gives it back; for a proposal that was
 * given back it is never granted again, however late a copy of its request arrives. */
typedef struct Vote {
    bool mine;             /* this process has a vote to give */
    uint64_t disk, ballot; /* the disk that it was given to, and the number of the proposal; disk 0: not given */
    uint64_t back_disk, back_proposal; /* the last proposal that was given back */
} Vote;

/* Invariants: table is never null and always has a row for this process; the incarnation of
 * self never falls; leader_term never falls. */
struct Members {
    Loop *loop;
    Rpc *rpc;
    Recorder *recorder;
    MemberRecord self;
    const char *seeds[SEEDS];
    size_t seed_first;    /* index of the seed that is asked first */
    size_t contact_first; /* index in the table from which on controllers are drawn, so that not all ask the same */
    MemberTable *table;
    size_t capacity;   /* allocated rows of table */
    uint64_t sequence; /* of the newest change of a row beside its tick */
    uint64_t refused;  /* records that were not taken */
    uint64_t leader_term;
    char *leader_id; /* "": none is known */
    Signal leader_changed;
    int64_t controller_ms; /* when a controller of the cluster last asked or answered; INT64_MIN: never */
    int64_t seek_ms;       /* since when no leader answers (members_seek_leader); INT64_MAX: one does */
    Signal seeks;          /* raised when that begins */
    Vote vote;
};

#endif
