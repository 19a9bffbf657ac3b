#ifndef MODEL_SRC_JOB_RECORDS_H
#define MODEL_SRC_JOB_RECORDS_H

#include "topology.h"

/* Records of all submitted jobs: the attempts that workers ran, and the answers that callers received. */

#define FAILURES_MAX 32 /* failures recorded for one task */

/* The outcome of a task, or of an entire gang. */
typedef struct TaskOutcome {
    bool done; /* a worker has completed the task */
    int64_t done_ms;
    int64_t acknowledged_ms;                /* when the completion was acknowledged to the worker; 0: not yet */
    uint64_t failed_attempts[FAILURES_MAX]; /* attempts that failed; a gang's failure counts once */
    bool failure_acknowledged[FAILURES_MAX];
    size_t failure_count;
    int64_t failures_acknowledged_ms; /* when the last failure was acknowledged to the worker */
    int64_t saved_ms;                 /* maximum progress ever reported in a checkpoint */
    /* An attempt that started after the task was done; 0: none. The attempt breaks a rule if the end of an earlier
     * attempt is acknowledged. */
    uint64_t attempt_after_done;
    uint64_t attempt_after_budget; /* likewise, one that started after all allowed attempts had failed */
} TaskOutcome;

/* A task of a job. */
typedef struct TaskRecord {
    struct JobRecord *job;
    TaskName name;
    TaskOutcome *task_outcome;
    struct WorkerModelRun *live; /* its attempts on running workers, linked by next_live */
} TaskRecord;

/* A submitted job. */
typedef struct JobRecord {
    GeneratedJob generated_job;
    const SiteKind *kind;
    size_t queue;   /* index of its queue in the document */
    bool poison;    /* its tasks always fail */
    bool abandons;  /* its caller cancels it after the first call without a clear answer */
    uint64_t calls; /* submissions that were sent */
    TaskRecord *tasks;
    size_t task_count, tasks_per_turn;
    size_t first_task_of_step[GENERATED_JOB_STEPS_MAX];
    int64_t sent_ms, accepted_ms; /* 0: not yet */
    const TopologyNode *accepted_by;
    int pending_submissions; /* submissions whose answer is pending */
    bool outcome_unclear;    /* a submission had no clear answer */
    int64_t refused_ms;      /* when the last submission was refused, if all were; 0: not all were */
    int64_t cancel_sent_ms, cancel_acknowledged_ms; /* sent, and acknowledged; 0: not yet */
    JobWord shown;
    int64_t shown_ms;      /* when its end was first shown; 0: not yet */
    int64_t idle_since_ms; /* since when the job is idle although there is capacity; 0: it is not idle; -1: reported */
    int64_t confirmed_ms;  /* when it was read with a clear answer after traffic ended; 0: not yet */
} JobRecord;

/* All jobs of a day. starts: attempts started. */
typedef struct JobRecords {
    Topology *topology;
    Map *by_id;
    JobRecord **jobs;
    size_t count;
    size_t starts, ends_by_word[ATTEMPT_STATUS_COUNT];
} JobRecords;

JobRecords *job_records_new(void *mem, Topology *topology);
/* Adds a job. The generated job is copied; its texts must outlive the records. */
JobRecord *job_records_add(JobRecords *records, const GeneratedJob *generated_job, const SiteKind *kind);
/* Returns the job of this id, or null. */
JobRecord *job_records_job(const JobRecords *records, const char *id);
/* Returns the record of the task, or null if there is no such task. */
TaskRecord *job_records_task(const JobRecords *records, const TaskName *name);
const GeneratedJobStep *job_records_step(const TaskRecord *task);
/* Whether all tasks of the steps that the step depends on are done. */
bool job_records_ready(const JobRecord *job, uint64_t turn, uint64_t step);
/* Time at which the turn may begin, on the true wall clock; 0: immediately. */
int64_t job_records_due_wall_ms(const JobRecord *job, uint64_t turn);
/* Whether all tasks are done; a lasting job never is. */
bool job_records_done(const JobRecord *job);
/* Number of failed attempts below attempt whose failure has been acknowledged. */
size_t job_records_acknowledged_failures(const TaskOutcome *task_outcome, uint64_t attempt);
/* Records that the attempt failed. */
void job_records_add_failure(TaskOutcome *task_outcome, uint64_t attempt);
/* Whether all allowed attempts have failed. */
bool job_records_attempts_spent(const JobRecord *job, const TaskOutcome *task_outcome);
/* Encodes a checkpoint as a text that identifies its task, and decodes the progress in such a text; -1: the
 * checkpoint belongs to another task. */
const char *job_records_checkpoint_text(void *mem, const TaskRecord *task, int64_t progress_ms);
int64_t job_records_checkpoint_ms(const TaskRecord *task, const char *saved);

#endif
