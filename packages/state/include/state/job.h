#ifndef STATE_JOB_H
#define STATE_JOB_H

/* Jobs as the replicated state holds them: what was submitted, its tasks, their
 * phases and sums over them. The order of the fields in each list is their order on
 * disk and on the wire: fields are only added at the end. Readers get jobs from
 * table.h; only packages/state changes them. Nothing here waits. */

#include "base/constants.h"
#include "state/capacity.h"

/* A group of equal tasks inside a job. Invariant, checked when the job is submitted: after names steps of the same job,
 * without cycles. */
#define STEP_SPEC_FIELDS(X)                                                                               \
    X(TXT, name, 0)                                                                                       \
    X(TXS, after, 0)             /* names of the steps that must be done before */                        \
    X(U64, count, 0)             /* tasks in this step */                                                 \
    X(FLAG, gang, 0)             /* all of them are placed together or none */                            \
    X(ONE, resources, Resources) /* demand of each task */                                                \
    X(TXT, kind, 0)              /* of worker; empty: any */                                              \
    X(TXS, labels, 0)            /* the worker must have all */                                           \
    X(TXT, payload, 0)           /* JSON for the worker; not interpreted here */                          \
    X(U64, est_ms, 0)            /* ms; the submitter's estimate of one task's run time; 0: none */       \
    X(U64, apart, 0)             /* at most so many of its tasks on one worker; 0: any number */          \
    X(FLAG, same_rack, 0)        /* it is faster when all its tasks are in one rack */                    \
    X(TXT, near, 0)              /* the rack that holds its data; empty: none */                          \
    X(FLAG, saves, 0)            /* its attempts make checkpoints, from which the next attempt resumes */ \
    X(FLAG, copies, 0)           /* two attempts of a task may run at the same time */
SHAPE(StepSpec, STEP_SPEC_FIELDS)

/* What a task is promised after its worker is lost. PROTECTED: a restart, which the
 * planner guarantees before the task starts (the paper's protected VMs). BEST_EFFORT: one
 * restart, if there is capacity. NONE: no restart. */
#define PROTECTION_LIST(X)        \
    X(PROTECTED, "protected")     \
    X(BEST_EFFORT, "best-effort") \
    X(NONE, "none")
typedef enum Protection {
#define X(name, word) PROTECTION_##name,
    PROTECTION_LIST(X)
#undef X
        PROTECTION_COUNT
} Protection;

/* What the caller submitted. It never changes; two are the same job exactly
 * when their ids are the same, and the same body when all of this is equal. */
#define JOB_SPEC_FIELDS(X)                                                                                      \
    X(TXT, id, 0)                                                                                               \
    X(TXT, cell, 0)                                                                                             \
    X(TXT, tenant, 0)                                                                                           \
    X(TXT, queue, 0)                                                                                            \
    X(I64, priority, 0)                                                                                         \
    X(U64, protection, 0)    /* a Protection */                                                                 \
    X(FLAG, copies, 0)       /* as in StepSpec, for all steps */                                                \
    X(I64, due_wall_ms, 0)   /* ms of wall time; not before; 0: none */                                         \
    X(I64, delay_ms, 0)      /* ms; not before so long after acceptance */                                      \
    X(U64, attempt_limit, 0) /* failed attempts of a task that fail it */                                       \
    X(LST, steps, StepSpec)                                                                                     \
    X(FLAG, lasting, 0)      /* its tasks run until it is cancelled: however an attempt ends, another starts */ \
    X(U64, turns, 0)         /* all steps are done so many times; 0 means once */                               \
    X(I64, first_wall_ms, 0) /* ms of wall time; turn K is due at first_wall_ms + K x period_ms; 0: at once */  \
    X(I64, period_ms, 0)
SHAPE(JobSpec, JOB_SPEC_FIELDS)

/* Number of turns of the job, at least 1. */
uint64_t job_turn_count(const JobSpec *spec);

