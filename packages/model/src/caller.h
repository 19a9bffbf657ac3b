#ifndef MODEL_SRC_CALLER_H
#define MODEL_SRC_CALLER_H

#include "listener.h"
#include "worker_model.h"

/* Callers: one machine in each zone. They submit jobs, retry with the same id, read job states, cancel jobs, and
 * check the answers. */
typedef struct Callers {
    Topology *topology;
    Listener *listener;
    JobRecords *records;
    SentDocuments *sent_documents;
    int machines[4];
    int64_t rate_milli[SITE_KINDS_MAX]; /* current submission rate of each kind, in thousandths of its usual rate */
    int64_t poison_percent;             /* percentage of jobs whose tasks always fail */
    uint64_t generated_count;           /* number of jobs generated */
    bool stopped;                       /* submission has ended */
    int64_t finish_ms;                  /* when submission ended */
    int64_t closing_ms, restart_ms;     /* times of the closing fault and of the machines' restart; 0: not yet */
    TopologyNode *last_acknowledger;    /* entry point that last accepted a job */
    int64_t last_acknowledged_ms;
    /* First attempts to submit a job, and those that were accepted: before the closing fault, and after the time
     * allowed for recovery from it. */
    size_t sent_before, served_before, sent_after, served_after;
} Callers;

/* Creates the callers on mem; none runs yet. */
Callers *callers_new(void *mem, Listener *listener, JobRecords *records, SentDocuments *sent_documents);
/* Starts to submit jobs; continues until callers_confirm_all. */
void callers_start(Callers *callers);
/* Ends submission and reads each accepted job once more: each must be answered within the site's finish_ms. */
void callers_confirm_all(Callers *callers);
/* Fills in the document's queue for a kind of job. */
void callers_fill_queue(const Site *site, size_t kind, DocumentQueue *queue);
/* Checks that no job is idle while there is capacity for it; called periodically at the end of a day. */
void callers_check_idle(Callers *callers, const WorkerModels *worker_models);
/* Checks the rules that apply at the end of a day. */
void callers_check_end(Callers *callers);

/* Generates a job of the kind. */
void generated_job_draw(const Callers *callers, const SiteKind *kind, RandomSource *random_source,
                        GeneratedJob *generated_job);

#endif
