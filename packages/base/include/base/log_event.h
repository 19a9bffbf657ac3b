#ifndef BASE_LOG_EVENT_H
#define BASE_LOG_EVENT_H

/* Control events in the log: changes of leader and voters, and events of leases, workers, disks and frames. Each event
 * is a line of the flight recorder with typed fields, and is written as the recorder's other lines are (recorder.h).
 *
 * The lines of each event are rate-limited to a burst of RECORDER_NOTES_BURST and one for each
 * RECORDER_NOTE_INTERVAL_MS after that; the next line that is logged gives the number of suppressed ones.
 * docs/oncall.md, section "Log events", describes the response to each event. */

#include "base/recorder.h"

/* X(name, level, word, message). The meaning of a word never changes, since operators search for it. */
#define LOG_EVENT_LIST(X)                                                                                              \
    X(ELECTION_WON, NOTE, "election-won", "leads the term")                                                            \
    X(ELECTION_LOST, NOTE, "election-lost", "stood for election and does not lead the term")                           \
    X(TERM_NOT_OPENED, ALERT, "term-not-opened", "the first entry of its term was not committed in time")              \
    X(LEADER_STEPPED_DOWN, NOTE, "leader-stepped-down", "no longer leads the term")                                    \
    X(TERM_CHANGED, NOTE, "term-changed", "learned who leads the term")                                                \
    X(LEADER_LEASE_LAPSED, ALERT, "leader-lease-lapsed", "too few voters renewed the leader's lease in time")          \
    X(QUORUM_LOST, ALERT, "quorum-partition-lost", "steps down: another voter reaches many more members")              \
    X(VOTER_ADDED, ALERT, "voter-added", "a learner has become a voter")                                               \
    X(VOTER_REMOVED, ALERT, "voter-removed", "a voter was removed from the list of voters")                            \
    X(VOTERS_CHANGED, NOTE, "voters-changed", "another list of voters is in force")                                    \
    X(VOTER_OUT, ALERT, "voter-out", "commits wait no longer for the voter")                                           \
    X(VOTER_IN, NOTE, "voter-in", "commits wait for the voter")                                                        \
    X(SNAPSHOT_SENT, NOTE, "snapshot-sent", "a peer has installed the snapshot")                                       \
    X(SNAPSHOT_INSTALLED, NOTE, "snapshot-installed", "a snapshot has replaced this node's log")                       \
    X(LOG_COMPACTED, NOTE, "log-compacted", "a snapshot has replaced the entries up to the index")                     \
    X(LOG_TRIMMED, ALERT, "log-trimmed", "the other voters did not keep delivered entries: state reloaded")            \
    X(AGENT_LEASE_LAPSED, ALERT, "agent-lease-lapsed", "the agent's lease has expired: all attempts stop")             \
    X(AGENT_ISOLATED, ALERT, "agent-isolated", "no member knows a leader: continues while all members see each other") \
    X(QUORUM_REGAINED, NOTE, "quorum-partition-regained", "a leader renews the agent's lease again")                   \
    X(WORKER_LOST, ALERT, "worker-lost", "the worker's lease has expired")                                             \
    X(WORKER_RETURNED, NOTE, "worker-returned", "a worker whose lease had expired is heard from again")                \
    X(WORKER_LEAVES, NOTE, "worker-leaves", "the worker is shutting down: it gets no new work")                        \
    X(FRAME_REFUSED, NOTE, "frame-refused", "a message was not meant for this process")                                \
    X(FRAME_BAD, NOTE, "frame-bad", "bad frame, connection ended")                                                     \
    X(DISK_FAILED, ALERT, "disk-failed", "this node's disk refused a write: nothing is accepted until it is repaired") \
    X(DISK_SLOW, ALERT, "disk-slow", "steps down: this node's disk is slow")                                           \
    X(DISK_RECOVERED, ALERT, "disk-recovered", "this node's disk accepts writes again")                                \
    X(JOURNAL_DAMAGED, ALERT, "journal-damaged", "the journal is damaged: starts as a new, empty disk")                \
    X(CLUSTER_FOUNDED, NOTE, "cluster-founded", "founded a cluster")                                                   \
    X(CLUSTER_JOINED, NOTE, "cluster-joined", "joined a cluster")                                                      \
    X(SHUTDOWN_BEGAN, NOTE, "shutdown-began", "shuts down on a signal")                                                \
    X(SHUTDOWN_ENDED, NOTE, "shutdown-ended", "the process ends")                                                      \
    X(SHUTDOWN_CUT, ALERT, "shutdown-cut", "the process ends and leaves requests without an answer")                   \
    X(REPAIR_BEGUN, NOTE, "repair-begun",                                                                              \
      "too many voters had restarted: changes that they may have lost are sent again")                                 \
    X(REPAIR_ENDED, ALERT, "repair-ended", "changes that restarted voters may have lost have been sent again")

typedef enum LogEvent {
#define X(name, level, word, message) LOG_##name,
    LOG_EVENT_LIST(X)
#undef X
        LOG_EVENT_COUNT
} LogEvent;

#define LOG_TEXT_BYTES 160 /* Buffer size for the free text of an event */

/* Fields of an event's line besides its message. All of them are copied. The node is the recorder's. */
typedef struct LogFields {
    uint64_t term, index; /* 0: those of the recorder's position; term is a counter (term_counter) */
    const char *peer;     /* worker, member or cluster that the event is about; null: peer_disk is used */
    uint64_t peer_disk;   /* disk id of the controller that the event is about; 0: none */
    const char *text;     /* free text after the message; null: none */
} LogFields;

/* Logs the event. at_ms: time in ms, by the loop's clock. Does not wait. */
void log_event(Recorder *recorder, LogEvent event, int64_t at_ms, const LogFields *fields);
/* Returns the event's word, as in the field EVENT. */
const char *log_event_word(LogEvent event);

#endif
