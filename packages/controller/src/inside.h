#ifndef CONTROLLER_SRC_INSIDE_H
#define CONTROLLER_SRC_INSIDE_H

#include "api/job_json.h"
#include "api/show.h"
#include "base/map.h"
#include "callers/callers.h"
#include "heartbeat/lease.h"
#include "heartbeat/liveset.h"
#include "heartbeat/orphans.h"
#include "controller/controller.h"
#include "routing/config_watch.h"
#include "routing/forward.h"
#include "queue/line.h"
#include "scheduler/attempt_pace.h"
#include "scheduler/checkpoint.h"
#include "scheduler/worker_score.h"

/* What leaders have done since the process began, but for the scheduler's and the callers' parts; X(name). */
#define CONTROLLER_COUNT_LIST(X) \
    X(repairs, "repairs")        \
    X(retold, "retold")

typedef struct ControllerCounts {
#define X(name, outside) uint64_t name;
    CONTROLLER_COUNT_LIST(X)
#undef X
} ControllerCounts;

/* All counts as status and metrics show them, in this order; X(owner, name). */
#define CONTROLLER_SHOWN_COUNT_LIST(X) \
    X(scheduler, passes)               \
    X(scheduler, placed)               \
    X(scheduler, unassured)            \
    X(scheduler, plan_checks)          \
    X(scheduler, plan_refusals)        \
    X(scheduler, lost)                 \
    X(scheduler, pushed)               \
    X(controller, repairs)             \
    X(controller, retold)              \
    X(callers, refused)                \
    X(callers, crowded)                \
    X(scheduler, kept)                 \
    X(scheduler, moved)                \
    X(scheduler, slowed)               \
    X(callers, unproven)

/* Invariants:
 *  - only a node for which replication_leading is true plans, answers callers or gives
 *    orders, and it looks at the clock before each;
 *  - while repairing is true nothing is decided and nobody is told of a job;
 *  - nothing is placed before the scheduler's place_from_ms, which is when all that the log
 *    may have forgotten has lapsed, or every agent has told what it has. */
struct Controller {
    Loop *loop;
    Recorder *recorder;
    const Settings *settings;
    ControllerWatch watch;
    Rpc *rpc;
    Members *members;
    Replication *replication;
    Table *table;
    RepairBuffer *repair_buffer;
    Forwarder *forwarder;
    ConfigWatch *config_watch; /* asks for the document while this controller has no voter */
    Trace *trace;
    Liveset *liveset;
    Map *lines;        /* worker names to AgentLine */
    struct News *told; /* gathers what attempts came to */
    Orphans *orphans;
    InForce *in_force;
    Scheduler *scheduler;
    CallerService *callers;
    Map *alerts; /* those that stand */
    uint64_t alert_looks;
    PieceSource piece_source;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    bool leaving;
    int64_t started_ms;
    bool repairing;
    uint64_t repair_turn;
    ControllerCounts counts;
};

/* Leads, by the clock, and has all that was told. */
bool controller_decides(Controller *controller);
QueueClock controller_clock(const Controller *controller);
/* Waits. Submits a shape as a change. What is packed lives on mem. */
Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result);

/* How long any lease runs that this or the last leader may have answered, by the own clock. */
int64_t controller_claim_ms(const Controller *controller);

/* The way to one agent. Never freed while the process runs. */
typedef struct AgentLine {
    Signal news;   /* its orders have changed, or whether they may be given */
    uint64_t turn; /* of its newest question; an earlier one waits no longer */
    bool learning; /* what a heartbeat made known is being committed */
} AgentLine;

AgentLine *agent_line(Controller *controller, const char *worker);
void orders_start(Controller *controller);
/* All agents' questions are looked at again. */
void orders_wake(Controller *controller);
/* Waits, at most wait_ms, for newer orders than the agent has; answers with them, or
 * leaves the answer as it is. */
void orders_answer(Controller *controller, void *mem, const HeartbeatAsk *heartbeat, int64_t wait_ms,
                   HeartbeatAnswer *out);

typedef struct News News;
void news_start(Controller *controller);
/* Waits until the news are committed, together with what others tell. */
Status news_tell(Controller *controller, const AttemptNews *list, size_t count);
/* Commits that an attempt runs when there is an occasion. */
void news_later(Controller *controller, const AttemptNews *one);
/* What waits for an occasion is committed now. */
void news_hurry(Controller *controller);
/* Nothing waits and nothing is on its way. */
bool news_idle(const Controller *controller);

/* body: as the table tells it. */
void trace_delivered(Controller *controller, const Record *change, const void *body, const ChangeResult *result);
/* The scheduler of this node, on controller. */
Scheduler *scheduling_new(Controller *controller);
void repair_start(Controller *controller);
void agents_serve(Controller *controller);
void callers_serve(Controller *controller);
json_object *controller_status(Controller *controller);

#endif
