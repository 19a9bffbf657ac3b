/* One day: draws the faults, runs the model with them, closes with a fault of all controllers, and sums up. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "fault.h"

#define STANDSTILL_CHECK_MS 200 /* ms; between looks for jobs that stand still */
#define CALM_END_MS 3500        /* ms; faults are over this long before the closing fault or the end of traffic */
#define CONTROLLER_GAP_MS 3000  /* ms; kept free after a controller's return no longer counts as a loss */

static void begin(void *arg)
{
    fault_begin(arg);
}

static void end(void *arg)
{
    fault_end(arg);
}

static void operator_begin(void *arg)
{
    operator_start(((Day *)arg)->operator);
}

static void callers_begin(void *arg)
{
    callers_start(((Day *)arg)->callers);
}

static void worker_models_begin(void *arg)
{
    worker_models_start(((Day *)arg)->worker_models);
}

/* To test the checkers: the assumption on clocks, which no process can enforce. */
static void clocks_spoil(void *arg)
{
    Topology *topology = ((Day *)arg)->topology;
    TopologyNode *leader = topology_leader(topology);
    for (size_t i = 0; i < topology->server_count && leader != NULL; i++) {
        TopologyNode *node = &topology->servers[i];
        if (!node->disk || !node->used)
            continue;
        sim_clock_rate(topology->world, node->machine, node == leader ? 10 : 1000);
    }
    if (leader != NULL)
        node_cut(leader, true);
}

/* Faults of controllers are kept apart: no more are lost at once than must be tolerated. */
static bool fits(const Fault *list, size_t count, const Fault *one, const Site *site)
{
    const int64_t gap_ms = site->sync_ms + CONTROLLER_GAP_MS;
    /* one zone is drained at a time, too */
    for (size_t i = 0; i < count && one->kind == FAULT_ZONE_DRAIN; i++)
        if (list[i].kind == one->kind && one->at_ms < list[i].at_ms + list[i].for_ms + site->ack_ms &&
            list[i].at_ms < one->at_ms + one->for_ms + site->ack_ms)
            return false;
    for (size_t i = 0; i < count && fault_controller(one->kind); i++)
        if (list[i].kind != FAULT_COUNT && fault_controller(list[i].kind) &&
            one->at_ms < list[i].at_ms + list[i].for_ms + gap_ms && list[i].at_ms < one->at_ms + one->for_ms + gap_ms)
            return false;
    return true;
}

static size_t faults_draw(Day *day, const DaySettings *settings, Fault *list, DayResult *result)
{
    const Site *site = settings->site;
    const int64_t last_ms = site->traffic_ms - CALM_END_MS;
    for (size_t i = 0; i < settings->faults; i++) {
        RandomSource random_source = random_source_of(settings->seed, "trouble", i);
        Fault *one = &list[i];
        *one = (Fault){.day = day};
        do
            one->kind = (FaultKind)random_source_span(&random_source, 0, FAULT_COUNT - 1);
        while (settings->only != NULL && fault_of(settings->only) < FAULT_COUNT &&
               one->kind != fault_of(settings->only));
        bool good = false;
        for (int tries = 0; tries < 12 && !good; tries++) {
            one->at_ms = random_source_span(&random_source, 1500, last_ms - 2000);
            one->for_ms = random_source_span(&random_source, 800, 7000);
            /* a loss counts for a while after the return, as the closing fault may be the next one */
            const int64_t end_ms = last_ms - (fault_controller(one->kind) ? site->sync_ms : 0);
            if (one->at_ms + one->for_ms > end_ms)
                one->for_ms = end_ms - one->at_ms;
            good = one->for_ms >= 500 && fits(list, i, one, site);
        }
        one->random_source = random_source_of(settings->seed, "strike", i);
        if (!good || settings->skipped[i]) {
            one->kind = FAULT_COUNT;
            continue;
        }
        snprintf(result->faults[i], sizeof(result->faults[i]), "%s@%" PRId64 "+%" PRId64, fault_name(one->kind),
                 one->at_ms, one->for_ms);
    }
    result->fault_count = settings->faults;
    return settings->faults;
}

