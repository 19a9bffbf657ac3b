#ifndef SIM_FLEET_H
#define SIM_FLEET_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "sim/checker.h"
#include "sim/world.h"
#include "standin/caller.h"
#include "standin/worker.h"

#define FLEET_ROLE_NODES_MAX 40 /* Nodes of one role, at most. */

/* A complete cell in a simulated world: controllers, entry points, agents with stand-in workers, and callers, with a
 * checker that receives their events. Used by the simulator's tests, sweeps and timelines. Node N of a role is in zone
 * N modulo the number of zones. */

/* The number of nodes of each role, and the mix of jobs that callers submit. */
typedef struct FleetShape {
    int controllers, entry_points, workers; /* each worker has an agent, on another machine */
    Mix mix;
    int spares; /* additional controllers, not started by fleet_start; their seeds are entry points */
} FleetShape;

/* The setup of a fleet, where it differs from three zones and a cluster founded by three empty disks. */
typedef struct FleetSite {
    int zones;             /* number of zones, 2 to 4 */
    int losses;            /* controllers that may be lost at the same time, together with their disks */
    int entry_point_seeds; /* number of the three seeds that are entry points; the others are controllers */
    bool founded_by_votes; /* votes of the seeds found the cluster; a restarted process never founds one */
    bool disks_keep;       /* the setting that disks never lose what they have synced */
    int64_t voter_back_ms; /* the setting of the time within which a lost voter is replaced; 0: its default */
    int64_t stagger_ms;    /* processes start at random times within this span; 0: all at the same time */
} FleetSite;

typedef enum FleetRole { FLEET_CONTROLLER, FLEET_ENTRY_POINT, FLEET_AGENT, FLEET_WORKER, FLEET_ROLES } FleetRole;

/* A machine with its process. While the process runs, one of controller, entry_point, agent and worker is set. */
typedef struct FleetNode {
    struct Fleet *fleet;
    FleetRole role;
    int number;  /* within its role, from 0 */
    int machine; /* number of its machine in the world */
    Settings settings;
    Controller *controller;
    EntryPoint *entry_point;
    Agent *agent;
    StandWorker *worker;
    StandWorkerSettings worker_settings;
    bool up;            /* the start of the process has succeeded */
    Recorder *recorder; /* null until the first start */
} FleetNode;

/* A fleet. */
typedef struct Fleet {
    SimWorld *world;
    Checker *checker;
    FleetShape shape;
    FleetSite site;
    FleetNode nodes[FLEET_ROLES][FLEET_ROLE_NODES_MAX];
    int node_count[FLEET_ROLES];
    int caller_machine; /* number of the machine on which callers and operators run */
    Caller *callers[8];
    int caller_count;
    bool probes_stopped; /* probes no longer submit jobs */
} Fleet;

/* A fleet owned by mem, in a world of its own. No process runs yet. */
Fleet *fleet_new(void *mem, uint64_t seed, FleetShape shape);
/* The same with the setup of a site, which is copied. */
Fleet *fleet_new_with_site(void *mem, uint64_t seed, FleetShape shape, const FleetSite *site);
/* Starts all nodes except the spares. */
void fleet_start(Fleet *fleet);
/* The node of a role by its number, from 0. */
FleetNode *fleet_node(Fleet *fleet, FleetRole role, int number);
/* Starts a node's process. Has no effect if it runs. */
void fleet_start_node(Fleet *fleet, FleetRole role, int number);
/* Kills a process, as SIGKILL does: its peers see the connections end. */
void fleet_kill(Fleet *fleet, FleetRole role, int number);
/* Cuts the power of a machine: its peers see nothing, and its disk may lose unsynced writes. */
void fleet_power_off(Fleet *fleet, FleetRole role, int number);
/* Freezes a process for this long. */
void fleet_freeze(Fleet *fleet, FleetRole role, int number, int64_t for_ms);
/* Runs until no machine is frozen. */
void fleet_wait_thawed(Fleet *fleet);
/* Shuts a process down gracefully, as SIGTERM does, and starts it again. */
void fleet_restart_gracefully(Fleet *fleet, FleetRole role, int number);
/* Shuts a process down gracefully, as SIGTERM does. */
void fleet_shut_down(Fleet *fleet, FleetRole role, int number);
/* Cuts or restores the links between a node and all others. The link of a worker and its agent is not cut. */
void fleet_node_cut(Fleet *fleet, FleetRole role, int number, bool cut);
/* Cuts or restores the links between a zone and the others. */
void fleet_zone_cut(Fleet *fleet, const char *zone, bool cut);
/* The number of the controller that leads now and is not frozen; -1: none. */
int fleet_leader(const Fleet *fleet);
/* A job from the state of the leader or, if it does not know the job, of another controller; null: none knows it.
 * Valid until time runs on. */
const Job *fleet_job(const Fleet *fleet, const char *id);
/* Runs the world for this long in virtual time, with regular inspections by the checker. */
void fleet_run(Fleet *fleet, int64_t for_ms);
/* Runs until a controller leads and knows all workers, at most for this long. Returns false if that did not happen. */
bool fleet_wait_ready(Fleet *fleet, int64_t most_ms);
/* Whether callers of the entry point can be served now: it is up, and reaches a majority of the voters. These run
 * with working disks, and one of them reaches the others. */
bool fleet_can_serve(const Fleet *fleet, int entry_point);
/* Number of controllers that run, are voters and have a working disk. */
int fleet_healthy_voters(const Fleet *fleet);
/* Number of workers that can take work: the worker and its agent are up, and the agent reaches such a majority. */
int fleet_usable_workers(const Fleet *fleet);
/* Sets the mix's configuration and runs until that is acknowledged. Returns false if it was not. */
bool fleet_configure(Fleet *fleet);
/* Submits jobs of the mix through all entry points for this long. rate_milli: rate in thousandths of a job a second. */
Caller *fleet_submit_jobs(Fleet *fleet, const char *name, int64_t rate_milli, int64_t for_ms);
/* Runs until every accepted job was shown as ended, at most for this long. Returns false if some job was not. */
bool fleet_wait_jobs_ended(Fleet *fleet, int64_t most_ms);
/* Sends one request from the operators' machine and runs until its answer or time limit. The result is on mem and
 * null-terminated; code 0: no answer. */
HttpCall fleet_request(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                       const char *body);
/* The same with HTTP headers. */
HttpCall fleet_request_with_headers(Fleet *fleet, void *mem, FleetRole role, int number, const char *method,
                                    const char *path, const char *body, const HttpHeader *heads, size_t head_count);
/* Prints the flight recorders of all nodes to stderr. */
void fleet_dump(const Fleet *fleet);

#endif