/* The states of a task: name, word in the API, whether it occupies its worker.
 *
 *     from              to         on
 *     WAITING           PLACED     PLACE
 *     WAITING           RUNNING    ATTEMPTS: an attempt runs whose placement the disks lost
 *     PLACED            RUNNING    ATTEMPTS: running
 *     PLACED, RUNNING   STOPPING   STOP; JOB_CANCEL, JOB_END; another task of its job failed for good;
 *                                  another member of its gang ended
 *     on a worker       WAITING    ATTEMPTS, WORKER_LOST: the attempt is over, another one is due
 *     on a worker       CANCELLED  ATTEMPTS, WORKER_LOST: the attempt is over, the job is being ended
 *     not ended         FAILED     ATTEMPTS, WORKER_LOST: the attempt is over, no other one is left
 *     not ended         DONE       ATTEMPTS: done, of whichever attempt; JOB_ADD, when that came before
 *                                  the job; JOB_END as done
 *     WAITING           CANCELLED  JOB_CANCEL, JOB_END; another task of its job failed for good
 *
 * "On a worker" is PLACED, RUNNING or STOPPING. DONE, FAILED and CANCELLED are final. */
#define TASK_PHASE_LIST(X)                                                                 \
    X(WAITING, "waiting", false) /* for earlier steps, its due time, capacity or a rest */ \
    X(PLACED, "placed", true)    /* ordered to a worker that has not confirmed it yet */   \
    X(RUNNING, "running", true)                                                            \
    X(STOPPING, "stopping", true) /* ordered to stop; its capacity is not free yet */      \
    X(DONE, "done", false)                                                                 \
    X(FAILED, "failed", false)                                                             \
    X(CANCELLED, "cancelled", false)
typedef enum TaskPhase {
#define X(name, word, on_worker) TASK_##name,
    TASK_PHASE_LIST(X)
#undef X
        TASK_PHASE_COUNT
} TaskPhase;

/* Whether a task in this phase may be running on its worker. */
bool task_on_worker(uint64_t phase);
/* Whether the phase is final. */
bool task_ended(uint64_t phase);

/* One unit of a job. Invariants: attempt, the number of the newest attempt, grows with each
 * placement and never falls; worker is non-empty exactly when the phase is one of those
 * on a worker; an ended task never leaves its phase. Times are log time unless said. */
#define JOB_TASK_FIELDS(X)                                                                                            \
    X(U64, step, 0)    /* index in the spec's steps */                                                                \
    X(U64, phase, 0)   /* a TaskPhase */                                                                              \
    X(U64, attempt, 0) /* number of the newest attempt; 0: none yet */                                                \
    X(U64, misses, 0)  /* attempts that failed by themselves; of a lasting task: quick failures in a row */           \
    X(U64, losses, 0)  /* attempts lost with their worker */                                                          \
    X(TXT, worker, 0)                                                                                                 \
    X(U64, incarnation, 0)   /* of the agent that the order was for */                                                \
    X(FLAG, assured, 0)      /* the plan for worker losses includes its restart */                                    \
    X(I64, rest_until_ms, 0) /* ms; is not placed before */                                                           \
    X(I64, changed_ms, 0)    /* ms; of its last change of phase */                                                    \
    X(I64, started_ms, 0)    /* ms; start of the first attempt; 0: none */                                            \
    X(TXT, text, 0)          /* the worker's last message about it */                                                 \
    X(TXT, shunned, 0) /* the worker that its last attempt failed on, or that refused it; avoided for the next one */ \
    X(U64, turn, 0)    /* from 0; the tasks of one turn wait for that turn's steps alone */                           \
    X(U64, at, 0)      /* its place among its turn's and step's tasks, from 0 */                                      \
    X(TXT, saved, 0)   /* its last checkpoint, as the worker reported it; a gang shares one */                        \
    X(U64, miss_attempt, 0) /* the attempt that misses last counted: a gang's failure counts once */                  \
    X(RAM, on_at, size_t)   /* its index among the tasks on its worker (src/on_worker.c) */
SHAPE(JobTask, JOB_TASK_FIELDS)

/* The states of a job. ACTIVE becomes one of the others, once, in the delivery that
 * ends its last task: DONE when all tasks are done, else what Job.ending says, else
 * FAILED. The others are final. */
