#ifndef MODEL_SRC_BOOK_H
#define MODEL_SRC_BOOK_H

#include "topology.h"

/* All jobs that were submitted, what workers really ran of them, and what callers were told. */

#define FAILS_MAX 32 /* count; of one task */

/* What became of a task, or of a gang as one. */
typedef struct Fate {
    bool done; /* a worker has completed it */
    int64_t done_ms;
    int64_t noted_ms;           /* ... and was told that this is known; 0: not yet */
    uint64_t failed[FAILS_MAX]; /* attempts that failed; a gang's failure counts once */
    bool fail_noted[FAILS_MAX];
    size_t fails;
    int64_t fails_noted_ms;  /* when the last failure was acknowledged to the worker */
    int64_t saved_ms;        /* the most progress that was ever reported */
    uint64_t again_attempt;  /* an attempt that started after the task was done; 0: none. If an end before it is
                             acknowledged, it was one too many */
    uint64_t beyond_attempt; /* likewise after all its attempts had failed */
} Fate;

typedef struct BookTask {
    struct BookJob *job;
    TaskName name;
    Fate *fate;
    struct WorkerModelRun *live; /* runs on workers that are up, by next_live */
} BookTask;

typedef struct BookJob {
    Draft draft;
    const SiteKind *kind;
    size_t queue; /* of the document's first queues */
    bool poison, timed;
    BookTask *tasks;
    size_t task_count, each_turn;
    size_t step_first[DRAFT_STEPS_MAX];
    int64_t sent_ms, accepted_ms; /* 0: not */
    const TopologyNode *accepted_by;
    int tries_open;                    /* attempts to submit it that may still be answered */
    bool maybe;                        /* some attempt to submit it had no clear answer */
    int64_t refused_ms;                /* since when every attempt to submit it was rejected; 0: not so */
    int64_t cancel_sent_ms, cancel_ms; /* acknowledged */
    JobWord shown;
    int64_t shown_ms; /* its end; 0: not yet */
    int64_t idle_ms;  /* since when nothing of it runs though there is capacity; 0: not so */
    int64_t asked_ms; /* answered clearly after traffic ended */
} BookJob;

typedef struct Book {
    Topology *topology;
    Map *by_id;
    BookJob **jobs;
    size_t count;
    size_t starts, kinds[ATTEMPT_WORD_COUNT];
} Book;

Book *book_new(void *mem, Topology *topology);
/* The draft is copied; its texts must last. */
BookJob *book_add(Book *book, const Draft *draft, const SiteKind *kind);
BookJob *book_job(const Book *book, const char *id);
/* Null when there is no such task. */
BookTask *book_task(const Book *book, const TaskName *name);
const DraftStep *book_step(const BookTask *task);
/* Whether all tasks that the step waits for are done. */
bool book_ready(const BookJob *job, uint64_t turn, uint64_t step);
/* When the turn may begin, on the true wall clock; 0: at once. */
int64_t book_due_wall_ms(const BookJob *job, uint64_t turn);
bool book_done(const BookJob *job);
/* How many failed attempts before that one were acknowledged. */
size_t book_fails_noted(const Fate *fate, uint64_t attempt);
void book_fail(Fate *fate, uint64_t attempt);
/* Whether its attempts are used up. */
bool book_spent(const BookJob *job, const Fate *fate);
/* A checkpoint as a text that names its task, and the progress in such a text; -1: it is not of this task. */
const char *book_saved(void *mem, const BookTask *task, int64_t progress_ms);
int64_t book_progress(const BookTask *task, const char *saved);

#endif
