#ifndef MEMBER_RECORD_H
#define MEMBER_RECORD_H

#include "wire/shape.h"

#define ROLE_LIST(X)       \
    X(CONTROLLER, "core")  \
    X(ENTRY_POINT, "gate") \
    X(AGENT, "agent")

typedef enum Role {
#define X(name, word) ROLE_##name,
    ROLE_LIST(X)
#undef X
        ROLE_COUNT
} Role;

const char *role_word(Role role);

/* What a member says of itself. Only the member itself makes new ones: of two
 * records the one with the higher (incarnation, tick) is the newer.
 * Nothing identifies a member by its address. */
#define MEMBER_FIELDS(X)                                                                  \
    X(TXT, id, 0) /* the name; for a controller, the name and its disk's id */            \
    X(TXT, name, 0)                                                                       \
    X(U64, role, 0)                                                                       \
    X(TXT, zone, 0)                                                                       \
    X(TXT, address, 0) /* where peers ask it */                                           \
    X(TXT, http, 0)    /* where callers ask it */                                         \
    X(U64, incarnation, 0)                                                                \
    X(U64, tick, 0)    /* grows while it lives */                                         \
    X(U64, cluster, 0) /* 0: it knows none */                                             \
    X(U64, disk, 0)    /* controllers: the id of the disk, which is what holds a voter */ \
    X(FLAG, empty, 0)  /* controllers: the disk has never been part of a cluster */       \
    X(FLAG, leaving, 0)
SHAPE(MemberRecord, MEMBER_FIELDS)

/* Table and leader as known to the one that speaks. */
#define HELLO_FIELDS(X)           \
    X(ONE, self, MemberRecord)    \
    X(LST, members, MemberRecord) \
    X(U64, cluster, 0)            \
    X(U64, leader_term, 0)        \
    X(TXT, leader_id, 0)
SHAPE(Hello, HELLO_FIELDS)

/* A controller with an empty disk asks a seed for its vote to found the cluster, or
 * gives it back. round: grows with each time that it stands. */
#define VOTE_ASK_FIELDS(X) \
    X(U64, disk, 0)        \
    X(U64, round, 0)       \
    X(FLAG, back, 0)
SHAPE(VoteAsk, VOTE_ASK_FIELDS)

#define VOTE_ANSWER_FIELDS(X) X(FLAG, granted, 0)
SHAPE(VoteAnswer, VOTE_ANSWER_FIELDS)

#endif
