#ifndef MEMBER_RECORD_H
#define MEMBER_RECORD_H

/* The messages of membership: a member's record, the hello, and the seeds' votes. */

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

/* The role's name in texts; "unlisted" for one of a later release. */
const char *role_word(Role role);

/* What a member says of itself. Only the member itself makes new ones; of two records the one with
 * the higher (incarnation, tick) is newer. The address does not identify a member: it may be used again. */
#define MEMBER_FIELDS(X)                                                                         \
    X(TXT, id, 0) /* unique: the name; of a controller, the name and its disk's id */            \
    X(TXT, name, 0)                                                                              \
    X(U64, role, 0)                                                                              \
    X(TXT, zone, 0)                                                                              \
    X(TXT, address, 0)     /* where peers reach it */                                            \
    X(TXT, http, 0)        /* where callers reach it */                                          \
    X(U64, incarnation, 0) /* grows with each start of the process */                            \
    X(U64, tick, 0)        /* grows with each hello */                                           \
    X(U64, cluster, 0)     /* 0: it knows none */                                                \
    X(U64, disk, 0)        /* controllers: the id of the disk, by which a voter is identified */ \
    X(FLAG, empty, 0)      /* controllers: the disk has never been part of a cluster */          \
    X(FLAG, leaving, 0)    /* graceful shutdown (the paper's "excluded") */
SHAPE(MemberRecord, MEMBER_FIELDS)

/* Request and answer alike: the sender, records of others, and the cluster and leader that the sender knows (0 and "":
 * none). A request carries few records or none, an answer those that the asker lacks (member/src/difference.h).
 * Releases before the digest send all that they know in both. */
#define HELLO_FIELDS(X)                                                                                                \
    X(ONE, self, MemberRecord)                                                                                         \
    X(LST, members, MemberRecord)                                                                                      \
    X(U64, cluster, 0)                                                                                                 \
    X(U64, leader_term, 0)                                                                                             \
    X(TXT, leader_id, 0)                                                                                               \
    X(U64, digest, 0)           /* of the controllers known that are not quiet; 0: of an earlier release */            \
    X(U64, sequence, 0)         /* the newest change of the sender's table */                                          \
    X(U64, have, 0)             /* request of a controller: watermark, it has the receiver's changes up to this ... */ \
    X(U64, have_id, 0)          /* ... if the receiver is this process (PeerIdentity) ... */                           \
    X(U64, have_incarnation, 0) /* ... in this incarnation */                                                          \
    X(FLAG, whole, 0)           /* request: the answer is to have the receiver's whole table */                        \
    X(FLAG, seeks, 0)           /* no controller of its cluster contacts the sender: they are to hear of it */
SHAPE(Hello, HELLO_FIELDS)

/* A controller with an empty disk asks a seed for its vote to found the cluster, or (back) gives it back. round: the
 * number of its proposal, which grows. */
#define VOTE_ASK_FIELDS(X) \
    X(U64, disk, 0)        \
    X(U64, ballot, 0)      \
    X(FLAG, back, 0)
SHAPE(VoteAsk, VOTE_ASK_FIELDS)

#define VOTE_ANSWER_FIELDS(X) X(FLAG, granted, 0)
SHAPE(VoteAnswer, VOTE_ANSWER_FIELDS)

#endif
