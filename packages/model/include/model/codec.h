#ifndef MODEL_CODEC_H
#define MODEL_CODEC_H

#include "base/bytes.h"
#include "model/site.h"
#include "state/worker.h"

/* A platform's codec for the model: writes and reads the messages between the product and the model's workers,
 * callers and operator. The model decides on the content of a message, and the codec on its encoding. All results of
 * a codec are allocated on the given mem; texts passed to it are only read. */

/* --- machines ------------------------------------------------------------------------ */

/* A machine of the product, as its settings file describes it. */
typedef struct CodecNode {
    const char *name, *zone, *ip;
    bool runs_agent;        /* an agent, beside a worker; otherwise an entry point or controller */
    bool has_disk;          /* a controller */
    bool may_found_cluster; /* the first start of the deployment: the node may found the cluster */
    const char *seeds[3];   /* IP addresses */
} CodecNode;

/* --- tasks and workers --------------------------------------------------------------- */

#define MODEL_ID_BYTES 17 /* 16 hex digits and the terminating null */

/* A task of a job: the turn (of a job that runs several times), the step, and the index within the step. */
typedef struct TaskName {
    char job[MODEL_ID_BYTES];
    uint64_t turn, step, at;
} TaskName;

/* A running attempt, in a worker's report; also an attempt to stop, in the answer. */
typedef struct WorkerModelRunning {
    TaskName name;
    uint64_t attempt;
    const char *saved;
    int percent;
} WorkerModelRunning;

/* An ended attempt, in a worker's report. number: counts the ends of the worker's process, from 1. */
typedef struct WorkerModelEnded {
    uint64_t number;
    TaskName name;
    uint64_t attempt;
    AttemptStatus word;
    const char *saved;
} WorkerModelEnded;

/* A worker's report, sent as a heartbeat. leave_ms: time until the worker leaves; clock_ms: the worker's steady
 * clock; sequence rises with each report. */
typedef struct WorkerModelReport {
    const char *kind, *zone, *label, *rack, *address;
    Resources resources;
    bool leaving;
    int64_t leave_ms, clock_ms;
    uint64_t sequence;
    WorkerModelRunning *running;
    size_t running_count;
    WorkerModelEnded *ended;
    size_t ended_count;
} WorkerModelReport;

/* An order to start an attempt. saved: the checkpoint to continue from, or empty. */
typedef struct WorkerModelStart {
    TaskName name;
    uint64_t attempt;
    const char *payload, *saved;
} WorkerModelStart;

/* The answer to a report. acknowledged_end: ends up to this number are acknowledged; fence: answers with a lower fence
 * than an earlier one are ignored; lease_ms: duration of the lease; next_heartbeat_ms: time until the next report is
 * due. Negative lease_ms or next_heartbeat_ms: not given. */
typedef struct WorkerModelAnswer {
    WorkerModelStart *starts;
    size_t start_count;
    WorkerModelRunning *stops;
    size_t stop_count;
    uint64_t acknowledged_end, fence;
    int64_t lease_ms, next_heartbeat_ms;
} WorkerModelAnswer;

/* --- jobs ------------------------------------------------------------------------------ */

/* A step of a generated job: count tasks that each use resources and take work_ms on an undisturbed worker of normal
 * speed. after: indexes of the steps that must be done before; apart: maximum number of tasks of the step on one
 * worker. */
typedef struct GeneratedJobStep {
    uint64_t count;
    Resources resources;
    int64_t estimate_ms, work_ms;
    uint64_t after[8];
    size_t after_count;
    bool gang, same_rack;
    const char *near, *needs; /* rack of its data, required label; null: none */
    uint64_t apart;           /* 0: no limit */
} GeneratedJobStep;

#define GENERATED_JOB_STEPS_MAX 6

/* A job before it is encoded, as its caller submits it. */
typedef struct GeneratedJob {
    char id[MODEL_ID_BYTES];
    const char *payload;
    GeneratedJobStep steps[GENERATED_JOB_STEPS_MAX];
    size_t step_count;
    /* Whether its tasks make checkpoints, may run twice at the same time, and run until they are cancelled. */
    bool saves, copies, lasting;
    uint64_t turns; /* 0: the job runs once, immediately */
    int64_t first_wall_ms, period_ms;
} GeneratedJob;

