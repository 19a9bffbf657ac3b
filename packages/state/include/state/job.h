#ifndef STATE_JOB_H
#define STATE_JOB_H

/* Jobs in the replicated state: the submitted specification, the tasks with their phases, and sums over the tasks. The
 * order of the fields in each list is their order on disk and on the wire, so fields are only appended. Readers get
 * jobs through table.h; only packages/state modifies them. No function here suspends the coroutine. */

#include "base/constants.h"
#include "state/capacity.h"

/* A group of identical tasks within a job. Invariant, checked when the job is submitted: after refers to steps of the
 * same job and forms no cycle. */
#define STEP_SPEC_FIELDS(X)                                                                                \
    X(TXT, name, 0)                                                                                        \
    X(TXS, after, 0)             /* names of the steps that must be done first */                          \
    X(U64, count, 0)             /* number of tasks */                                                     \
    X(FLAG, gang, 0)             /* the tasks are placed all together or not at all */                     \
    X(ONE, resources, Resources) /* demand of each task */                                                 \
    X(TXT, kind, 0)              /* required kind of worker; empty: any */                                 \
    X(TXS, labels, 0)            /* labels that the worker must have, all of them */                       \
    X(TXT, payload, 0)           /* JSON for the worker; not interpreted here */                           \
    X(U64, est_ms, 0)            /* submitter's estimate of the run time of one task, in ms; 0: none */    \
    X(U64, apart, 0)             /* maximum number of its tasks on one worker; 0: unlimited */             \
    X(FLAG, same_rack, 0)        /* preference: all tasks in one rack, where they run faster */            \
    X(TXT, near, 0)              /* rack that holds its data; empty: none */                               \
    X(FLAG, saves, 0)            /* its attempts write checkpoints, from which the next attempt resumes */ \
    X(FLAG, copies, 0)           /* two attempts of a task may run concurrently */
SHAPE(StepSpec, STEP_SPEC_FIELDS)

/* The restart guarantee for a task whose worker is lost. PROTECTED: it is restarted, which the planner guarantees
 * before the task starts (the protected VMs of XenServer's HA design). BEST_EFFORT: one restart if there is capacity.
 * NONE: none. */
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

/* A job as the caller submitted it; immutable. Two specifications denote the same job when their ids are equal, and
 * have the same body when all fields are equal. */
#define JOB_SPEC_FIELDS(X)                                                                                            \
    X(TXT, id, 0)                                                                                                     \
    X(TXT, cell, 0)                                                                                                   \
    X(TXT, tenant, 0)                                                                                                 \
    X(TXT, queue, 0)                                                                                                  \
    X(I64, priority, 0)                                                                                               \
    X(U64, protection, 0)    /* a Protection */                                                                       \
    X(FLAG, copies, 0)       /* as in StepSpec, for all steps */                                                      \
    X(I64, due_wall_ms, 0)   /* earliest start, in ms of wall time; 0: none */                                        \
    X(I64, delay_ms, 0)      /* minimum delay from acceptance to start, in ms */                                      \
    X(U64, attempt_limit, 0) /* number of failed attempts after which a task fails */                                 \
    X(LST, steps, StepSpec)                                                                                           \
    X(FLAG, lasting, 0)      /* runs until it is cancelled: every ended attempt of a task is followed by another */   \
    X(U64, turns, 0)         /* number of times that all steps are run; 0: once */                                    \
    X(I64, first_wall_ms, 0) /* turn K is due at first_wall_ms + K x period_ms, in ms of wall time; 0: immediately */ \
    X(I64, period_ms, 0)
SHAPE(JobSpec, JOB_SPEC_FIELDS)

/* Returns the number of turns of the job, at least 1. */
uint64_t job_turn_count(const JobSpec *spec);

