#include "sim/timeline.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define COLUMNS_MAX 16
#define RAN_MS 2000 /* ms; a worker that started something so lately counts as one that runs */

typedef struct Column {
    const char *name;
    FleetNode *node;  /* null: a zone or the callers */
    const char *zone; /* null: none */
} Column;

struct Timeline {
    Fleet *fleet;
    Column columns[COLUMNS_MAX];
    size_t column_count;
    int64_t start_ms;
    Caller *caller;
    int calls;
    char *why;
    size_t why_size;
};

static bool fault(Timeline *timeline, const char *column, const char *what)
{
    /* a never that broke is the cause of what does not hold */
    if (checker_broken_all(timeline->fleet->checker) > 0)
        what = checker_first(timeline->fleet->checker);
    snprintf(timeline->why, timeline->why_size, "at %" PRId64 " ms, column %s: %s",
             sim_now_ms(timeline->fleet->world) - timeline->start_ms, column, what);
    return false;
}

static bool column_find(Timeline *timeline, const char *name, Column *column)
{
    static const char *const ROLES[] = {"core", "gate", "agent", "worker"};
    Fleet *fleet = timeline->fleet;
    *column = (Column){.name = name};
    if (strcmp(name, "callers") == 0)
        return true;
    if (strncmp(name, "zone:", 5) == 0) {
        column->zone = name + 5;
        return true;
    }
    const int leader = fleet_leader(fleet);
    int others[FLEET_EACH_MAX], count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        if (i != leader)
            others[count++] = i;
    if (strcmp(name, "leader") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, leader);
    else if (strcmp(name, "second") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, others[0]);
    else if (strcmp(name, "third") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, others[1]);
    for (int role = 0; role < FLEET_ROLES && column->node == NULL; role++) {
        const size_t length = strlen(ROLES[role]);
        const int number = atoi(name + (strlen(name) > length ? length : 0));
        if (strncmp(name, ROLES[role], length) == 0 && number >= 1 && number <= fleet->node_count[role])
            column->node = fleet_node(fleet, (FleetRole)role, number - 1);
    }
    return column->node != NULL;
}

static void zone_each(Timeline *timeline, const char *zone, void (*fn)(Fleet *, FleetRole, int))
{
    Fleet *fleet = timeline->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            if (strcmp(fleet->nodes[role][i].settings.zone, zone) == 0)
                fn(fleet, (FleetRole)role, i);
}

static bool zone_act(Timeline *timeline, const Column *column, const char *verb)
{
    Fleet *fleet = timeline->fleet;
    if (strcmp(verb, "kill") == 0)
        zone_each(timeline, column->zone, fleet_kill);
    else if (strcmp(verb, "off") == 0)
        zone_each(timeline, column->zone, fleet_power_off);
    else if (strcmp(verb, "start") == 0)
        zone_each(timeline, column->zone, fleet_start_node);
    else if (strcmp(verb, "cut") == 0 || strcmp(verb, "join") == 0)
        fleet_zone_cut(fleet, column->zone, verb[0] == 'c');
    else if (strcmp(verb, "drain") == 0 || strcmp(verb, "back") == 0) {
        void *mem = talloc_new(NULL);
        const bool drain = verb[0] == 'd';
        const HttpCall call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, 0, drain ? "POST" : "DELETE",
                                        talloc_asprintf(mem, "/v1/zones/%s/drain", column->zone), NULL);
        const bool taken = call.code == 200;
        talloc_free(mem);
        if (!taken)
            return fault(timeline, column->name, "the drain was not taken");
        checker_zone(fleet->checker, column->zone, drain);
    } else {
        return fault(timeline, column->name, "a zone does not know this word");
    }
    return true;
}

static int64_t longest_gap(const Timeline *timeline)
{
    CallerJob *const *jobs;
    const size_t count = timeline->caller != NULL ? caller_jobs(timeline->caller, &jobs) : 0;
    int64_t *times = talloc_array(NULL, int64_t, (unsigned)count + 1);
    size_t n = 0;
    for (size_t i = 0; i < count; i++)
        if (jobs[i]->accepted_ms != 0) {
            size_t at = n++;
            for (; at > 0 && times[at - 1] > jobs[i]->accepted_ms; at--)
                times[at] = times[at - 1];
            times[at] = jobs[i]->accepted_ms;
        }
    int64_t gap_ms = 0;
    for (size_t i = 1; i < n; i++)
        if (times[i] - times[i - 1] > gap_ms)
            gap_ms = times[i] - times[i - 1];
    talloc_free(times);
    return gap_ms;
}

