#ifndef MEMBER_SRC_INSIDE_H
#define MEMBER_SRC_INSIDE_H

#include "member/members.h"

/* The vote of a seed. Invariant: given to one disk until that gives it back; a
 * round that was given back gets it no more, however late its question comes. */
typedef struct Vote {
    bool mine;            /* this process has one to give */
    uint64_t disk, round; /* 0: not given */
    uint64_t back_disk, back_round;
} Vote;

/* Invariant: table is never null; self is also a row of it. */
struct Members {
    Loop *loop;
    Rpc *rpc;
    Recorder *recorder;
    MemberRecord self;
    const char *seeds[SEEDS];
    MemberTable *table;
    size_t room;
    uint64_t leader_term;
    char *leader_id;
    Signal leader_changed;
    int64_t rest_until_ms; /* hellos are spaced out until then */
    Signal hurry;          /* ... no longer */
    Vote vote;
};

Status vote_asked(void *arg, void *mem, const void *question, void *answer);

#endif