/* KIND@AT+FOR=WHOM,... */
static size_t faults_read(Day *day, const DaySettings *settings, Fault *list, DayResult *result)
{
    size_t count = 0;
    char *text = talloc_strdup(day, settings->script), *save = NULL;
    for (char *one = strtok_r(text, ",", &save); one != NULL && count < DAY_FAULTS_MAX;
         one = strtok_r(NULL, ",", &save)) {
        Fault *fault = &list[count];
        char kind[24] = "";
        *fault = (Fault){.day = day, .random_source = random_source_of(settings->seed, "strike", count)};
        const int got =
            sscanf(one, "%23[a-zA-Z]@%" SCNd64 "+%" SCNd64 "=%15s", kind, &fault->at_ms, &fault->for_ms, fault->whom);
        fault->kind = got >= 3 ? fault_of(kind) : FAULT_COUNT;
        if (fault->kind == FAULT_COUNT || settings->skipped[count])
            fault->kind = FAULT_COUNT;
        snprintf(result->faults[count], sizeof(result->faults[count]), "%s%s", one,
                 fault->kind == FAULT_COUNT ? "(not understood, or left out)" : "");
        count++;
    }
    result->fault_count = count;
    return count;
}

static void day_for(const Day *day, int64_t for_ms)
{
    sim_run_until(day->topology->world, topology_now_ms(day->topology) + for_ms);
}

static void closing_start(void *arg)
{
    Day *day = arg;
    Topology *topology = day->topology;
    for (size_t i = 0; i < topology->server_count; i++)
        if (topology->servers[i].used && !topology->servers[i].gone)
            node_start(&topology->servers[i]);
    for (size_t i = 0; i < topology->side_count; i++)
        node_start(&topology->sides[i]);
    day->callers->back_ms = topology_now_ms(topology);
}

/* All machines of the system at once; workers run on. */
static void closing_strike(Day *day, Closing closing, RandomSource *random_source)
{
    Topology *topology = day->topology;
    static const char *const WORDS[] = {"", "", "all processes are killed", "all lose power",
                                        "all lose power, one its disk"};
    topology_say(topology, "%s", WORDS[closing]);
    day->callers->closing_ms = topology_now_ms(topology);
    TopologyNode *wiped = closing == CLOSING_WIPE ? topology_leader(topology) : NULL;
    for (size_t i = 0; i < topology->server_count; i++)
        node_kill(&topology->servers[i], closing != CLOSING_KILL);
    for (size_t i = 0; i < topology->side_count; i++)
        node_kill(&topology->sides[i], closing != CLOSING_KILL);
    if (wiped != NULL)
        sim_disk_wipe(topology->world, wiped->machine);
    sim_schedule(topology->world, topology_now_ms(topology) + random_source_span(random_source, 700, 1500),
                 closing_start, day);
}