static bool callers_act(Timeline *timeline, const Column *column, const char *verb, const char *value)
{
    Fleet *fleet = timeline->fleet;
    if (strcmp(verb, "call") == 0 && value != NULL) {
        const char *slash = strchr(value, '/');
        char name[16];
        snprintf(name, sizeof(name), "c%d", timeline->calls++);
        timeline->caller =
            fleet_call(fleet, name, atoi(value) * 1000, slash != NULL ? atoi(slash + 1) : INT64_C(1) << 40);
        return true;
    }
    if (strcmp(verb, "links") == 0) {
        sim_delay(fleet->world, 1, value != NULL ? atoi(value) : 3);
        return true;
    }
    if (strcmp(verb, "end") == 0) {
        for (int i = 0; i < fleet->caller_count; i++)
            caller_stop(fleet->callers[i]);
        if (!fleet_finish(fleet, 90000))
            return fault(timeline, column->name, "not every accepted job has ended");
        return true;
    }
    if (strcmp(verb, "cancel") == 0) {
        for (int i = 0; i < fleet->caller_count; i++)
            caller_give_up(fleet->callers[i]);
        return true;
    }
    if (strcmp(verb, "allDone") == 0) {
        CallerJob *const *jobs;
        const size_t count = caller_jobs(timeline->caller, &jobs);
        size_t other = 0;
        for (size_t i = 0; i < count; i++)
            other += strcmp(jobs[i]->phase, "done") != 0;
        char text[64];
        snprintf(text, sizeof(text), "%zu of %zu jobs are not done", other, count);
        return other == 0 || fault(timeline, column->name, text);
    }
    if (strncmp(verb, "gap<", 4) == 0) {
        const int64_t gap_ms = longest_gap(timeline);
        if (gap_ms < atoi(verb + 4))
            return true;
        char text[64];
        snprintf(text, sizeof(text), "the longest gap is %" PRId64 " ms", gap_ms);
        return fault(timeline, column->name, text);
    }
    return fault(timeline, column->name, "callers do not know this word");
}

static bool node_act(Timeline *timeline, const Column *column, const char *verb, const char *value)
{
    Fleet *fleet = timeline->fleet;
    FleetNode *node = column->node;
    SimWorld *world = fleet->world;
    const int64_t number = value != NULL ? atoll(value) : 0;
    const char *way = strchr(verb, '>');
    if (way != NULL) {
        Column to;
        if (!column_find(timeline, way + 1, &to))
            return fault(timeline, column->name, "no such column to cut from");
        for (size_t i = 0; i < timeline->column_count; i++)
            if (strcmp(timeline->columns[i].name, way + 1) == 0)
                to = timeline->columns[i];
        sim_cut(world, node->machine, to.node->machine, verb[0] == 'c');
    } else if (strcmp(verb, "kill") == 0) {
        fleet_kill(fleet, node->role, node->number);
    } else if (strcmp(verb, "off") == 0) {
        fleet_power_off(fleet, node->role, node->number);
    } else if (strcmp(verb, "start") == 0) {
        fleet_start_node(fleet, node->role, node->number);
        if (node->role == FLEET_WORKER)
            checker_leaving(fleet->checker, node->settings.name, false);
    } else if (strcmp(verb, "roll") == 0) {
        fleet_roll(fleet, node->role, node->number);
    } else if (strcmp(verb, "wipe") == 0) {
        sim_disk_wipe(world, node->machine);
    } else if (strcmp(verb, "freeze") == 0) {
        fleet_freeze(fleet, node->role, node->number, number);
    } else if (strcmp(verb, "cut") == 0 || strcmp(verb, "join") == 0) {
        fleet_isolate(fleet, node->role, node->number, verb[0] == 'c');
    } else if (strcmp(verb, "slow") == 0) {
        sim_disk_slow(world, node->machine, number);
    } else if (strcmp(verb, "lie") == 0 || strcmp(verb, "honest") == 0) {
        sim_disk_lie(world, node->machine, verb[0] == 'l');
    } else if (strcmp(verb, "diskfails") == 0 || strcmp(verb, "diskworks") == 0) {
        sim_disk_fail(world, node->machine, verb[4] == 'f');
    } else if (strcmp(verb, "jump") == 0) {
        sim_jump(world, node->machine, number);
    } else if (strcmp(verb, "blind") == 0 || strcmp(verb, "sees") == 0) {
        for (int role = FLEET_ENTRY_POINT; role <= FLEET_AGENT; role++)
            for (int i = 0; i < fleet->node_count[role]; i++) {
                sim_cut(world, node->machine, fleet->nodes[role][i].machine, verb[0] == 'b');
                sim_cut(world, fleet->nodes[role][i].machine, node->machine, verb[0] == 'b');
            }
    } else if (strcmp(verb, "rate") == 0) {
        sim_clock_rate(world, node->machine, number);
    } else if (strcmp(verb, "leave") == 0 && node->worker != NULL) {
        stand_worker_leave(node->worker);
        checker_leaving(fleet->checker, node->settings.name, true);
    } else if ((strcmp(verb, "fails") == 0 || strcmp(verb, "heals") == 0) && node->worker != NULL) {
        node->worker_settings.fails_all = verb[0] == 'f';
        stand_worker_fail(node->worker, verb[0] == 'f');
    } else if (strcmp(verb, "leads") == 0 || strcmp(verb, "!leads") == 0) {
        const bool leads = node->controller != NULL && fleet_leader(fleet) == node->number;
        if (leads != (verb[0] == 'l'))
            return fault(timeline, column->name, leads ? "it leads" : "it does not lead");
    } else if (strcmp(verb, "runs") == 0 || strcmp(verb, "idle") == 0) {
        const bool runs = node->worker != NULL && (stand_worker_running(node->worker) > 0 ||
                                                   checker_started_since(fleet->checker, node->settings.name) < RAN_MS);
        if (runs != (verb[0] == 'r'))
            return fault(timeline, column->name, runs ? "it runs something" : "it runs nothing");
    } else if (strcmp(verb, "up") == 0 || strcmp(verb, "!up") == 0) {
        if (node->up != (verb[0] == 'u'))
            return fault(timeline, column->name, node->up ? "it is up" : "it is not up");
    } else {
        return fault(timeline, column->name, "a node does not know this word");
    }
    return true;
}

