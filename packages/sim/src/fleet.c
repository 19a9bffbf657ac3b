/* A fleet: its nodes, their start, and the progress of virtual time. */
#include "fleet.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const ZONES[] = {"north", "south", "west", "east"};
static const char *const ROLE_NAMES[] = {"core", "gate", "agent", "worker"};

static const char *const SSD[] = {"ssd"};

static int64_t world_now(void *arg)
{
    return sim_now_ms(((const Fleet *)arg)->world);
}

static int64_t world_wall(void *arg)
{
    return sim_wall_ms(((const Fleet *)arg)->world);
}

/* The node of the worker with that name; null: none. */
static FleetNode *worker_node(const Fleet *fleet, const char *name)
{
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++)
        if (strcmp(fleet->nodes[FLEET_WORKER][i].settings.name, name) == 0)
            return (FleetNode *)(uintptr_t)&fleet->nodes[FLEET_WORKER][i];
    return NULL;
}

static bool worker_frozen(void *arg, const char *name)
{
    const Fleet *fleet = arg;
    const FleetNode *node = worker_node(fleet, name);
    return node != NULL && sim_frozen(fleet->world, node->machine);
}

const Job *fleet_job(const Fleet *fleet, const char *id)
{
    const Job *found = NULL;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (!node->up || node->controller == NULL)
            continue;
        const Job *job = table_job(controller_table(node->controller), id);
        if (job != NULL && (found == NULL || replication_leading(controller_replication(node->controller))))
            found = job;
    }
    return found;
}

static const Job *job_of(void *arg, const char *id)
{
    return fleet_job(arg, id);
}

/* --- construction ------------------------------------------------------------------------ */

/* Adds a node of the role, on a machine of its own, with its settings. */
static FleetNode *node_add(Fleet *fleet, FleetRole role)
{
    const int number = fleet->node_count[role]++;
    FleetNode *node = &fleet->nodes[role][number];
    node->fleet = fleet;
    node->role = role;
    node->number = number;
    node->machine = sim_machine_new(fleet->world);
    const char *ip = sim_address(fleet->world, node->machine);
    node->settings.cluster_settings = cluster_settings_default();
    node->settings.name = talloc_asprintf(fleet, "%s%d", ROLE_NAMES[role], number + 1);
    node->settings.zone = ZONES[number % fleet->site.zones];
    node->settings.cluster_settings.losses = fleet->site.losses;
    if (fleet->site.voter_back_ms > 0)
        node->settings.cluster_settings.voter_back_ms = fleet->site.voter_back_ms;
    node->settings.cluster_settings.disks_keep = fleet->site.disks_keep;
    if (fleet->site.founded_by_votes)
        node->settings.cluster_settings.founds = 1;
    node->settings.listen = talloc_asprintf(fleet, "%s:7000", ip);
    node->settings.http = talloc_asprintf(fleet, "%s:8000", ip);
    return node;
}

Fleet *fleet_new(void *mem, uint64_t seed, FleetShape shape)
{
    return fleet_new_with_site(mem, seed, shape, &(FleetSite){.zones = 3, .losses = 1});
}

/* The listen address of a seed, by its number. */
static const char *seed_of(const Fleet *fleet, int number)
{
    const int entry_points = fleet->site.entry_point_seeds;
    return number < entry_points
               ? fleet->nodes[FLEET_ENTRY_POINT][number % fleet->shape.entry_points].settings.listen
               : fleet->nodes[FLEET_CONTROLLER][(number - entry_points) % fleet->shape.controllers].settings.listen;
}

