#ifndef BASE_LOG_EVENT_H
#define BASE_LOG_EVENT_H

/* Control events in the log: who leads, who votes, what became of leases, workers, disks and frames.
 * Each is a line of the flight recorder with typed fields, and goes out through GLib's structured
 * logging as the recorder's other lines do (recorder.h), when its level is written.
 *
 * A node logs RECORDER_NOTES_AT_ONCE lines of one event together and one for each
 * RECORDER_NOTE_GAP_MS after that; how many were passed over is told in the next one that is logged.
 * docs/oncall.md, section "Log events", says what to do about each. */

#include "base/recorder.h"

/* X(name, level, word, message). A word never changes its meaning: operators search for it. */
#define LOG_EVENT_LIST(X)                                                                                         \
    X(ELECTION_WON, NOTE, "election-won", "leads the term")                                                       \
    X(ELECTION_LOST, NOTE, "election-lost", "stood for election and does not lead")                               \
    X(TERM_NOT_OPENED, ALERT, "term-not-opened", "the first entry of its term was not committed in time")         \
    X(LEADER_STEPPED_DOWN, NOTE, "leader-stepped-down", "leads the term no more")                                 \
    X(TERM_CHANGED, NOTE, "term-changed", "learned of the term's leader")                                         \
    X(LEADER_LEASE_LAPSED, ALERT, "leader-lease-lapsed", "too few voters renewed the leader's lease in time")     \
    X(QUORUM_LOST, ALERT, "quorum-partition-lost", "another voter reaches many more members: steps down")         \
    X(VOTER_ADDED, ALERT, "voter-added", "a learner has become a voter")                                          \
    X(VOTER_REMOVED, ALERT, "voter-removed", "a voter is removed from the list of voters")                        \
    X(VOTERS_CHANGED, NOTE, "voters-changed", "another list of voters is in force")                               \
    X(VOTER_OUT, ALERT, "voter-out", "commits wait no longer for the voter")                                      \
    X(VOTER_IN, NOTE, "voter-in", "commits wait for the voter")                                                   \
    X(SNAPSHOT_SENT, NOTE, "snapshot-sent", "a peer has installed the snapshot")                                  \
    X(SNAPSHOT_INSTALLED, NOTE, "snapshot-installed", "a snapshot has replaced the own log")                      \
    X(LOG_COMPACTED, NOTE, "log-compacted", "a snapshot has replaced the entries up to the index")                \
    X(LOG_TRIMMED, ALERT, "log-trimmed", "delivered entries were not kept by the others: state loaded anew")      \
    X(AGENT_LEASE_LAPSED, ALERT, "agent-lease-lapsed", "the agent's lease has lapsed: all attempts stop")         \
    X(AGENT_ISOLATED, ALERT, "agent-isolated", "no member knows a leader: goes on while all see each other")      \
    X(QUORUM_REGAINED, NOTE, "quorum-partition-regained", "a leader renews the agent's lease again")              \
    X(WORKER_LOST, ALERT, "worker-lost", "the worker's lease has lapsed")                                         \
    X(WORKER_RETURNED, NOTE, "worker-returned", "a worker whose lease had lapsed is heard again")                 \
    X(WORKER_LEAVES, NOTE, "worker-leaves", "the worker shuts down in order: it is given nothing new")            \
    X(FRAME_REFUSED, NOTE, "frame-refused", "a message was not for this process")                                 \
    X(FRAME_BAD, NOTE, "frame-bad", "bad frame, connection ended")                                                \
    X(DISK_FAILED, ALERT, "disk-failed", "the own disk refused a write: takes nothing until it is repaired")      \
    X(DISK_SLOW, ALERT, "disk-slow", "the own disk is slow: steps down")                                          \
    X(DISK_RECOVERED, ALERT, "disk-recovered", "the own disk takes writes again")                                 \
    X(JOURNAL_DAMAGED, ALERT, "journal-damaged", "the journal is not whole: begins as a new, empty disk")         \
    X(CLUSTER_FOUNDED, NOTE, "cluster-founded", "founded a cluster")                                              \
    X(CLUSTER_JOINED, NOTE, "cluster-joined", "joined a cluster")                                                 \
    X(REPAIR_BEGUN, NOTE, "repair-begun", "too many voters had restarted: what they may have lost is told again") \
    X(REPAIR_ENDED, ALERT, "repair-ended", "what restarted voters may have lost has been told again")

typedef enum LogEvent {
#define X(name, level, word, message) LOG_##name,
    LOG_EVENT_LIST(X)
#undef X
        LOG_EVENT_COUNT
} LogEvent;

#define LOG_TEXT_BYTES 160 /* bytes; room for the free text of an event at a caller */

/* What an event's line says besides its message. All of it is copied. The node is the recorder's. */
typedef struct LogFields {
    uint64_t term, index; /* 0: as the recorder's place has them; term as term_counter gives it */
    const char *peer;     /* worker, member or cluster that the event is about; null: peer_disk */
    uint64_t peer_disk;   /* disk id of the controller that it is about; 0: none */
    const char *text;     /* free text after the message; null: none */
} LogFields;

/* Logs the event; at_ms: ms, the loop's clock. Does not wait. */
void log_event(Recorder *recorder, LogEvent event, int64_t at_ms, const LogFields *fields);
/* The event's word, as in the field EVENT. */
const char *log_event_word(LogEvent event);

#endif