/* Whether the word brings a failure about or mends one, rather than claims something. */
static bool is_fault(const char *verb)
{
    static const char *const CLAIMS[] = {"leads", "!leads", "runs", "idle", "up", "!up"};
    for (size_t i = 0; i < sizeof(CLAIMS) / sizeof(CLAIMS[0]); i++)
        if (strcmp(verb, CLAIMS[i]) == 0)
            return false;
    return true;
}

static bool cell_act(Timeline *timeline, const Column *column, char *cell)
{
    for (char *save = NULL, *word = strtok_r(cell, "+", &save); word != NULL; word = strtok_r(NULL, "+", &save)) {
        if (strcmp(word, ".") == 0)
            continue;
        char *value = strchr(word, ':');
        if (value != NULL)
            *value++ = '\0';
        if ((column->zone != NULL || column->node != NULL) && is_fault(word))
            checker_fault(timeline->fleet->checker);
        const bool good = column->zone != NULL   ? zone_act(timeline, column, word)
                          : column->node != NULL ? node_act(timeline, column, word, value)
                                                 : callers_act(timeline, column, word, value);
        if (!good)
            return false;
    }
    return true;
}

static bool draw(Timeline *timeline, char *text)
{
    Fleet *fleet = timeline->fleet;
    char *save_row = NULL;
    bool header = true;
    for (char *row = strtok_r(text, "\n", &save_row); row != NULL; row = strtok_r(NULL, "\n", &save_row)) {
        char *save_cell = NULL;
        char *cell = strtok_r(row, " ", &save_cell);
        if (cell == NULL)
            continue;
        if (!header) {
            const int64_t at_ms = timeline->start_ms + atoll(cell);
            if (at_ms > sim_now_ms(fleet->world))
                fleet_run(fleet, at_ms - sim_now_ms(fleet->world));
        }
        for (size_t i = 0; (cell = strtok_r(NULL, " ", &save_cell)) != NULL; i++) {
            if (header) {
                if (i >= COLUMNS_MAX || !column_find(timeline, cell, &timeline->columns[i]))
                    return fault(timeline, cell, "there is no such column");
                timeline->column_count = i + 1;
            } else if (i >= timeline->column_count || !cell_act(timeline, &timeline->columns[i], cell)) {
                return i < timeline->column_count ? false : fault(timeline, cell, "more cells than columns");
            }
        }
        header = false;
        if (checker_broken_all(fleet->checker) > 0)
            return fault(timeline, "checker", checker_first(fleet->checker));
    }
    return true;
}

bool timeline_run(uint64_t seed, FleetShape shape, const char *text, char *why, size_t why_size)
{
    void *mem = talloc_new(NULL);
    Timeline *timeline = talloc_zero(mem, Timeline);
    Fleet *fleet = fleet_new(mem, seed, shape);
    timeline->fleet = fleet;
    timeline->why = why;
    timeline->why_size = why_size;
    why[0] = '\0';
    fleet_start(fleet);
    bool good = fleet_settle(fleet, 30000) && fleet_configure(fleet);
    if (!good)
        fault(timeline, "-", "the fleet did not settle");
    timeline->start_ms = sim_now_ms(fleet->world);
    if (shape.mix == MIX_VARIED)
        checker_quota(fleet->checker, "bounded", (Room){3000, 0, 0}, TENANT_IN);
    good = good && draw(timeline, talloc_strdup(mem, text));
    if (!good)
        fleet_dump(fleet);
    talloc_free(mem);
    return good;
}
