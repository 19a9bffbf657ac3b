#ifndef STATE_JOB_H
#define STATE_JOB_H

#include "base/constants.h"
#include "wire/shape.h"

/* Room is a vector; a task fits where every part of it does. */
#define ROOM_FIELDS(X)   \
    X(U64, cpu_milli, 0) \
    X(U64, mem_mb, 0)    \
    X(U64, gpu, 0)
SHAPE(Room, ROOM_FIELDS)

#define STEP_SPEC_FIELDS(X)                                                             \
    X(TXT, name, 0)                                                                     \
    X(TXS, after, 0)      /* names of the steps that must be done before */             \
    X(U64, count, 0)      /* tasks in this step */                                      \
    X(FLAG, gang, 0)      /* all of them placed together or none */                     \
    X(ONE, room, Room)    /* of each task */                                            \
    X(TXT, kind, 0)       /* of worker; empty: any */                                   \
    X(TXS, labels, 0)     /* the worker must have all */                                \
    X(TXT, payload, 0)    /* JSON for the worker; not read here */                      \
    X(U64, est_ms, 0)     /* the caller's rough estimate of one task's time; 0: none */ \
    X(U64, apart, 0)      /* at most so many of its tasks on one worker; 0: any */      \
    X(FLAG, same_rack, 0) /* faster when all its tasks are in one rack */               \
    X(TXT, near, 0)       /* the rack that holds its data; empty: none */               \
    X(FLAG, saves, 0)     /* what an attempt has done so far is kept for the next */    \
    X(FLAG, copies, 0)    /* two attempts of a task at once are allowed */
SHAPE(StepSpec, STEP_SPEC_FIELDS)

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

/* What the caller handed in. It never changes; two are the same job exactly
 * when their ids are the same, and the same body when all of this is equal. */
#define JOB_SPEC_FIELDS(X)                                                                                      \
    X(TXT, id, 0)                                                                                               \
    X(TXT, cell, 0)                                                                                             \
    X(TXT, tenant, 0)                                                                                           \
    X(TXT, queue, 0)                                                                                            \
    X(I64, priority, 0)                                                                                         \
    X(U64, protection, 0)                                                                                       \
    X(FLAG, copies, 0)       /* the owner allows two at once */                                                 \
    X(I64, due_wall_ms, 0)   /* not before; 0: none */                                                          \
    X(I64, delay_ms, 0)      /* not before so long after acceptance */                                          \
    X(U64, attempt_limit, 0) /* a task that failed so often has failed */                                       \
    X(LST, steps, StepSpec)                                                                                     \
    X(FLAG, lasting, 0)      /* its tasks run until it is cancelled; however an attempt ends, another starts */ \
    X(U64, turns, 0)         /* all steps are done so many times; 0 is once */                                  \
    X(I64, first_wall_ms, 0) /* turn K is due at first_wall_ms + K x period_ms; 0: at once */                   \
    X(I64, period_ms, 0)
SHAPE(JobSpec, JOB_SPEC_FIELDS)

#define TASK_PHASE_LIST(X)                                                     \
    X(WAITING, "waiting", false) /* for steps, due time, room or rest */       \
    X(PLACED, "placed", true)    /* an order is out, no word of it yet */      \
    X(RUNNING, "running", true)                                                \
    X(STOPPING, "stopping", true) /* told to stop; its room is not free yet */ \
    X(DONE, "done", false)                                                     \
    X(FAILED, "failed", false)                                                 \
    X(CANCELLED, "cancelled", false)
typedef enum TaskPhase {
#define X(name, word, on_worker) TASK_##name,
    TASK_PHASE_LIST(X)
#undef X
        TASK_PHASE_COUNT
} TaskPhase;

/* Whether a task in this phase may be running on its worker. */
bool task_on_worker(uint64_t phase);
bool task_ended(uint64_t phase);

/* One unit of a job. Invariants: round grows with each placement and never
 * falls; worker is non-empty exactly when the phase is one of those on a
 * worker; an ended task never leaves its phase. */
