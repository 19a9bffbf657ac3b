#ifndef TABLE_JOB_H
#define TABLE_JOB_H

#include "wire/shape.h"

/* Room is a vector; a task fits where every part of it does. */
#define ROOM_FIELDS(X) X(U64, cpuMilli, 0) X(U64, memMb, 0)
SHAPE(Room, ROOM_FIELDS)

#define STEP_SPEC_FIELDS(X)                                              \
    X(TXT, name, 0)                                                        \
    X(TXS, after, 0)    /* names of the steps that must be done before */   \
    X(U64, count, 0)    /* tasks in this step */                            \
    X(FLAG, gang, 0)    /* all of them placed together or none */           \
    X(ONE, room, Room)  /* of each task */                                  \
    X(TXT, kind, 0)     /* of worker; empty: any */                         \
    X(TXS, labels, 0)   /* the worker must have all */                      \
    X(TXT, payload, 0)  /* JSON for the worker; not read here */
SHAPE(StepSpec, STEP_SPEC_FIELDS)

#define PROTECTION_LIST(X) X(PROTECTED, "protected") X(BEST_EFFORT, "best-effort") X(NONE, "none")
typedef enum Protection {
#define X(name, word) PROTECTION_##name,
    PROTECTION_LIST(X)
#undef X
        PROTECTION_COUNT
} Protection;

/* What the caller handed in. It never changes; two are the same job exactly
 * when their ids are the same, and the same body when all of this is equal. */
#define JOB_SPEC_FIELDS(X)                                                      \
    X(TXT, id, 0)                                                                 \
    X(TXT, cell, 0)                                                               \
    X(TXT, tenant, 0)                                                             \
    X(TXT, queue, 0)                                                              \
    X(I64, priority, 0)                                                           \
    X(U64, protection, 0)                                                         \
    X(FLAG, copies, 0)     /* the owner allows two at once */                      \
    X(I64, dueWallMs, 0)   /* not before; 0: none */                               \
    X(I64, delayMs, 0)     /* not before so long after acceptance */               \
    X(U64, roundLimit, 0)  /* a task that failed so often has failed */            \
    X(LST, steps, StepSpec)
SHAPE(JobSpec, JOB_SPEC_FIELDS)

#define TASK_PHASE_LIST(X)                                                    \
    X(WAITING, "waiting", false)     /* for steps, due time, room or rest */    \
    X(PLACED, "placed", true)        /* an order is out, no word of it yet */   \
    X(RUNNING, "running", true)                                                 \
    X(STOPPING, "stopping", true)    /* told to stop; its room is not free yet */ \
    X(DONE, "done", false)                                                      \
    X(FAILED, "failed", false)                                                  \
    X(CANCELLED, "cancelled", false)
typedef enum TaskPhase {
#define X(name, word, onWorker) TASK_##name,
    TASK_PHASE_LIST(X)
#undef X
        TASK_PHASE_COUNT
} TaskPhase;

/* Whether a task in this phase may be running on its worker. */
bool taskOnWorker(uint64_t phase);
bool taskEnded(uint64_t phase);

/* One unit of a job. Invariants: round grows with each placement and never
 * falls; worker is non-empty exactly when the phase is one of those on a
 * worker; an ended task never leaves its phase. */
#define JOB_TASK_FIELDS(X)                                                   \
    X(U64, step, 0)                                                            \
    X(U64, phase, 0)                                                           \
    X(U64, round, 0)                                                           \
    X(U64, misses, 0)      /* rounds that failed by themselves */               \
    X(U64, losses, 0)      /* rounds lost with their worker */                  \
    X(TXT, worker, 0)                                                          \
    X(U64, incarnation, 0) /* of the agent that the order was for */            \
    X(FLAG, assured, 0)    /* a plan includes its restart */                    \
    X(I64, restUntilMs, 0) /* log time; waits at least so long */               \
    X(I64, changedMs, 0)   /* log time of its last change of phase */           \
    X(I64, startedMs, 0)   /* log time of the first round's start; 0: none */   \
    X(TXT, text, 0)        /* the worker's last word on it */                   \
    X(TXT, shunned, 0)     /* the worker that its last round failed on */
SHAPE(JobTask, JOB_TASK_FIELDS)

#define JOB_PHASE_LIST(X) X(ACTIVE, "active") X(DONE, "done") X(FAILED, "failed") X(CANCELLED, "cancelled")
typedef enum JobPhase {
#define X(name, word) JOB_##name,
    JOB_PHASE_LIST(X)
#undef X
        JOB_PHASE_COUNT
} JobPhase;

/* Invariants: number is its place in the order of acceptance, never used
 * again; phase leaves ACTIVE once, and only when every task has ended. */
#define JOB_FIELDS(X)                                                          \
    X(ONE, spec, JobSpec)                                                        \
    X(U64, number, 0)                                                            \
    X(U64, phase, 0)                                                             \
    X(U64, ending, 0)     /* ACTIVE, or what it will be once no task runs */      \
    X(I64, acceptedMs, 0) /* log time */                                          \
    X(I64, endedMs, 0)                                                           \
    X(LST, tasks, JobTask) /* in the order of the steps */
SHAPE(Job, JOB_FIELDS)

const char *taskPhaseWord(uint64_t phase);
const char *jobPhaseWord(uint64_t phase);
const char *protectionWord(uint64_t protection);
/* PROTECTION_COUNT when the word is none of ours. */
Protection protectionOfWord(const char *word);

#endif
