#ifndef WIRE_KINDS_H
#define WIRE_KINDS_H

#include <stdint.h>

/* The kinds of requests between processes of a cluster. The package named in a row defines the messages. Numbers are
 * part of the wire format and are never reused.
 * X(name, number, name in texts, whether a process that knows no cluster yet may send the request). */
#define MESSAGE_LIST(X)                                                                                             \
    X(HELLO, 1, "hello", true)      /* member: exchanges membership tables */                                       \
    X(FOUND, 2, "found", true)      /* replication: offers a new cluster */                                         \
    X(KNOW, 3, "know", false)       /* heartbeat: asks whether a leader is known (XenServer's HA design, rule 2) */ \
    X(PROPOSE, 4, "propose", false) /* replication: asks for the promise of a term */                               \
    X(RENEW, 5, "renew", false)     /* replication: the leader renews its lease */                                  \
    X(RELEASE, 6, "release", false) /* replication: the leader releases its lease */                                \
    X(APPEND, 7, "append", false)   /* replication: appends log entries */                                          \
    X(INSTALL_SNAPSHOT, 8, "fill", false) /* replication: installs a snapshot */                                    \
    X(LOG, 9, "log", false)               /* replication: asks for the log after an entry */                        \
    X(HEARTBEAT, 10, "beat", false)       /* heartbeat: an agent's heartbeat, answered with a lease */              \
    X(NOTIFY, 11, "tell", false)          /* heartbeat: agent to leader: attempts that started or ended */          \
    X(FETCH, 12, "fetch", false)          /* heartbeat: agent to leader: long poll for orders */                    \
    X(CONFIG_WATCH, 13, "feed", false)    /* routing: entry point to leader: long poll for the configuration */     \
    X(FORWARD, 14, "forward", false)      /* routing: entry point to leader: forwards a caller's request */         \
    X(KEEP, 15, "keep", false)            /* routing: leader to entry point: stores a change for repair */          \
    X(RETELL, 16, "retell", false)        /* routing: leader to all: asks for acknowledged changes again */         \
    X(TRACE, 17, "trace", false)          /* trace: asks for the events of a change */                              \
    X(VOTE, 18, "vote", true)             /* member: a controller asks a seed for its vote to found a cluster */

typedef enum MessageKind {
#define X(name, number, word, open) MESSAGE_##name = number,
    MESSAGE_LIST(X)
#undef X
        MESSAGE_MAX = 32
} MessageKind;

/* Returns the name of a kind in texts; "other" for an unknown number. */
const char *message_word(uint64_t kind);

#endif
