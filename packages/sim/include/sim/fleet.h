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

/* A whole cell in a simulated world: controllers, entry points, agents with stand-in workers, and callers, watched by a
 * checker. Used by the simulator's tests, sweeps and timelines. Node N of a role stands in zone N modulo the number of
 * zones. */

/* How many nodes of each role, and what callers submit. */
typedef struct FleetShape {
    int controllers, entry_points, workers; /* each worker has an agent on a machine of its own */
    Mix mix;
    int spares; /* controllers beyond the others, not started with them; they know entry points as seeds too */
} FleetShape;

/* How a fleet is set up, where it differs from three zones and a founding by three empty disks. */
typedef struct FleetSite {
    int zones;                 /* 2 to 4 */
    int losses;                /* controllers that may be lost at once with their disks */
    int entry_point_set_seeds; /* how many of the three seeds are entry points; the others are controllers */
    bool votes;                /* founded by the seeds' votes; a restarted process founds nothing */
    bool disks_keep;           /* setting: disks keep what they have synced */
    int64_t voter_back_ms;     /* setting: a lost voter is replaced within this */
    int64_t stagger_ms;        /* processes start at moments drawn from this span */
} FleetSite;

typedef enum FleetRole { FLEET_CONTROLLER, FLEET_ENTRY_POINT, FLEET_AGENT, FLEET_WORKER, FLEET_ROLES } FleetRole;

/* A machine with its process. One of controller, entry point, agent and worker is set while it runs. */
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
    bool up; /* its start has succeeded */
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

/* A fleet on mem in a world of its own; nothing runs yet. */
Fleet *fleet_new(void *mem, uint64_t seed, FleetShape shape);
/* The same; the site is copied. */
Fleet *fleet_new_at(void *mem, uint64_t seed, FleetShape shape, const FleetSite *site);
/* Starts all nodes but the spares. */
void fleet_start(Fleet *fleet);
FleetNode *fleet_node(Fleet *fleet, FleetRole role, int number);
/* No effect on one that runs. */
void fleet_start_node(Fleet *fleet, FleetRole role, int number);
/* SIGKILL: its peers see the connections end. */
void fleet_kill(Fleet *fleet, FleetRole role, int number);
/* Its peers are not told, and its disk loses what it has not synced. */
void fleet_power_off(Fleet *fleet, FleetRole role, int number);
/* The process stands still for this long. */
void fleet_freeze(Fleet *fleet, FleetRole role, int number, int64_t for_ms);
/* Runs until no machine stands still. */
void fleet_thaw(Fleet *fleet);
/* SIGTERM: a graceful shutdown, then a start again. */
void fleet_roll(Fleet *fleet, FleetRole role, int number);
/* SIGTERM: a graceful shutdown. */
void fleet_leave(Fleet *fleet, FleetRole role, int number);
/* Cuts, or joins again, the links between a node and all others. */
void fleet_isolate(Fleet *fleet, FleetRole role, int number, bool cut);
/* Cuts a zone off from the others, or joins it to them again. */
void fleet_zone_cut(Fleet *fleet, const char *zone, bool cut);
/* The number of the controller that leads now; -1: none. */
int fleet_leader(const Fleet *fleet);
/* A job as some controller has it; null: none knows it. Valid until the next step. */
const Job *fleet_job(const Fleet *fleet, const char *id);
/* Runs for this long in virtual time. */
void fleet_run(Fleet *fleet, int64_t for_ms);
/* Runs until a controller leads and all workers are ready, at most for this long; false: they were not. */
bool fleet_settle(Fleet *fleet, int64_t most_ms);
/* Whether callers of the entry point can be served now: it is up and reaches a majority of the voters, which are up
 * with working disks and reach each other. */
bool fleet_servable(const Fleet *fleet, int entry_point);
/* Controllers that run, are voters and have a working disk. */
int fleet_voters(const Fleet *fleet);
/* Workers that could take work: up with their agents, and those reach such controllers. */
int fleet_workable(const Fleet *fleet);
/* Sets the mix's configuration and runs until that is acknowledged; false: it was not. */
bool fleet_configure(Fleet *fleet);
/* Submits jobs of the mix through all entry points for this long; rate_milli: thousandths of a job a second. */
Caller *fleet_call(Fleet *fleet, const char *name, int64_t rate_milli, int64_t for_ms);
/* Runs until every accepted job has been shown as ended, at most for this long; false: not every one was. */
bool fleet_finish(Fleet *fleet, int64_t most_ms);
/* One request from the operators' machine; runs until it is answered. The result is on mem. */
HttpCall fleet_ask(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                   const char *body);
/* The same with headers. */
HttpCall fleet_ask_as(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                      const char *body, const HttpHeader *heads, size_t head_count);
/* Prints the flight recorders of all nodes. */
void fleet_dump(const Fleet *fleet);

#endif
