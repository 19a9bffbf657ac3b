#ifndef CONTROLLER_SRC_INSIDE_H
#define CONTROLLER_SRC_INSIDE_H

#include "api/job_json.h"
#include "base/map.h"
#include "api/show.h"
#include "heartbeat/lease.h"
#include "heartbeat/liveset.h"
#include "heartbeat/orphans.h"
#include "controller/controller.h"
#include "pace.h"
#include "routing/config_watch.h"
#include "routing/forward.h"
#include "plan/plan.h"
#include "policy/lua.h"
#include "queue/line.h"

/* Figures of the leader's work, for status and measurement. */
#define CONTROLLER_COUNT_LIST(X)     \
    X(passes, "passes")              \
    X(placed, "placed")              \
    X(unassured, "unassured")        \
    X(plan_checks, "planChecks")     \
    X(plan_refusals, "planRefusals") \
    X(lost, "lost")                  \
    X(pushed, "pushed")              \
    X(repairs, "repairs")            \
    X(retold, "retold")              \
    X(refused, "refused")            \
    X(crowded, "crowded")            \
    X(kept, "kept")                  \
    X(moved, "moved")                \
    X(slowed, "slowed")              \
    X(unproven, "unproven")

typedef struct ControllerCounts {
#define X(name, outside) uint64_t name;
    CONTROLLER_COUNT_LIST(X)
#undef X
} ControllerCounts;

/* Workers kept for one candidate that small work would overtake for ever. */
typedef struct Reservation {
    const char *job;
    size_t task; /* its first */
    double rank;
    int64_t since_ms;
    size_t worker_count;
    const char *workers[RESERVATION_MEMBERS_MAX];
    int64_t until_ms[RESERVATION_MEMBERS_MAX]; /* each should have room in so long, as of this pass */
} Reservation;

/* Invariants:
 *  - only a node for which replication_leading is true plans, answers callers or gives
 *    orders, and it looks at the clock before each;
 *  - while repairing is true nothing is decided and nobody is told of a job;
 *  - nothing is placed before place_from_ms, which is when all that the log may have
 *    forgotten has lapsed, or every agent has told what it has. */
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
    char kept_at[ADDRESS_MAX]; /* the entry point that last kept for this controller what came in at its own address */
    Forwarder *forwarder;
    ConfigWatch *config_watch; /* asks for the document while this controller has no voter */
    Trace *trace;
    Liveset *liveset;
    Map *lines;        /* worker names to AgentLine */
    struct News *told; /* gathers what attempts came to */
    Map *saved;        /* tasks to how far their attempts have come */
    size_t saved_kept; /* of them when they were last looked through */
    Map *scores;       /* worker names to Score */
    Orphans *orphans;
    Queue *queue;
    Paces *paces;
    int64_t pass_gap_ms;     /* between two passes */
    int64_t preempt_from_ms; /* nobody is pushed aside for a target before this */
    int64_t stop_look_ms;    /* attempts that go on better elsewhere are looked for again from then on */
    Estimates *estimates;    /* how long work takes, as seen by this leader */
    Map *kept;               /* names of cells to Kept */
    Map *alerts;             /* those that stand */
    uint64_t alert_looks;
    const Config *config;  /* of the table's newest version that could be read */
    uint64_t config_loads; /* table_loads when it was read */
    PieceSource piece_source;
    uint64_t config_stamp;  /* another with each other config */
    uint64_t config_unread; /* a version that can't be read */
    struct Trial *trials;
    uint64_t limits_version, limits_loads; /* whose limits this process keeps */
    uint64_t policy_failures_told;
    char address[ADDRESS_MAX], http[ADDRESS_MAX];
    bool leaving;
    int64_t started_ms;
    bool repairing;
    uint64_t repair_turn;
    int64_t place_from_ms;
    int64_t mend_ms; /* split gangs are looked for again from then on */
    uint64_t news;   /* grows with whatever the planner should look at */
    Signal wake;     /* raised with it */
    /* of the last pass: whether the plan held, and else what breaks it */
    bool plan_holds;
    int64_t plan_look_ms; /* where no loss is to be survived, the plan is looked at from then on */
    Loss broken_by_loss;
    char broken_by[ID_MAX + 1];
    ControllerCounts counts;
};

/* The configuration in force; never null. Valid until the next wait. */
const Config *controller_config(Controller *controller);
/* Leads, by the clock, and has all that was told. */
bool controller_decides(Controller *controller);
/* There is something for the planner to look at. */
void controller_news(Controller *controller);
QueueClock controller_clock(const Controller *controller);
const Policy *controller_policy(void *arg, const ConfigCell *cell);
/* Calls of policies that failed, and the last one's words; "" when none did. */
uint64_t controller_policy_failures(const Controller *controller, const char **last);

/* Waits. Submits a shape as a change; keeps (may be null) takes it when it was
 * committed and accepted. What is packed lives on mem. */
Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result, RepairList *repair_items);

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

/* Takes how far an attempt has come. */
void saved_take(Controller *controller, const AttemptSaved *told);
/* How far that attempt of the task has come, as far as its agent has told; "": nothing. */
const char *controller_saved(const Controller *controller, const char *job, uint64_t task, uint64_t attempt);

/* A rate of bad attempts, the newest counting most. */
typedef struct Tally {
    uint64_t rate_percent; /* as of rated_ms */
    int64_t rated_ms;
    uint64_t jobs;     /* different ones that went badly there since one went well */
    uint64_t last_job; /* number of the last that did */
} Tally;

/* How a worker that claims health has done of late, as this leader saw it. */
typedef struct Score {
    Tally failed;          /* attempts that failed */
    Tally slow;            /* attempts that took several times as long as the others of their step */
    int64_t slow_end_ms;   /* log time of the end of the last one counted as slow */
    int64_t rest_until_ms; /* own clock; given nothing before this */
    int64_t rest_ms;       /* the last rest's length */
} Score;

/* Takes what a delivered change tells of attempts. */
void score_take(Controller *controller, const AttemptList *list);
/* An attempt stood still on it. */
void score_still(Controller *controller, const char *worker, const Job *job);
/* What the attempt's place made of its time, near its data or not. */
uint64_t score_far_percent(const Controller *controller, const Worker *worker, const StepSpec *step);
/* Null: nothing bad is known. */
const Score *score_find(const Controller *controller, const char *worker);
/* Its rate of failed, or of slow, attempts now, whichever is worse, in percent. */
uint64_t score_rate(const Controller *controller, const char *worker);
bool score_rests(const Controller *controller, const char *worker);
/* body: as the table tells it. */
void trace_delivered(Controller *controller, const Record *change, const void *body, const ChangeResult *result);
void planner_start(Controller *controller);
/* The plan as it stands; on mem. */
PlanInput planner_input(Controller *controller, void *mem);
void repair_start(Controller *controller);
void agents_serve(Controller *controller);
void callers_serve(Controller *controller);
/* For the forwarder: a request as this leader answers it; what it committed is in the
 * answer, and kept by another node as well. */
void callers_lead(void *arg, void *mem, const ForwardAsk *ask, ForwardAnswer *answer);
/* A caller's request, as leader. keeps: what was committed by it. */
void leader_serve(Controller *controller, HttpTask *task, void *mem, RepairList *repair_items);
json_object *controller_status(Controller *controller);

#endif