Fleet *fleet_new_with_site(void *mem, uint64_t seed, FleetShape shape, const FleetSite *site)
{
    Fleet *fleet = talloc_zero(mem, Fleet);
    fleet->world = sim_world_new(fleet, seed);
    fleet->shape = shape;
    fleet->site = *site;
    const CheckerSettings settings = {fleet, world_now, worker_frozen, job_of, world_wall};
    fleet->checker = checker_new(fleet, &settings);
    for (int i = 0; i < shape.controllers + shape.spares; i++)
        node_add(fleet, FLEET_CONTROLLER)->settings.data = "data";
    for (int i = 0; i < shape.entry_points; i++)
        node_add(fleet, FLEET_ENTRY_POINT);
    for (int i = 0; i < shape.workers; i++) {
        FleetNode *agent = node_add(fleet, FLEET_AGENT);
        FleetNode *worker = node_add(fleet, FLEET_WORKER);
        agent->settings.worker = worker->settings.name;
        const bool large = shape.mix == MIX_TRENTVALE;
        worker->worker_settings = (StandWorkerSettings){
            .worker = {.name = worker->settings.name,
                       .zone = worker->settings.zone,
                       .rack = talloc_asprintf(fleet, "rack%d", i / 3),
                       .kind = shape.mix == MIX_VARIED && i % 4 == 1 ? "gpu" : "std",
                       .labels = (const char **)(uintptr_t)SSD,
                       .labels_count = shape.mix == MIX_VARIED && i % 2 == 0,
                       .resources = large ? (Resources){64000, 131072, 0} : (Resources){16000, 65536, 0}},
            .agent = agent->settings.http,
            .watch = fleet_worker_watch(worker),
        };
        checker_worker_described(fleet->checker, &worker->worker_settings.worker);
    }
    fleet->caller_machine = sim_machine_new(fleet->world);
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            for (int s = 0; s < SEEDS; s++)
                fleet->nodes[role][i].settings.seeds[s] = seed_of(fleet, s);
    /* The seeds of a spare are entry points, since the first seeds may have been replaced when it is started. */
    for (int i = shape.controllers; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        for (int s = 0; s < SEEDS; s++)
            fleet->nodes[FLEET_CONTROLLER][i].settings.seeds[s] =
                fleet->nodes[FLEET_ENTRY_POINT][s % shape.entry_points].settings.listen;
    return fleet;
}

FleetNode *fleet_node(Fleet *fleet, FleetRole role, int number)
{
    return &fleet->nodes[role][number];
}

/* The first task of a node's process. */
static void boot_main(void *arg)
{
    FleetNode *node = arg;
    Loop *loop = sim_loop(node->fleet->world, node->machine);
    Failure failure = {0};
    Status status = STATUS_OK;
    const ControllerObserver watch = fleet_controller_watch(node);
    recorder_set_place(node->recorder, NULL, NULL); /* the fleet owns the flight recorder, which outlives the process */
    switch (node->role) {
    case FLEET_CONTROLLER:
        status = controller_start(loop, loop, node->recorder, &node->settings, &watch, &node->controller, &failure);
        break;
    case FLEET_ENTRY_POINT:
        status = entry_point_start(loop, loop, node->recorder, &node->settings, &node->entry_point, &failure);
        break;
    case FLEET_AGENT:
        status = agent_start(loop, loop, node->recorder, &node->settings, &node->agent, &failure);
        break;
    default:
        node->worker = stand_worker_start(loop, loop, &node->worker_settings);
        break;
    }
    node->up = status == STATUS_OK;
    if (!node->up)
        recorder_write(node->recorder, RECORDER_FATAL, loop_now_ms(loop), "%s: %s", status_word(status), failure.text);
}

static void node_start(void *arg, Loop *loop)
{
    FleetNode *node = arg;
    node->controller = NULL;
    node->entry_point = NULL;
    node->agent = NULL;
    node->worker = NULL;
    node->up = false;
    loop_spawn(loop, "boot", boot_main, node);
}

void fleet_start_node(Fleet *fleet, FleetRole role, int number)
{
    FleetNode *node = fleet_node(fleet, role, number);
    if (node->recorder == NULL) {
        node->recorder = recorder_new(fleet, node->settings.name);
        recorder_mute(node->recorder);
    }
    if (!sim_running(fleet->world, node->machine))
        sim_start(fleet->world, node->machine, node_start, node);
}

/* Starts no task: callers and operators are started later. */
static void empty_start(void *arg, Loop *loop)
{
    (void)arg;
    (void)loop;
}

static void start_later(void *arg)
{
    FleetNode *node = arg;
    fleet_start_node(node->fleet, node->role, node->number);
}

void fleet_start(Fleet *fleet)
{
    sim_start(fleet->world, fleet->caller_machine, empty_start, fleet);
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role] - (role == FLEET_CONTROLLER ? fleet->shape.spares : 0); i++)
            if (fleet->site.stagger_ms > 0)
                sim_schedule(fleet->world,
                             sim_now_ms(fleet->world) +
                                 (int64_t)(sim_random(fleet->world) % (uint64_t)fleet->site.stagger_ms),
                             start_later, fleet_node(fleet, (FleetRole)role, i));
            else
                fleet_start_node(fleet, (FleetRole)role, i);
}

int fleet_leader(const Fleet *fleet)
{
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (node->up && node->controller != NULL && !sim_frozen(fleet->world, node->machine) &&
            replication_leading(controller_replication(node->controller)))
            return i;
    }
    return -1;
}

void fleet_run(Fleet *fleet, int64_t for_ms)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + for_ms;
    while (sim_now_ms(fleet->world) < until_ms) {
        const int64_t next_ms = sim_now_ms(fleet->world) + 500;
        sim_run_until(fleet->world, next_ms < until_ms ? next_ms : until_ms);
        checker_inspect(fleet->checker);
    }
}

/* Whether a controller leads and knows all workers. */
static bool settled(Fleet *fleet)
{
    const int leader = fleet_leader(fleet);
    if (leader < 0)
        return false;
    void *mem = talloc_new(NULL);
    const Worker **workers;
    const size_t count =
        table_workers(controller_table(fleet->nodes[FLEET_CONTROLLER][leader].controller), mem, &workers);
    talloc_free(mem);
    return count == (size_t)fleet->node_count[FLEET_WORKER];
}

bool fleet_wait_ready(Fleet *fleet, int64_t most_ms)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + most_ms;
    while (!settled(fleet) && sim_now_ms(fleet->world) < until_ms)
        fleet_run(fleet, 100);
    return settled(fleet);
}

void fleet_dump(const Fleet *fleet)
{
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            if (fleet->nodes[role][i].recorder != NULL)
                recorder_dump(fleet->nodes[role][i].recorder, stderr);
}