/* How many of the jobs that could be done were shown as done in time. */
static void sum(const Day *day, DayResult *result)
{
    const JobRecords *records = day->records;
    result->jobs = records->count;
    result->starts = records->starts;
    result->orders = day->operator->orders;
    memcpy(result->ends, records->kinds, sizeof(result->ends));
    for (size_t i = 0; i < records->count; i++) {
        const JobRecord *job = records->jobs[i];
        const GeneratedJob *generated_job = &job->generated_job;
        result->accepted += job->accepted_ms != 0;
        result->refused += job->refused_ms != 0;
        if (generated_job->lasting || generated_job->turns > 0 || job->poison || job->cancel_sent_ms != 0)
            continue;
        int64_t chain_ms[GENERATED_JOB_STEPS_MAX] = {0}, longest_ms = 0;
        for (size_t s = 0; s < generated_job->step_count; s++) {
            for (size_t a = 0; a < generated_job->steps[s].after_count; a++)
                if (chain_ms[generated_job->steps[s].after[a]] > chain_ms[s])
                    chain_ms[s] = chain_ms[generated_job->steps[s].after[a]];
            chain_ms[s] += generated_job->steps[s].work_ms;
            longest_ms = chain_ms[s] > longest_ms ? chain_ms[s] : longest_ms;
        }
        const int64_t target_ms = longest_ms * job->kind->stretch_percent / 100 + job->kind->target_ms;
        const int64_t took_ms = job->shown == JOB_WORD_DONE ? job->shown_ms - job->sent_ms : INT64_MAX;
        result->owed++;
        result->timely += took_ms <= target_ms;
        result->late += took_ms > target_ms && took_ms <= target_ms * 3;
    }
    if (checker_violations(day->topology->checker, INVARIANT_TWO_LEADERS) > 0)
        rules_broke(&result->rules, RULE_LEADERS, topology_day_ms(day->topology), "%s",
                    checker_first_violation(day->topology->checker));
}

void day_run(const DaySettings *settings, DayResult *result)
{
    const Site *site = settings->site;
    void *mem = talloc_new(NULL);
    *result = (DayResult){0};
    RandomSource random_source = random_source_of(settings->seed, "day", 0);
    Day *day = talloc_zero(mem, Day);
    day->topology = topology_new(mem, site, settings->codec, settings->seed, &result->rules);
    Topology *topology = day->topology;
    topology->loud = settings->loud;
    topology->job = settings->job;
    day->records = job_records_new(mem, topology);
    day->sent_documents = sent_documents_new(mem, topology);
    day->worker_models = worker_models_new(mem, day->records, day->sent_documents);
    day->listener = listener_new(mem, topology);
    day->callers = callers_new(mem, day->listener, day->records, day->sent_documents);
    day->operator= operator_new(mem, topology, day->sent_documents);
    topology_start(topology);
    if (settings->wrong_clocks)
        sim_schedule(topology->world, topology->began_ms + 2000, clocks_spoil, day);
    listener_start(day->listener);
    sim_schedule(topology->world, topology_now_ms(topology) + random_source_span(&random_source, 0, 1500),
                 worker_models_begin, day);
    sim_schedule(topology->world, topology_now_ms(topology) + 1000, operator_begin, day);
    sim_schedule(topology->world, topology->began_ms, callers_begin, day);
    Fault *faults = talloc_zero_array(mem, Fault, DAY_FAULTS_MAX);
    const size_t count = settings->script != NULL ? faults_read(day, settings, faults, result)
                                                  : faults_draw(day, settings, faults, result);
    for (size_t i = 0; i < count; i++)
        if (faults[i].kind != FAULT_COUNT) {
            sim_schedule(topology->world, topology->began_ms + faults[i].at_ms, begin, &faults[i]);
            sim_schedule(topology->world, topology->began_ms + faults[i].at_ms + faults[i].for_ms, end, &faults[i]);
        }
    day_for(day, site->lead_ms + site->traffic_ms);
    Closing closing = settings->closing;
    if (closing == CLOSING_DRAWN)
        closing = (Closing)random_source_span(&random_source, CLOSING_NONE, CLOSING_COUNT - 1);
    if (closing != CLOSING_NONE) {
        closing_strike(day, closing, &random_source);
        day_for(day, site->recover_ms + 7000);
    }
    topology_say(topology, "traffic ends");
    callers_finish(day->callers);
    operator_finish(day->operator);
    for (int64_t passed_ms = 0; passed_ms < site->finish_ms; passed_ms += STANDSTILL_CHECK_MS) {
        day_for(day, STANDSTILL_CHECK_MS);
        callers_idle(day->callers, day->worker_models);
    }
    callers_end(day->callers);
    sum(day, result);
    topology_dump(topology);
    talloc_free(mem);
}