/* The state of a job as an answer shows it; JOB_WORD_NONE: the answer shows none. */
typedef enum JobWord {
    JOB_WORD_QUEUED,
    JOB_WORD_ROLLING,
    JOB_WORD_DONE,
    JOB_WORD_FAILED,
    JOB_WORD_CANCELLED,
    JOB_WORD_NONE
} JobWord;

/* The meaning of an answer to a request. UNCLEAR: the request may or may not have been carried out. */
typedef enum Outcome {
    OUTCOME_ACCEPTED,
    OUTCOME_REFUSED,  /* refused: not accepted, and never will be */
    OUTCOME_NO_QUEUE, /* the queue does not exist */
    OUTCOME_NO_JOB,   /* the job does not exist */
    OUTCOME_CONFLICT, /* the request was based on a document that is no longer in force */
    OUTCOME_INVALID,  /* refused as invalid */
    OUTCOME_UNCLEAR
} Outcome;

/* --- the operator's document ------------------------------------------------------------- */

/* A queue of the document: requests for host and prefix reach it. */
typedef struct DocumentQueue {
    char name[32], host[48], prefix[48];
    const char *kind; /* kind of worker that runs its tasks */
    int64_t timeout_ms, target_ms, priority, attempts, stretch_percent;
} DocumentQueue;

#define DOCUMENT_QUEUES_MAX 64

/* The operator's configuration document. guards: see Site. */
typedef struct Document {
    uint64_t version;
    DocumentQueue queues[DOCUMENT_QUEUES_MAX];
    size_t queue_count;
    const char *kinds[4];
    size_t kind_count;
    bool guards;
} Document;

/* Defects that make a document invalid. */
typedef enum DocumentDefect {
    DEFECT_NONE,
    DEFECT_TRUNCATED,       /* truncated */
    DEFECT_UNKNOWN_KIND,    /* a queue names an unknown kind of worker */
    DEFECT_DUPLICATE_QUEUE, /* two queues have the same host and prefix */
    DEFECT_NO_TIMEOUT,      /* a queue has the timeout 0 */
    DEFECT_OLD_VERSION,     /* its version is not above the one in force */
    DEFECT_COUNT
} DocumentDefect;

/* An encoded request of the operator; header_name null: no extra header. */
typedef struct CodecRequest {
    const char *path, *header_name, *header_value;
    Bytes body;
} CodecRequest;

/* The functions and constants of a platform. */
typedef struct Codec {
    const char *adapter; /* name of the protocol adapter that it belongs to */
    /* Ports for callers, for the readiness check, and for workers and the operator. */
    int caller_port, ready_port, operator_port;
    /* Paths of the readiness check and of the document; name of the header that holds the caller's timeout in ms. */
    const char *ready_path, *config_path, *wait_header;
    /* The meaning of an HTTP status code; code 0: no answer came. */
    Outcome (*outcome)(int code);
    /* Returns the text of the node's settings file. */
    char *(*settings)(void *mem, const Site *site, const CodecNode *node);
    /* Returns the path of the heartbeat, or of the notice of departure, of the worker process named boot. */
    char *(*heartbeat_path)(void *mem, const char *boot, bool leaves);
    /* Encodes a report, decodes the answer (false: malformed), encodes a job, and decodes the state of a job. */
    Bytes (*report)(void *mem, const WorkerModelReport *report);
    bool (*orders)(void *mem, Bytes result, WorkerModelAnswer *orders);
    Bytes (*job)(void *mem, const GeneratedJob *generated_job);
    JobWord (*state)(Bytes result);
    /* Returns the number of jobs in a queue; -1: the result does not contain it. */
    int64_t (*queue_length)(Bytes result);
    /* Encodes a document that replaces the one of version base, with the given defect. */
    CodecRequest (*document)(void *mem, const Document *document, uint64_t base, DocumentDefect spoil);
    /* Encodes the change from one document to another, as named items. */
    CodecRequest (*patch)(void *mem, const Document *from, const Document *to);
    /* Whether the result of a read is the document; version is set to the version that the result gives. */
    bool (*document_matches)(Bytes result, const Document *document, uint64_t *version);
    /* Returns the path of the request that drains a zone or takes it back. */
    char *(*zone_path)(void *mem, const char *zone, bool drain);
} Codec;

#endif