#define JOB_PHASE_LIST(X) \
    X(ACTIVE, "active")   \
    X(DONE, "done")       \
    X(FAILED, "failed")   \
    X(CANCELLED, "cancelled")
typedef enum JobPhase {
#define X(name, word) JOB_##name,
    JOB_PHASE_LIST(X)
#undef X
        JOB_PHASE_COUNT
} JobPhase;

/* What the configuration of its queue and tenant said when the job was accepted. It is no part of
 * the body: the same job sent again under a newer configuration is the same job. */
#define JOB_TERMS_FIELDS(X)                                                                              \
    X(U64, attempt_limit, 0) /* failed attempts of one task, or one gang, that fail it; 0: the spec's */ \
    X(U64, stretch_milli, 0) /* thousandths; latency target: stretch x its longest chain of work ... */  \
    X(I64, target_ms, 0)     /* ms; ... + this, from acceptance or due time; both 0: none */             \
    X(I64, priority, 0)      /* of the queue */                                                          \
    X(TXT, kind, 0)          /* of worker that the queue is served by; empty: any */                     \
    X(ONE, quota, Resources) /* of its tenant, for when the configuration has that no more; 0: none */
SHAPE(JobTerms, JOB_TERMS_FIELDS)

/* Sums over a job's tasks, so that no reader has to walk the tasks. Updated with each
 * change of a phase; job_sum computes them anew.
 * Invariant: equal to what a walk over the tasks would count. */
typedef struct JobSums {
    size_t open;   /* tasks that have not ended */
    size_t undone; /* tasks that are not done */
    size_t waiting;
    uint64_t *before; /* by step: a bit for each step that must be done before */
    uint64_t *done;   /* by turn: a bit for each step that is done */
    uint32_t *left;   /* by turn, then step: tasks that are not done */
} JobSums;

/* Invariants: number is its place in the order of acceptance, never used
 * again; phase leaves ACTIVE once, and only when every task has ended. */
#define JOB_FIELDS(X)                                                              \
    X(ONE, spec, JobSpec)                                                          \
    X(U64, number, 0)                                                              \
    X(U64, phase, 0)       /* a JobPhase */                                        \
    X(U64, ending, 0)      /* ACTIVE, or the phase it gets once no task is open */ \
    X(I64, accepted_ms, 0) /* ms; log time */                                      \
    X(I64, ended_ms, 0)    /* ms; log time */                                      \
    X(LST, tasks, JobTask) /* in the order of turns, then steps */                 \
    X(ONE, terms, JobTerms)                                                        \
    X(RAM, sums, JobSums)
SHAPE(Job, JOB_FIELDS)

/* Computes the sums of a job with all its tasks. The job is their talloc parent. */
void job_sum(Job *job);
/* Updates the sums; to be called just before the task's phase becomes phase. */
void job_sum_phase(Job *job, const JobTask *task, uint64_t phase);

/* A task's number names it outside of its job: by turn, step and place in the
 * step, so that whoever knows these three needs no look at the job. */
#define TASK_NUMBER_PLACES 16384 /* count; more than JOB_TASKS_MAX */
#define TASK_NUMBER(turn, step, at) (((uint64_t)(turn)*JOB_STEPS_MAX + (step)) * TASK_NUMBER_PLACES + (at))
uint64_t task_number(const JobTask *task);
/* Its index in tasks; tasks_count when the job has no such task. Any number is allowed. */
size_t task_index(const Job *job, uint64_t number);
/* Whether the steps that its step comes after are done, in its own turn. */
bool task_steps_done(const Job *job, const JobTask *task);
/* When its turn is due, in ms of wall time; 0: at once. */
int64_t task_due_wall_ms(const Job *job, const JobTask *task);
/* The index of the first task of its turn and step; those of a step stand one after another. */
size_t task_first(const Job *job, const JobTask *task);

/* The API's words; "unlisted" for a number that a later release may have sent. */
const char *task_phase_word(uint64_t phase);
const char *job_phase_word(uint64_t phase);
const char *protection_word(uint64_t protection);
/* PROTECTION_COUNT when there is no such word. */
Protection protection_of_word(const char *word);

#endif