/* The states of a task: name, name in the API, and whether the task occupies a worker.
 *
 *     from              to         on
 *     WAITING           PLACED     PLACE
 *     WAITING           RUNNING    ATTEMPTS: running, in an attempt whose placement the disks lost
 *     PLACED            RUNNING    ATTEMPTS: running
 *     PLACED, RUNNING   STOPPING   STOP; JOB_CANCEL, JOB_END; another task of the job failed permanently;
 *                                  the attempt of another gang member ended
 *     on a worker       WAITING    ATTEMPTS, WORKER_LOST: the attempt is over, and another one follows
 *     on a worker       CANCELLED  ATTEMPTS, WORKER_LOST: the attempt is over, and the job is being ended
 *     not ended         FAILED     ATTEMPTS, WORKER_LOST: the attempt is over, and no attempts remain
 *     not ended         DONE       ATTEMPTS: done, in any attempt; JOB_ADD, when that report came before
 *                                  the job; JOB_END as done
 *     WAITING           CANCELLED  JOB_CANCEL, JOB_END; another task of the job failed permanently
 *
 * "On a worker" means PLACED, RUNNING or STOPPING. DONE, FAILED and CANCELLED are final. */
#define TASK_PHASE_LIST(X)                                                                        \
    X(WAITING, "waiting", false) /* for earlier steps, its due time, capacity or a retry delay */ \
    X(PLACED, "placed", true)    /* assigned to a worker that has not confirmed the start */      \
    X(RUNNING, "running", true)                                                                   \
    X(STOPPING, "stopping", true) /* ordered to stop; still occupies its capacity */              \
    X(DONE, "done", false)                                                                        \
    X(FAILED, "failed", false)                                                                    \
    X(CANCELLED, "cancelled", false)
typedef enum TaskPhase {
#define X(name, word, on_worker) TASK_##name,
    TASK_PHASE_LIST(X)
#undef X
        TASK_PHASE_COUNT
} TaskPhase;

/* Returns whether a task in this phase may be running on its worker. */
bool task_on_worker(uint64_t phase);
/* Returns whether the phase is final. */
bool task_ended(uint64_t phase);

/* Attempts from first to last, whose failures are counted in JobTask.misses. */
#define COUNTED_ATTEMPTS_FIELDS(X) \
    X(U64, first, 0)               \
    X(U64, last, 0)
SHAPE(CountedAttempts, COUNTED_ATTEMPTS_FIELDS)

/* The unit of execution within a job. Invariants: attempt grows with each placement and never decreases; worker is
 * non-empty exactly when the phase is one on a worker; an ended task stays in its phase. Times are log time in ms. */
#define JOB_TASK_FIELDS(X)                                                                                            \
    X(U64, step, 0)    /* index in spec.steps */                                                                      \
    X(U64, phase, 0)   /* a TaskPhase */                                                                              \
    X(U64, attempt, 0) /* number of the newest attempt; 0: none yet */                                                \
    X(U64, misses, 0)  /* failed attempts; for a lasting task: consecutive attempts that ended early */               \
    X(U64, losses, 0)  /* attempts lost together with their worker */                                                 \
    X(TXT, worker, 0)                                                                                                 \
    X(U64, incarnation, 0)   /* incarnation of the agent that the attempt was assigned to */                          \
    X(FLAG, assured, 0)      /* the plan for worker losses covers its restart */                                      \
    X(I64, rest_until_ms, 0) /* end of the retry delay: the task is not placed before */                              \
    X(I64, changed_ms, 0)    /* time of the last change of phase */                                                   \
    X(I64, started_ms, 0)    /* start of the first attempt; 0: none */                                                \
    X(TXT, text, 0)          /* last message about the task from the worker or the leader */                          \
    X(TXT, shunned, 0) /* worker on which the last attempt failed, was refused or was stopped; avoided by the next */ \
    X(U64, turn, 0)    /* from 0; the tasks of a turn depend only on steps of the same turn */                        \
    X(U64, at, 0)      /* index among the tasks of its turn and step, from 0 */                                       \
    X(TXT, saved, 0)   /* last checkpoint that a worker reported; a gang shares one */                                \
    X(U64, miss_attempt, 0) /* newest attempt counted in misses; earlier releases counted none below it */            \
    /* the attempts counted in misses, so that each failure counts once, whichever members report it and in whichever \
     * order; a gang's are with its first member; at most one row for each of the attempts that are allowed */        \
    X(LST, counted, CountedAttempts)                                                                                  \
    X(RAM, on_at, size_t) /* index among the tasks on its worker (src/worker_tasks.c) */
SHAPE(JobTask, JOB_TASK_FIELDS)

