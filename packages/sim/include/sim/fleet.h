#ifndef SIM_FLEET_H
#define SIM_FLEET_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "sim/checker.h"
#include "sim/world.h"
#include "standin/caller.h"
#include "standin/worker.h"

#define FLEET_EACH_MAX 40

/* A whole fleet in a world, watched by a checker. */
typedef struct FleetShape {
    int controllers, entry_points, workers; /* each worker has an agent on a machine of its own */
    Mix mix;
    int spares; /* controllers beyond the others, not started with them; they know entry points as seeds too */
} FleetShape;

/* Where a fleet stands, when it is not the product's usual three zones. */
typedef struct FleetSite {
    int zones;             /* 2 to 4; node N of a role stands in zone N modulo this */
    int losses;            /* disk machines that may be lost at once */
    int entry_point_seeds; /* so many of the three seeds are entry points, the others controllers */
    bool votes;            /* founded by the seeds' votes; a process started again founds nothing */
    bool disks_keep;
    int64_t voter_back_ms;
    int64_t stagger_ms; /* processes start at moments drawn from so long a span */
} FleetSite;

typedef enum FleetRole { FLEET_CONTROLLER, FLEET_ENTRY_POINT, FLEET_AGENT, FLEET_WORKER, FLEET_ROLES } FleetRole;

typedef struct FleetNode {
    struct Fleet *fleet;
    FleetRole role;
    int number;
    int machine;
    Settings settings;
    void *mem;
    Controller *controller;
    EntryPoint *entry_point;
    Agent *agent;
    StandWorker *worker;
    StandWorkerSettings worker_settings;
    bool up; /* its start has come to an end well */
    Recorder *recorder;
} FleetNode;

typedef struct Fleet {
    SimWorld *world;
    Checker *checker;
    FleetShape shape;
    FleetSite site;
    FleetNode nodes[FLEET_ROLES][FLEET_EACH_MAX];
    int node_count[FLEET_ROLES];
    int caller; /* the machine of callers and operators */
    Caller *callers[8];
    int caller_count;
    bool probes_over;
} Fleet;

Fleet *fleet_new(void *mem, uint64_t seed, FleetShape shape);
Fleet *fleet_new_at(void *mem, uint64_t seed, FleetShape shape, const FleetSite *site);
void fleet_start(Fleet *fleet);
FleetNode *fleet_node(Fleet *fleet, FleetRole role, int number);
void fleet_start_node(Fleet *fleet, FleetRole role, int number);
void fleet_kill(Fleet *fleet, FleetRole role, int number);
void fleet_power_off(Fleet *fleet, FleetRole role, int number);
void fleet_freeze(Fleet *fleet, FleetRole role, int number, int64_t for_ms);
/* Runs until no machine stands still. */
void fleet_thaw(Fleet *fleet);
/* SIGTERM, and once it has drained, the next release of it is started. */
void fleet_roll(Fleet *fleet, FleetRole role, int number);
/* SIGTERM, and it is not started again. */
void fleet_leave(Fleet *fleet, FleetRole role, int number);
/* Cuts every way between a node and all others (but callers when kept). */
void fleet_isolate(Fleet *fleet, FleetRole role, int number, bool cut);
/* Cuts a zone off from the others. */
void fleet_zone_cut(Fleet *fleet, const char *zone, bool cut);
int fleet_leader(const Fleet *fleet); /* number of the controller that leads now; -1 */
const Job *fleet_job(const Fleet *fleet, const char *id);
/* Runs on for so long. */
void fleet_run(Fleet *fleet, int64_t for_ms);
/* Runs until a controller leads and all workers are ready, at most so long. */
bool fleet_settle(Fleet *fleet, int64_t most_ms);
/* Whether callers of the entry point can be served now: it is up, and two controllers with a
 * voter are, with working disks, each reaching the other and the entry point. */
bool fleet_servable(const Fleet *fleet, int entry_point);
/* Controllers that run, hold a voter and have a working disk. */
int fleet_voters(const Fleet *fleet);
/* Workers that could take work: up with their agents, and those reach such controllers. */
int fleet_workable(const Fleet *fleet);
/* Sets the mix's configuration; runs until it is told. */
bool fleet_configure(Fleet *fleet);
/* Hands in the mix for so long, through all entry points. */
Caller *fleet_call(Fleet *fleet, const char *name, int64_t rate_milli, int64_t for_ms);
/* Runs until every accepted job has been shown as ended, at most so long. */
bool fleet_finish(Fleet *fleet, int64_t most_ms);
/* One request by the operators' machine; runs until it is answered. The result
 * hangs on mem. */
HttpCall fleet_ask(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                   const char *body);
/* The same with headers. */
HttpCall fleet_ask_as(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                      const char *body, const HttpPair *heads, size_t head_count);
/* Ring lines of all nodes, for a failed run. */
void fleet_dump(const Fleet *fleet);

#endif
