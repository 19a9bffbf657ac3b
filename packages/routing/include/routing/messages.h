#ifndef ROUTING_MESSAGES_H
#define ROUTING_MESSAGES_H

#include "state/change.h"

/* The messages of request routing: forwarded requests, the configuration watch, and the changes that are sent again to
 * a leader in repair. The field names and their order are the wire format: new fields are added at the end only, and a
 * process of an earlier release skips them. */

/* A committed change, as the repair buffers hold it. */
#define REPAIR_ITEM_FIELDS(X) \
    X(U64, change, 0)         \
    X(U64, index, 0)          \
    X(BIN, payload, 0)
SHAPE(RepairItem, REPAIR_ITEM_FIELDS)

/* The changes that are sent for repair. */
#define REPAIR_LIST_FIELDS(X) X(LST, items, RepairItem)
SHAPE(RepairList, REPAIR_LIST_FIELDS)

/* An answer without content. */
#define NOTHING_FIELDS(X) X(U64, nothing, 0)
SHAPE(Nothing, NOTHING_FIELDS)

/* MESSAGE_RETELL: a leader in repair, whose disks may have lost committed changes, requests those that were
 * acknowledged. Configurations up to version config_have are left out, since a large one fills a narrow link. */
#define RETELL_ASK_FIELDS(X) \
    X(U64, nothing, 0)       \
    X(U64, config_have, 0)
SHAPE(RetellAsk, RETELL_ASK_FIELDS)

/* A caller's request, forwarded to the leader; its result is a ForwardAnswer. */
#define FORWARD_ASK_FIELDS(X)                                                                                        \
    X(TXT, method, 0)                                                                                                \
    X(TXT, path, 0)                                                                                                  \
    X(TXT, query, 0)                                                                                                 \
    X(BIN, body, 0)                                                                                                  \
    X(FLAG, relay, 0)     /* the receiver does not lead and is to relay the request to the leader */                 \
    X(TXT, host, 0)       /* the caller's Host header, by which a queue's entry is found */                          \
    X(U64, wait_ms, 0)    /* time for which the sender waits for the answer, in ms; 0: unknown */                    \
    X(FLAG, again, 0)     /* a retry: an earlier attempt got no answer from a leader that was lost */                \
    X(TXT, carrier, 0)    /* id of the entry point that forwards the request and will hold the committed changes for \
                             repair; empty: a controller forwards it */                                              \
    X(BIN, key_digest, 0) /* of the caller's key; empty: the caller sent none */
SHAPE(ForwardAsk, FORWARD_ASK_FIELDS)

/* The leader's HTTP result and the changes that were committed for the request, or the refusal of a process that does
 * not lead. */
#define FORWARD_ANSWER_FIELDS(X)                                                                 \
    X(U64, code, 0)                                                                              \
    X(TXT, kind, 0)                                                                              \
    X(BIN, body, 0)                                                                              \
    X(U64, retry_after_s, 0)                                                                     \
    X(LST, repair_items, RepairItem)                                                             \
    X(U64, status, 0)                                                                            \
    X(U64, leader_term, 0) /* term of the newest leader known to a process that does not lead */ \
    X(TXT, leader_id, 0)
SHAPE(ForwardAnswer, FORWARD_ANSWER_FIELDS)

/* The request of the configuration watch. It is answered once there is a version above have or, if the document is
 * requested too (wants), a version above text_have, the version whose document the requester has. */
#define CONFIG_WATCH_ASK_FIELDS(X)                                                                                  \
    X(U64, have, 0)                                                                                                 \
    X(U64, text_have, 0)                                                                                            \
    X(FLAG, wants, 0)     /* request the document whatever its size; else small changes only */                     \
    X(FLAG, brief, 0)     /* the answer is to use sets, not text; earlier releases send false */                    \
    X(FLAG, first, 0)     /* the first request to this leader: answered immediately, to report whether it serves */ \
    X(U64, piece_most, 0) /* largest piece, in bytes; a larger document is sent in pieces; 0: not in pieces */      \
    X(U64, piece_of, 0)   /* version whose document is being fetched; 0: none */                                    \
    X(U64, piece_from, 0) /* number of bytes of it already fetched */
SHAPE(ConfigWatchAsk, CONFIG_WATCH_ASK_FIELDS)

/* The answer of the configuration watch. A requester of an earlier release reads text, later ones sets. */
#define CONFIG_WATCH_ANSWER_FIELDS(X)                                                                              \
    X(U64, term, 0)                                                                                                \
    X(U64, version, 0)                                                                                             \
    X(TXT, text, 0)                                                                                                \
    X(ONE, limits, ConfigLimits)                                                                                   \
    X(LST, sets, ConfigSet)      /* the changes since text_have, or one complete document */                       \
    X(FLAG, waits, 0)            /* this leader does not serve callers yet */                                      \
    X(U64, size, 0)              /* upper bound on the size of the document, in bytes */                           \
    X(ONE, piece_set, ConfigSet) /* the change that the piece belongs to, without its text; version 0: no piece */ \
    X(U64, piece_from, 0)        /* offset of the piece in the text, in bytes */                                   \
    X(U64, piece_length, 0)      /* length of the entire text, in bytes */                                         \
    X(BIN, piece, 0)
SHAPE(ConfigWatchAnswer, CONFIG_WATCH_ANSWER_FIELDS)

#endif
