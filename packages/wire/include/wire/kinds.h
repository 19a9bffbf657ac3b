#ifndef WIRE_KINDS_H
#define WIRE_KINDS_H

#include <stdint.h>

/* Every kind of request between our processes. Its messages are defined by the package that is named
 * in its row. Numbers are part of the wire format and never used again for something else.
 * Columns: name, number, name in texts, whether a process that knows no cluster yet may send it. */
#define MESSAGE_LIST(X)                                                                                     \
    X(HELLO, 1, "hello", true)            /* member: exchange the membership table */                       \
    X(FOUND, 2, "found", true)            /* replication: offer of a new cluster */                         \
    X(KNOW, 3, "know", false)             /* heartbeat: is a leader known? (the paper's survival rule 2) */ \
    X(PROPOSE, 4, "propose", false)       /* replication: asks for the promise of a term */                 \
    X(RENEW, 5, "renew", false)           /* replication: the leader renews its lease */                    \
    X(RELEASE, 6, "release", false)       /* replication: the leader gives its lease up */                  \
    X(APPEND, 7, "append", false)         /* replication: entries of the log */                             \
    X(INSTALL_SNAPSHOT, 8, "fill", false) /* replication: snapshot installation */                          \
    X(LOG, 9, "log", false)               /* replication: asks for the log after an entry */                \
    X(HEARTBEAT, 10, "beat", false)       /* heartbeat: heartbeat of an agent, answered with a lease */     \
    X(NOTIFY, 11, "tell", false)          /* heartbeat: agent to leader: attempts started, finished */      \
    X(FETCH, 12, "fetch", false)          /* heartbeat: agent to leader: orders, by long poll */            \
    X(CONFIG_WATCH, 13, "feed", false)    /* routing: entry point to leader: configuration, by long poll */ \
    X(FORWARD, 14, "forward", false)      /* routing: entry point to leader: a request of a caller */       \
    X(KEEP, 15, "keep", false)            /* routing: leader to entry point: keep a change for repair */    \
    X(RETELL, 16, "retell", false)        /* routing: leader to all: send again what was acknowledged */    \
    X(TRACE, 17, "trace", false)          /* trace: asks for the events of a change */                      \
    X(VOTE, 18, "vote", true)             /* member: a controller asks a seed for its vote to found */

typedef enum MessageKind {
#define X(name, number, word, open) MESSAGE_##name = number,
    MESSAGE_LIST(X)
#undef X
        MESSAGE_MAX = 32
} MessageKind;

/* The name of a kind in texts; "other" for a number that is none. */
const char *message_word(uint64_t kind);

#endif
