#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/* Status codes. Every function that can fail returns one; they are sent between processes and, with an HTTP status, to
 * callers. */

/* X(name, word, HTTP status). Users see the words in results: they are part of the API, and their meaning never
 * changes. The order of the rows is part of the wire format: new rows are added at the end. */
#define STATUS_LIST(X)                             \
    X(OK, "ok", 200)                               \
    X(BAD_FLAG, "bad-flag", 400)                   \
    X(BAD_SETTINGS, "bad-props", 400)              \
    X(BAD_JSON, "bad-json", 400)                   \
    X(BAD_FIELD, "bad-field", 422)                 \
    X(BAD_FRAME, "bad-frame", 400)                 \
    X(BAD_PATH, "bad-path", 404)                   \
    X(BAD_METHOD, "bad-method", 405)               \
    X(TOO_LARGE, "too-large", 413)                 \
    X(UNKNOWN_JOB, "unknown-job", 404)             \
    X(UNKNOWN_TENANT, "unknown-tenant", 422)       \
    X(UNKNOWN_QUEUE, "unknown-queue", 422)         \
    X(UNKNOWN_CELL, "unknown-cell", 422)           \
    X(UNKNOWN_ZONE, "unknown-zone", 404)           \
    X(UNKNOWN_VERSION, "unknown-revision", 404)    \
    X(UNKNOWN_WORKER, "unknown-worker", 404)       \
    X(IMPOSSIBLE_CAPACITY, "impossible-room", 422) \
    X(IMPOSSIBLE_KIND, "impossible-kind", 422)     \
    X(OVER_QUOTA, "over-quota", 422)               \
    X(CYCLIC_STEPS, "cyclic-steps", 422)           \
    X(OTHER_BODY, "other-body", 409)               \
    X(STALE_VERSION, "stale-revision", 409)        \
    X(ALREADY_ENDED, "already-ended", 409)         \
    X(QUEUE_FULL, "queue-full", 503)               \
    X(NO_LEADER, "no-leader", 503)                 \
    X(NOT_LEADER, "not-leader", 503)               \
    X(REPAIRING, "repairing", 503)                 \
    X(LEAVING, "leaving", 503)                     \
    X(OUTCOME_UNKNOWN, "outcome-unknown", 504)     \
    X(FOREIGN_CLUSTER, "stranger-cluster", 403)    \
    X(OLD_TERM, "old-epoch", 409)                  \
    X(OTHER_HOLDER, "other-holder", 409)           \
    X(LOG_GAP, "log-gap", 409)                     \
    X(RESTARTED, "woken", 409)                     \
    X(NO_VOTER, "no-seat", 409)                    \
    X(DUPLICATE_WORKER, "duplicate-worker", 409)   \
    X(EXPIRED, "expired", 504)                     \
    X(CLOSED, "closed", 503)                       \
    X(UNREACHABLE, "unreachable", 503)             \
    X(BUSY, "busy", 503)                           \
    X(STOPPING, "stopping", 503)                   \
    X(DISK_FAILED, "disk-failed", 500)             \
    X(JOURNAL_CORRUPT, "journal-corrupt", 500)     \
    X(JOURNAL_FOREIGN, "journal-foreign", 500)     \
    X(JOURNAL_FORMAT, "journal-format", 500)       \
    X(BAD_POLICY, "bad-policy", 422)               \
    X(INTERNAL, "internal", 500)                   \
    X(OTHER_DISK, "other-disk", 409)               \
    X(HEAD_LARGE, "head-large", 431)               \
    X(NO_CONFIG, "no-config", 503)                 \
    X(STALE_ORDER, "stale-order", 409)             \
    X(OTHER_PEER, "other-peer", 503)               \
    X(OTHER_INCARNATION, "other-life", 503)        \
    X(OTHER_VERSION, "other-version", 503)         \
    X(UNKNOWN_REQUEST, "unknown-question", 503)    \
    X(OTHER_HISTORY, "other-history", 409)         \
    X(STATE_FULL, "state-full", 503)               \
    X(UNKNOWN_KEY, "unknown-key", 401)             \
    X(OTHER_TENANT, "other-tenant", 403)

typedef enum Status {
#define X(name, word, http) STATUS_##name,
    STATUS_LIST(X)
#undef X
        STATUS_COUNT
} Status;

/* Returns the status's word; "unlisted" for a number that is unknown here, which a later release may send. */
const char *status_word(Status status);
/* Returns the HTTP status; 500 for an unknown number. */
int status_http(Status status);
/* Returns the Retry-After of a response, in seconds; 0: the header is not sent. */
int status_retry_s(Status status);
/* Returns the status with this word, or STATUS_COUNT when there is none. */
Status status_of_word(const char *word);

#endif
