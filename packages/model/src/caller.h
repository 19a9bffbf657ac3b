#ifndef MODEL_SRC_CALLER_H
#define MODEL_SRC_CALLER_H

#include "door.h"
#include "worker_model.h"

/* Those who hand jobs in: a machine for each zone. They try again with the same id, ask
 * for states, cancel, and check what they are told. */
typedef struct Callers {
    Topology *topology;
    Door *door;
    Book *book;
    Ledger *ledger;
    int machines[4];
    int64_t times_milli[SITE_KINDS_MAX]; /* rate of a kind now, of its usual */
    int64_t poison_percent;
    int64_t wall_ms; /* of the first turn of timed jobs */
    uint64_t drawn;
    bool over;         /* no more is handed in */
    int64_t finish_ms; /* since then */
    /* first tries, before the closing fault and once it must be over */
    int64_t closing_ms, back_ms; /* the fault, and the machines' return; 0: none yet */
    TopologyNode *last_taker;    /* who has accepted a job last */
    int64_t last_taken_ms;
    size_t sent_before, served_before, sent_after, served_after;
} Callers;

Callers *callers_new(void *mem, Door *door, Book *book, Ledger *ledger);
/* Hands in from now on until over. */
void callers_start(Callers *callers);
/* Asks each accepted job once more: within finish_ms each must be answered. */
void callers_finish(Callers *callers);
/* What callers' queues are in a document. */
void callers_queue(const Site *site, size_t kind, DocumentQueue *queue);
/* Looks for jobs that stand still; called often in the end. */
void callers_idle(Callers *callers, const WorkerModels *worker_models);
/* What must hold in the end. */
void callers_end(Callers *callers);

/* Draws a job of the kind. */
void draft_draw(const Callers *callers, const SiteKind *kind, RandomSource *random_source, Draft *draft);

#endif
