#ifndef MODEL_SRC_JOB_RECORDS_H
#define MODEL_SRC_JOB_RECORDS_H

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

typedef struct TaskRecord {
    struct JobRecord *job;
    TaskName name;
    Fate *fate;
    struct WorkerModelRun *live; /* runs on workers that are up, by next_live */
} TaskRecord;

typedef struct JobRecord {
    GeneratedJob generated_job;
    const SiteKind *kind;
    size_t queue; /* of the document's first queues */
    bool poison, timed;
    TaskRecord *tasks;
    size_t task_count, each_turn;
    size_t step_first[GENERATED_JOB_STEPS_MAX];
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
} JobRecord;

typedef struct JobRecords {
    Topology *topology;
    Map *by_id;
    JobRecord **jobs;
    size_t count;
    size_t starts, kinds[ATTEMPT_STATUS_COUNT];
} JobRecords;

JobRecords *job_records_new(void *mem, Topology *topology);
/* The generated job is copied; its texts must last. */
JobRecord *job_records_add(JobRecords *records, const GeneratedJob *generated_job, const SiteKind *kind);
JobRecord *job_records_job(const JobRecords *records, const char *id);
/* Null when there is no such task. */
TaskRecord *job_records_task(const JobRecords *records, const TaskName *name);
const GeneratedJobStep *job_records_step(const TaskRecord *task);
/* Whether all tasks that the step waits for are done. */
bool job_records_ready(const JobRecord *job, uint64_t turn, uint64_t step);
/* When the turn may begin, on the true wall clock; 0: at once. */
int64_t job_records_due_wall_ms(const JobRecord *job, uint64_t turn);
bool job_records_done(const JobRecord *job);
/* How many failed attempts before that one were acknowledged. */
size_t job_records_fails_noted(const Fate *fate, uint64_t attempt);
void job_records_fail(Fate *fate, uint64_t attempt);
/* Whether its attempts are used up. */
bool job_records_spent(const JobRecord *job, const Fate *fate);
/* A checkpoint as a text that names its task, and the progress in such a text; -1: it is not of this task. */
const char *job_records_saved(void *mem, const TaskRecord *task, int64_t progress_ms);
int64_t job_records_progress(const TaskRecord *task, const char *saved);

#endif
