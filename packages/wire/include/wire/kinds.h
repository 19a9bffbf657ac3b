#ifndef WIRE_KINDS_H
#define WIRE_KINDS_H

/* Every kind of request between our processes. Its messages are defined by the package that is named
 * in its row. Numbers are part of the wire format and never used again for something else.
 * Columns: name, number, name in texts, whether a process that knows no cluster yet may send it. */
#define MESSAGE_LIST(X)                                                                                        \
    X(HELLO, 1, "hello", true)            /* member: exchange the membership table */                          \
    X(FOUND, 2, "found", true)            /* view: offer of a new cluster */                                   \
    X(KNOW, 3, "know", false)             /* heartbeat: do you know a holder of the lock? (survival rule 2) */ \
    X(PROPOSE, 4, "propose", false)       /* view: promise me this term */                                     \
    X(RENEW, 5, "renew", false)           /* view: renew my lease of the lock */                               \
    X(RELEASE, 6, "release", false)       /* view: I give the lock up */                                       \
    X(APPEND, 7, "append", false)         /* view: entries of the log */                                       \
    X(INSTALL_SNAPSHOT, 8, "fill", false) /* view: snapshot installation */                                    \
    X(LOG, 9, "log", false)               /* view: give me your log from here */                               \
    X(HEARTBEAT, 10, "beat", false)       /* heartbeat: heartbeat of an agent, answered with a lease */        \
    X(NOTIFY, 11, "tell", false)          /* heartbeat: agent to leader: attempts started, finished */         \
    X(FETCH, 12, "fetch", false)          /* heartbeat: agent to leader: orders, by long poll */               \
    X(CONFIG_WATCH, 13, "feed", false)    /* feed: entry point to leader: configuration, by long poll */       \
    X(FORWARD, 14, "forward", false)      /* feed: entry point to leader: a request of a caller */             \
    X(KEEP, 15, "keep", false)            /* feed: leader to entry point: keep this for repair */              \
    X(RETELL, 16, "retell", false)        /* feed: leader to all: repeat what you were notified of */          \
    X(TRACE, 17, "trace", false)          /* trace: what do you know of this change */                         \
    X(VOTE, 18, "vote", true)             /* member: a controller asks a seed for its vote to found */

typedef enum MessageKind {
#define X(name, number, word, open) MESSAGE_##name = number,
    MESSAGE_LIST(X)
#undef X
        MESSAGE_MAX = 32
} MessageKind;

#endif
