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

/* The role's name in texts; "unlisted" for a role of a later release. */
const char *role_word(Role role);

/* The record of a member. Only the member itself creates new versions; of two versions the one with the higher
 * (incarnation, tick) is newer. The address does not identify a member, since addresses may be reused. */
#define MEMBER_FIELDS(X)                                                                   \
    X(TXT, id, 0) /* unique: the name; for a controller, the name and its disk's id */     \
    X(TXT, name, 0)                                                                        \
    X(U64, role, 0)                                                                        \
    X(TXT, zone, 0)                                                                        \
    X(TXT, address, 0)     /* address for other members */                                 \
    X(TXT, http, 0)        /* address for callers */                                       \
    X(U64, incarnation, 0) /* increases with each start of the process */                  \
    X(U64, tick, 0)        /* increases with each hello */                                 \
    X(U64, cluster, 0)     /* 0: none is known */                                          \
    X(U64, disk, 0)        /* controllers: the id of the disk, which identifies a voter */ \
    X(FLAG, empty, 0)      /* controllers: the disk has never been part of a cluster */    \
    X(FLAG, leaving, 0)    /* graceful shutdown ("excluded" in XenServer's HA design) */
SHAPE(MemberRecord, MEMBER_FIELDS)

/* A hello, used both as request and as answer: the sender's record, records of other members, and the cluster and the
 * leader that the sender knows (0 and "" if none). A request carries few records or none; an answer carries those that
 * the requester lacks (member/src/difference.h). Releases before the digest send all records that they know in both. */
#define HELLO_FIELDS(X)                                                                                              \
    X(ONE, self, MemberRecord)                                                                                       \
    X(LST, members, MemberRecord)                                                                                    \
    X(U64, cluster, 0)                                                                                               \
    X(U64, leader_term, 0)                                                                                           \
    X(TXT, leader_id, 0)                                                                                             \
    X(U64, digest, 0)           /* digest of the known controllers that are not quiet; 0: from an earlier release */ \
    X(U64, sequence, 0)         /* sequence number of the newest change of the sender's table */                     \
    X(U64, have, 0)             /* request of a controller: watermark up to which it has the receiver's changes */   \
    X(U64, have_id, 0)          /* process that the watermark refers to (PeerIdentity) */                            \
    X(U64, have_incarnation, 0) /* incarnation of that process */                                                    \
    X(FLAG, whole, 0)           /* request: the answer must contain the receiver's complete table */                 \
    X(FLAG, seeks, 0)           /* no controller of its cluster contacts the sender: they must learn of it */
SHAPE(Hello, HELLO_FIELDS)

/* Request by which a controller with an empty disk asks a seed for its vote to found the cluster, or (back) gives the
 * vote back. ballot: the number of the controller's proposal, which increases. */
#define VOTE_ASK_FIELDS(X) \
    X(U64, disk, 0)        \
    X(U64, ballot, 0)      \
    X(FLAG, back, 0)
SHAPE(VoteAsk, VOTE_ASK_FIELDS)

#define VOTE_ANSWER_FIELDS(X) X(FLAG, granted, 0)
SHAPE(VoteAnswer, VOTE_ANSWER_FIELDS)

#endif