#define JOB_TASK_FIELDS(X)                                                                                  \
    X(U64, step, 0)                                                                                         \
    X(U64, phase, 0)                                                                                        \
    X(U64, attempt, 0)                                                                                      \
    X(U64, misses, 0) /* attempts that failed by themselves; of a lasting task: in a row, soon */           \
    X(U64, losses, 0) /* attempts lost with their worker */                                                 \
    X(TXT, worker, 0)                                                                                       \
    X(U64, incarnation, 0)   /* of the agent that the order was for */                                      \
    X(FLAG, assured, 0)      /* a plan includes its restart */                                              \
    X(I64, rest_until_ms, 0) /* log time; waits at least so long */                                         \
    X(I64, changed_ms, 0)    /* log time of its last change of phase */                                     \
    X(I64, started_ms, 0)    /* log time of the first round's start; 0: none */                             \
    X(TXT, text, 0)          /* the worker's last word on it */                                             \
    X(TXT, shunned, 0)       /* the worker that its last round failed on, or that refused it */             \
    X(U64, turn, 0)          /* from 0; the tasks of one turn wait for that turn's steps alone */           \
    X(U64, at, 0)            /* its place among its turn's and step's tasks, from 0 */                      \
    X(TXT, saved, 0)         /* how far its attempts have come, as the worker worded it; a gang's is one */ \
    X(U64, miss_attempt, 0)  /* the attempt that misses last counted: a gang's failure counts once */       \
    X(RAM, on_at, size_t)    /* its place among those on its worker */
SHAPE(JobTask, JOB_TASK_FIELDS)

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

/* What its queue's configuration said when the job was accepted. It is no part of
 * the body: the same job sent again under a newer configuration is the same job. */
#define JOB_TERMS_FIELDS(X)                                                                                  \
    X(U64, attempt_limit, 0) /* failed attempts of one task, or one gang, that fail it; 0: the spec's own */ \
    X(U64, stretch_milli, 0) /* its target: stretch x its longest chain of work ...  */                      \
    X(I64, target_ms, 0)     /* ... + this, from acceptance or due time; both 0: none */                     \
    X(I64, priority, 0)      /* of the queue */                                                              \
    X(TXT, kind, 0)          /* of worker that the queue is served by; empty: any */
SHAPE(JobTerms, JOB_TERMS_FIELDS)

/* What a job's tasks add up to, so that nobody walks them to know. Kept with each
 * change of a phase; job_sum builds it anew. */
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
#define JOB_FIELDS(X)                                                         \
    X(ONE, spec, JobSpec)                                                     \
    X(U64, number, 0)                                                         \
    X(U64, phase, 0)                                                          \
    X(U64, ending, 0)      /* ACTIVE, or what it will be once no task runs */ \
    X(I64, accepted_ms, 0) /* log time */                                     \
    X(I64, ended_ms, 0)                                                       \
    X(LST, tasks, JobTask) /* in the order of turns, then steps */            \
    X(ONE, terms, JobTerms)                                                   \
    X(RAM, sums, JobSums)
SHAPE(Job, JOB_FIELDS)

/* For a job whose tasks stand; job is a talloc parent. */
void job_sum(Job *job);
/* The task is about to come into the phase. */
void job_sum_turn(Job *job, const JobTask *task, uint64_t phase);

/* A task's number names it outside of its job: by turn, step and place in the
 * step, so that whoever knows these three needs not know the job. */
#define TASK_NUMBER_PLACES 16384 /* count; more than JOB_TASKS_MAX */
#define TASK_NUMBER(turn, step, at) (((uint64_t)(turn)*JOB_STEPS_MAX + (step)) * TASK_NUMBER_PLACES + (at))
uint64_t task_number(const JobTask *task);
/* Its index in tasks; tasks_count when the job has no such task. */
size_t task_index(const Job *job, uint64_t number);
/* Whether the steps that its step comes after are done, in its own turn. */
bool task_steps_done(const Job *job, const JobTask *task);
/* When its turn is due, by the wall clock; 0: at once. */
int64_t task_due_wall_ms(const Job *job, const JobTask *task);
/* The index of the first task of its turn and step; those of a step stand one after another. */
size_t task_first(const Job *job, const JobTask *task);

const char *task_phase_word(uint64_t phase);
const char *job_phase_word(uint64_t phase);
const char *protection_word(uint64_t protection);
/* PROTECTION_COUNT when the word is none of ours. */
Protection protection_of_word(const char *word);

#endif