/* The states of a job. A job leaves ACTIVE in the delivery that ends its last task: for Job.ending when that is set,
 * else for DONE when all tasks are done, else for FAILED. All other states are final. */
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

/* Settings that the configuration of the queue and tenant gave the job when it was accepted. They are not part of the
 * body: the same job submitted again under a newer configuration is still the same job. */
#define JOB_TERMS_FIELDS(X)                                                                                  \
    X(U64, attempt_limit, 0) /* failed attempts after which a task or gang fails; 0: limit of the spec */    \
    X(U64, stretch_milli, 0) /* latency target = stretch (in thousandths) x critical path + target_ms ... */ \
    X(I64, target_ms, 0)     /* ... (in ms) from acceptance or due time; both 0: no target */                \
    X(I64, priority, 0)      /* priority of the queue */                                                     \
    X(TXT, kind, 0)          /* kind of worker that serves the queue; empty: any */                          \
    X(ONE, quota, Resources) /* quota of the tenant, used when the configuration no longer has the tenant; 0: none */
SHAPE(JobTerms, JOB_TERMS_FIELDS)

/* Sums over the tasks of a job, so that readers need not iterate over them. Updated with each change of a phase;
 * job_sums_compute recomputes them. Invariant: each sum equals what an iteration over the tasks would give. */
typedef struct JobSums {
    size_t open;   /* tasks that have not ended */
    size_t undone; /* tasks in another phase than DONE */
    size_t waiting;
    uint64_t *dependencies;   /* per step: a bit for each step that must be done first */
    uint64_t *done;           /* per turn: a bit for each step that is done */
    uint32_t *undone_by_step; /* per turn, then step: tasks in another phase than DONE */
} JobSums;

/* A job. Invariants: number is its position in the order of acceptance and is never reused; phase leaves ACTIVE once,
 * when every task has ended. */
#define JOB_FIELDS(X)                                                                        \
    X(ONE, spec, JobSpec)                                                                    \
    X(U64, number, 0)                                                                        \
    X(U64, phase, 0)       /* a JobPhase */                                                  \
    X(U64, ending, 0)      /* ACTIVE, or the phase that follows once every task has ended */ \
    X(I64, accepted_ms, 0) /* log time, in ms */                                             \
    X(I64, ended_ms, 0)    /* log time, in ms */                                             \
    X(LST, tasks, JobTask) /* sorted by turn, then step */                                   \
    X(ONE, terms, JobTerms)                                                                  \
    X(RAM, sums, JobSums)
SHAPE(Job, JOB_FIELDS)

/* Computes the sums of a job from its tasks. Their memory is owned by the job. */
void job_sums_compute(Job *job);
/* Updates the sums for a change of the task's phase; called just before task->phase is set to phase. */
void job_sums_update(Job *job, const JobTask *task, uint64_t phase);

/* The number that identifies a task within its job. It encodes turn, step and index in the step, so that it can be
 * computed without the job. */
#define TASK_NUMBERS_PER_STEP 16384 /* task numbers per step and turn; more than JOB_TASKS_MAX */
#define TASK_NUMBER(turn, step, at) (((uint64_t)(turn)*JOB_STEPS_MAX + (step)) * TASK_NUMBERS_PER_STEP + (at))
uint64_t task_number(const JobTask *task);
/* Returns the index in job->tasks of the task with this number; tasks_count when there is none. Accepts any number. */
size_t task_index(const Job *job, uint64_t number);
/* Returns whether all steps that the task's step depends on are done, in the task's turn. */
bool task_steps_done(const Job *job, const JobTask *task);
/* Returns when the task's turn is due, in ms of wall time; 0: immediately. */
int64_t task_due_wall_ms(const Job *job, const JobTask *task);
/* Returns the index of the first task of the same turn and step; the tasks of a step are consecutive. */
size_t task_first_of_step(const Job *job, const JobTask *task);

/* The names in the API; "unlisted" for an unknown number, which a later release may have sent. */
const char *task_phase_name(uint64_t phase);
const char *job_phase_name(uint64_t phase);
const char *protection_name(uint64_t protection);
/* Returns the protection with this name in the API; PROTECTION_COUNT when there is none. */
Protection protection_of_name(const char *word);

#endif
