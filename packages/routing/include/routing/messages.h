#ifndef ROUTING_MESSAGES_H
#define ROUTING_MESSAGES_H

#include "state/change.h"

/* A committed change as kept by those who were told of it first. */
#define REPAIR_ITEM_FIELDS(X) \
    X(U64, change, 0)         \
    X(U64, index, 0)          \
    X(BIN, payload, 0)
SHAPE(RepairItem, REPAIR_ITEM_FIELDS)

#define REPAIR_LIST_FIELDS(X) X(LST, items, RepairItem)
SHAPE(RepairList, REPAIR_LIST_FIELDS)

#define NOTHING_FIELDS(X) X(U64, nothing, 0)
SHAPE(Nothing, NOTHING_FIELDS)

/* A leader whose disks may have forgotten asks for what was told. Configurations up to the
 * version that it has are left out: a large one fills a narrow link. */
#define RETELL_ASK_FIELDS(X) \
    X(U64, nothing, 0)       \
    X(U64, config_have, 0)
SHAPE(RetellAsk, RETELL_ASK_FIELDS)

/* A caller's request, carried to the leader; and its result. */
#define FORWARD_ASK_FIELDS(X)                                                                   \
    X(TXT, method, 0)                                                                           \
    X(TXT, path, 0)                                                                             \
    X(TXT, query, 0)                                                                            \
    X(BIN, body, 0)                                                                             \
    X(FLAG, relay, 0)  /* a controller that does not lead carries it on to the one that does */ \
    X(TXT, host, 0)    /* whom the caller meant; entries are found by it */                     \
    X(U64, wait_ms, 0) /* nobody waits for the answer after this; 0: not said */                \
    X(FLAG, again, 0)  /* asked before, of a leader that was lost: its caller has had no answer */
SHAPE(ForwardAsk, FORWARD_ASK_FIELDS)

#define FORWARD_ANSWER_FIELDS(X)                                                          \
    X(U64, code, 0)                                                                       \
    X(TXT, kind, 0)                                                                       \
    X(BIN, body, 0)                                                                       \
    X(U64, retry_after_s, 0)                                                              \
    X(LST, repair_items, RepairItem)                                                      \
    X(U64, status, 0)                                                                     \
    X(U64, leader_term, 0) /* the newest leader that is known to one who does not lead */ \
    X(TXT, leader_id, 0)
SHAPE(ForwardAnswer, FORWARD_ANSWER_FIELDS)

/* Answered when there is a version above have, or, when the document is wanted
 * too, above the one that it is had of. */
#define CONFIG_WATCH_ASK_FIELDS(X)                                                                      \
    X(U64, have, 0)                                                                                     \
    X(U64, text_have, 0)                                                                                \
    X(FLAG, wants, 0)     /* the document whatever its size; else small changes only */                 \
    X(FLAG, brief, 0)     /* as sets, not as a text */                                                  \
    X(FLAG, first, 0)     /* of this leader: answered at once, so that it is known to serve */          \
    X(U64, piece_most, 0) /* bytes; a document that is larger comes in pieces of so many; 0: at once */ \
    X(U64, piece_of, 0)   /* the version whose document has begun to come; 0: none */                   \
    X(U64, piece_from, 0) /* bytes; so much of it is there */
SHAPE(ConfigWatchAsk, CONFIG_WATCH_ASK_FIELDS)

#define CONFIG_WATCH_ANSWER_FIELDS(X)                                                                       \
    X(U64, term, 0)                                                                                         \
    X(U64, version, 0)                                                                                      \
    X(TXT, text, 0)                                                                                         \
    X(ONE, limits, ConfigLimits)                                                                            \
    X(LST, sets, ConfigSet)      /* from text_have on, or one whole */                                      \
    X(FLAG, waits, 0)            /* it does not serve yet */                                                \
    X(U64, size, 0)              /* bytes; of the whole document, at most so many */                        \
    X(ONE, piece_set, ConfigSet) /* what the piece is of, without its text; version 0: there is no piece */ \
    X(U64, piece_from, 0)        /* bytes; of the text that are before it */                                \
    X(U64, piece_length, 0)      /* bytes; of the whole text */                                             \
    X(BIN, piece, 0)
SHAPE(ConfigWatchAnswer, CONFIG_WATCH_ANSWER_FIELDS)

#endif
