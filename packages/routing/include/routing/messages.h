#ifndef ROUTING_MESSAGES_H
#define ROUTING_MESSAGES_H

#include "state/change.h"

/* The messages of request routing: a forwarded request, the configuration watch, and the
 * changes that are sent again to a leader in repair. Field names and their order are the
 * wire format: new fields are added at the end only, and an older process skips them. */

/* A committed change, as the repair buffers keep it. */
#define REPAIR_ITEM_FIELDS(X) \
    X(U64, change, 0)         \
    X(U64, index, 0)          \
    X(BIN, payload, 0)
SHAPE(RepairItem, REPAIR_ITEM_FIELDS)

#define REPAIR_LIST_FIELDS(X) X(LST, items, RepairItem)
SHAPE(RepairList, REPAIR_LIST_FIELDS)

/* An answer without content. */
#define NOTHING_FIELDS(X) X(U64, nothing, 0)
SHAPE(Nothing, NOTHING_FIELDS)

/* MESSAGE_RETELL: a leader in repair, whose disks may have lost committed changes, asks for those that were
 * acknowledged. Configurations up to the version config_have are left out, since a large one fills a narrow link. */
#define RETELL_ASK_FIELDS(X) \
    X(U64, nothing, 0)       \
    X(U64, config_have, 0)
SHAPE(RetellAsk, RETELL_ASK_FIELDS)

/* A caller's request, carried to the leader; its result comes back as a ForwardAnswer. */
#define FORWARD_ASK_FIELDS(X)                                                                                          \
    X(TXT, method, 0)                                                                                                  \
    X(TXT, path, 0)                                                                                                    \
    X(TXT, query, 0)                                                                                                   \
    X(BIN, body, 0)                                                                                                    \
    X(FLAG, relay, 0)     /* to a controller that does not lead: it relays the request to the leader */                \
    X(TXT, host, 0)       /* the caller's Host header: entries of queues are found by it */                            \
    X(U64, wait_ms, 0)    /* ms; nobody waits for the answer after this; 0: not known */                               \
    X(FLAG, again, 0)     /* a retry: an earlier attempt went to a leader that was lost, and got no answer */          \
    X(TXT, carrier, 0)    /* id of the entry point that will keep what is committed for repair; empty: a controller */ \
    X(BIN, key_digest, 0) /* of the caller's key; empty: it gave none */
SHAPE(ForwardAsk, FORWARD_ASK_FIELDS)

/* The leader's HTTP result with the changes that were committed for it, or the refusal of a
 * process that does not lead. */
#define FORWARD_ANSWER_FIELDS(X)                                                            \
    X(U64, code, 0)                                                                         \
    X(TXT, kind, 0)                                                                         \
    X(BIN, body, 0)                                                                         \
    X(U64, retry_after_s, 0)                                                                \
    X(LST, repair_items, RepairItem)                                                        \
    X(U64, status, 0)                                                                       \
    X(U64, leader_term, 0) /* of the newest leader known to a process that does not lead */ \
    X(TXT, leader_id, 0)
SHAPE(ForwardAnswer, FORWARD_ANSWER_FIELDS)

/* The request of the configuration watch. It is answered when there is a version above have, or, when the document is
 * wanted too (wants), a version above text_have, whose document the asker has. */
#define CONFIG_WATCH_ASK_FIELDS(X)                                                                                     \
    X(U64, have, 0)                                                                                                    \
    X(U64, text_have, 0)                                                                                               \
    X(FLAG, wants, 0) /* the document whatever its size; else small changes only */                                    \
    X(FLAG, brief, 0) /* the answer has sets, not text; earlier releases send false */                                 \
    X(FLAG, first, 0) /* the first request to this leader: it is answered at once, to say whether the leader serves */ \
    X(U64, piece_most, 0) /* bytes; a larger document comes in pieces of so many; 0: it comes at once */               \
    X(U64, piece_of, 0)   /* the version whose document is being fetched; 0: none */                                   \
    X(U64, piece_from, 0) /* bytes; how much of it has been fetched */
SHAPE(ConfigWatchAsk, CONFIG_WATCH_ASK_FIELDS)

#define CONFIG_WATCH_ANSWER_FIELDS(X)                                                                             \
    X(U64, term, 0)                                                                                               \
    X(U64, version, 0)                                                                                            \
    X(TXT, text, 0)                                                                                               \
    X(ONE, limits, ConfigLimits)                                                                                  \
    X(LST, sets, ConfigSet)      /* the changes since text_have, or one whole document */                         \
    X(FLAG, waits, 0)            /* this leader does not serve callers yet */                                     \
    X(U64, size, 0)              /* bytes; an upper bound on the whole document */                                \
    X(ONE, piece_set, ConfigSet) /* the change the piece is of, without its text; version 0: there is no piece */ \
    X(U64, piece_from, 0)        /* bytes; of the text before the piece */                                        \
    X(U64, piece_length, 0)      /* bytes; of the whole text */                                                   \
    X(BIN, piece, 0)
SHAPE(ConfigWatchAnswer, CONFIG_WATCH_ANSWER_FIELDS)

#endif
