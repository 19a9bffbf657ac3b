#ifndef WIRE_KINDS_H
#define WIRE_KINDS_H

/* Every question that one process of ours asks another. The shapes belong to
 * the package that owns the matter. Numbers are part of the wire format: they
 * are never used again for something else.
 * Last column: may be asked by one that knows no cluster yet. */
#define MESSAGE_LIST(X)                                                                        \
    X(HELLO, 1, "hello", true)         /* member: exchange the table */                        \
    X(FOUND, 2, "found", true)         /* controller: offer of a new cluster */                \
    X(KNOW, 3, "know", false)          /* lock: do you know a holder? (rule 2) */              \
    X(PROPOSE, 4, "propose", false)    /* lock: promise me this term */                        \
    X(RENEW, 5, "renew", false)        /* lock: let my hold go on */                           \
    X(RELEASE, 6, "release", false)    /* lock: I give it up */                                \
    X(APPEND, 7, "append", false)      /* view: entries of the log */                          \
    X(FILL, 8, "fill", false)          /* view: a whole snapshot */                            \
    X(LOG, 9, "log", false)            /* view: give me your log from here */                  \
    X(HEARTBEAT, 10, "beat", false)    /* heartbeat: agent to leader, answered with a lease */ \
    X(TELL, 11, "tell", false)         /* agent to leader: started, finished */                \
    X(FETCH, 12, "fetch", false)       /* agent to leader: orders, by long poll */             \
    X(CONFIG_WATCH, 13, "feed", false) /* data plane to leader: configuration, by long poll */ \
    X(FORWARD, 14, "forward", false)   /* entry point to leader: a request of a caller */      \
    X(KEEP, 15, "keep", false)         /* leader to entry point: keep this for repair */       \
    X(RETELL, 16, "retell", false)     /* leader to all: tell me what you were told */         \
    X(TRACE, 17, "trace", false)       /* anybody: what do you know of this change */          \
    X(VOTE, 18, "vote", true)          /* member: a controller asks the seeds for their votes to found */

typedef enum MessageKind {
#define X(name, number, word, open) MESSAGE_##name = number,
    MESSAGE_LIST(X)
#undef X
        MESSAGE_MAX = 32
} MessageKind;

#endif
