#ifndef MODEL_CODEC_H
#define MODEL_CODEC_H

#include "base/bytes.h"
#include "model/site.h"
#include "state/worker.h"

/* A platform's codec for the model: it writes and reads the messages between the product and the model's
 * workers, callers and operator. The model decides what is said; only the codec knows how. All that a codec makes is
 * on the mem that it is given; texts that it is given are only read. */

/* --- machines ------------------------------------------------------------------------ */

typedef struct CodecNode {
    const char *name, *zone, *ip;
    bool side; /* beside a worker; otherwise an entry point or controller */
    bool disk;
    bool founds;          /* the first start: it may found the cluster */
    const char *seeds[3]; /* IPs */
} CodecNode;

/* --- tasks and workers --------------------------------------------------------------- */

#define MODEL_ID_BYTES 17 /* bytes; 16 hex digits and the end */

/* A task of a job: the turn (of a job that runs several times), the step, and the place in the step. */
typedef struct TaskName {
    char job[MODEL_ID_BYTES];
    uint64_t turn, step, at;
} TaskName;

typedef struct WorkerModelRunning {
    TaskName name;
    uint64_t attempt;
    const char *saved;
    int percent;
} WorkerModelRunning;

typedef struct WorkerModelEnded {
    uint64_t number;
    TaskName name;
    uint64_t attempt;
    AttemptStatus word;
    const char *saved;
} WorkerModelEnded;

/* A worker's report. */
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

typedef struct WorkerModelStart {
    TaskName name;
    uint64_t attempt;
    const char *payload, *saved;
} WorkerModelStart;

/* The answer. lease_ms (the lease) and again_ms below 0: not given. */
typedef struct WorkerModelOrders {
    WorkerModelStart *starts;
    size_t start_count;
    WorkerModelRunning *stops;
    size_t stop_count;
    uint64_t seen, fence;
    int64_t lease_ms, again_ms;
} WorkerModelOrders;

/* --- jobs ------------------------------------------------------------------------------ */

typedef struct GeneratedJobStep {
    uint64_t count;
    Resources resources;
    int64_t estimate_ms, work_ms;
    uint64_t after[8];
    size_t after_count;
    bool gang, same_rack;
    const char *near, *needs; /* null: none */
    uint64_t apart;           /* 0: any number */
} GeneratedJobStep;

#define GENERATED_JOB_STEPS_MAX 6

/* A job as its caller means it, before it is encoded. */
typedef struct GeneratedJob {
    char id[MODEL_ID_BYTES];
    const char *payload;
    GeneratedJobStep steps[GENERATED_JOB_STEPS_MAX];
    size_t step_count;
    bool saves, copies, lasting;
    uint64_t turns; /* 0: once, at once */
    int64_t first_wall_ms, period_ms;
} GeneratedJob;

typedef enum JobWord {
    JOB_WORD_QUEUED,
    JOB_WORD_ROLLING,
    JOB_WORD_DONE,
    JOB_WORD_FAILED,
    JOB_WORD_CANCELLED,
    JOB_WORD_NONE
} JobWord;

/* What an answer means. UNCLEAR: what was asked for may or may not have been done. */
typedef enum Outcome {
    OUTCOME_GOOD,
    OUTCOME_AWAY,   /* rejected: not taken, and never will be */
    OUTCOME_NOBODY, /* there is no such queue */
    OUTCOME_GONE,   /* there is no such job */
    OUTCOME_STALE,  /* another document is in force */
    OUTCOME_WRONG,  /* rejected as invalid */
    OUTCOME_UNCLEAR
} Outcome;

/* --- the operator's document ------------------------------------------------------------- */

typedef struct DocumentQueue {
    char name[32], host[48], prefix[48];
    const char *kind; /* of worker */
    int64_t timeout_ms, target_ms, priority, attempts, stretch_percent;
} DocumentQueue;

#define DOCUMENT_QUEUES_MAX 64

typedef struct Document {
    uint64_t version;
    DocumentQueue queues[DOCUMENT_QUEUES_MAX];
    size_t queue_count;
    const char *kinds[4];
    size_t kind_count;
    bool guards;
} Document;

/* Ways to make a document invalid. */
typedef enum Spoil {
    SPOIL_NONE,
    SPOIL_CUT,
    SPOIL_UNKNOWN_KIND,
    SPOIL_TWICE,
    SPOIL_NO_TIMEOUT,
    SPOIL_OLD,
    SPOIL_COUNT
} Spoil;

/* An encoded request of the operator. */
typedef struct Worded {
    const char *path, *head_name, *head_value;
    Bytes body;
} Worded;

typedef struct Codec {
    const char *adapter; /* the protocol adapter that it belongs to */
    int front_port, ready_port, operator_port;
    const char *ready_path, *config_path, *wait_head;
    /* Of an HTTP status; 0: no answer came. */
    Outcome (*outcome)(int code);
    /* The node's settings file. */
    char *(*settings)(void *mem, const Site *site, const CodecNode *node);
    char *(*heartbeat_path)(void *mem, const char *boot, bool leaves);
    Bytes (*report)(void *mem, const WorkerModelReport *report);
    bool (*orders)(void *mem, Bytes result, WorkerModelOrders *orders);
    Bytes (*job)(void *mem, const GeneratedJob *generated_job);
    JobWord (*state)(Bytes result);
    /* The number of jobs in a queue; -1: the result has none. */
    int64_t (*pending)(Bytes result);
    Worded (*document)(void *mem, const Document *document, uint64_t base, Spoil spoil);
    /* The change from one to the other, as named items. */
    Worded (*patch)(void *mem, const Document *from, const Document *to);
    /* Whether what was read back is the document. */
    bool (*same)(Bytes result, const Document *document, uint64_t *version);
    char *(*zone_path)(void *mem, const char *zone, bool drain);
} Codec;

#endif
