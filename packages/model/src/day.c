/* One day: generates the faults, runs the model with them, closes with a fault of all machines of the product, and
 * summarizes. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "fault.h"

#define IDLE_CHECK_MS 200      /* interval between checks for idle jobs */
#define FAULT_FREE_END_MS 3500 /* faults end at least this long before the closing fault or the end of traffic */
#define CONTROLLER_GAP_MS 3000 /* additional gap after the time at which a controller's loss no longer counts */

static void on_fault_begin(void *arg)
{
    fault_begin(arg);
}

static void on_fault_end(void *arg)
{
    fault_end(arg);
}

static void on_operator_start(void *arg)
{
    operator_start(((Day *)arg)->operator);
}

static void on_callers_start(void *arg)
{
    callers_start(((Day *)arg)->callers);
}

static void on_workers_start(void *arg)
{
    worker_models_start(((Day *)arg)->worker_models);
}

/* Tests the checkers: violates the assumption on clock drift, which no process can enforce. */
static void violate_clock_drift(void *arg)
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

/* Whether the fault can be added to the list. Faults of controllers are kept apart, so that at no time more controllers
 * are lost than must be tolerated. */
static bool can_add_fault(const Fault *list, size_t count, const Fault *fault, const Site *site)
{
    const int64_t gap_ms = site->sync_ms + CONTROLLER_GAP_MS;
    /* only one zone is drained at a time */
    for (size_t i = 0; i < count && fault->kind == FAULT_ZONE_DRAIN; i++)
        if (list[i].kind == fault->kind && fault->at_ms < list[i].at_ms + list[i].for_ms + site->ack_ms &&
            list[i].at_ms < fault->at_ms + fault->for_ms + site->ack_ms)
            return false;
    for (size_t i = 0; i < count && fault_disables_controllers(fault->kind); i++)
        if (list[i].kind != FAULT_COUNT && fault_disables_controllers(list[i].kind) &&
            fault->at_ms < list[i].at_ms + list[i].for_ms + gap_ms &&
            list[i].at_ms < fault->at_ms + fault->for_ms + gap_ms)
            return false;
    return true;
}

/* Generates the faults of the day; returns their number. A fault that is left out has the kind FAULT_COUNT. */
static size_t generate_faults(Day *day, const DaySettings *settings, Fault *list, DayResult *result)
{
    const Site *site = settings->site;
    const int64_t last_ms = site->traffic_ms - FAULT_FREE_END_MS;
    for (size_t i = 0; i < settings->faults; i++) {
        RandomSource random_source = random_source_new(settings->seed, "trouble", i);
        Fault *fault = &list[i];
        *fault = (Fault){.day = day};
        do
            fault->kind = (FaultKind)random_source_between(&random_source, 0, FAULT_COUNT - 1);
        while (settings->fault_kind != NULL && fault_by_name(settings->fault_kind) < FAULT_COUNT &&
               fault->kind != fault_by_name(settings->fault_kind));
        bool placed = false;
        for (int tries = 0; tries < 12 && !placed; tries++) {
            fault->at_ms = random_source_between(&random_source, 1500, last_ms - 2000);
            fault->for_ms = random_source_between(&random_source, 800, 7000);
            /* a loss counts for a while after the machine's return, and the closing fault may come next */
            const int64_t end_ms = last_ms - (fault_disables_controllers(fault->kind) ? site->sync_ms : 0);
            if (fault->at_ms + fault->for_ms > end_ms)
                fault->for_ms = end_ms - fault->at_ms;
            placed = fault->for_ms >= 500 && can_add_fault(list, i, fault, site);
        }
        fault->random_source = random_source_new(settings->seed, "strike", i);
        if (!placed || settings->skipped[i]) {
            fault->kind = FAULT_COUNT;
            continue;
        }
        snprintf(result->fault_rows[i], sizeof(result->fault_rows[i]), "%s@%" PRId64 "+%" PRId64,
                 fault_name(fault->kind), fault->at_ms, fault->for_ms);
    }
    result->fault_count = settings->faults;
    return settings->faults;
}

/* Reads the faults of a script: KIND@AT+FOR=WHOM,... */
static size_t parse_faults(Day *day, const DaySettings *settings, Fault *list, DayResult *result)
{
    size_t count = 0;
    char *text = talloc_strdup(day, settings->fault_script), *strtok_state = NULL;
    for (char *row = strtok_r(text, ",", &strtok_state); row != NULL && count < DAY_FAULTS_MAX;
         row = strtok_r(NULL, ",", &strtok_state)) {
        Fault *fault = &list[count];
        char kind[24] = "";
        *fault = (Fault){.day = day, .random_source = random_source_new(settings->seed, "strike", count)};
        const int parsed =
            sscanf(row, "%23[a-zA-Z]@%" SCNd64 "+%" SCNd64 "=%15s", kind, &fault->at_ms, &fault->for_ms, fault->target);
        fault->kind = parsed >= 3 ? fault_by_name(kind) : FAULT_COUNT;
        if (fault->kind == FAULT_COUNT || settings->skipped[count])
            fault->kind = FAULT_COUNT;
        snprintf(result->fault_rows[count], sizeof(result->fault_rows[count]), "%s%s", row,
                 fault->kind == FAULT_COUNT ? "(not understood, or left out)" : "");
        count++;
    }
    result->fault_count = count;
    return count;
}

static void run_for(const Day *day, int64_t for_ms)
{
    sim_run_until(day->topology->world, topology_now_ms(day->topology) + for_ms);
}

static void restart_all(void *arg)
{
    Day *day = arg;
    Topology *topology = day->topology;
    for (size_t i = 0; i < topology->server_count; i++)
        if (topology->servers[i].used && !topology->servers[i].gone)
            node_start(&topology->servers[i]);
    for (size_t i = 0; i < topology->agent_count; i++)
        node_start(&topology->agents[i]);
    day->callers->restart_ms = topology_now_ms(topology);
}

/* Injects the closing fault into all machines of the product at the same time; workers keep running. */
static void inject_closing_fault(Day *day, Closing closing, RandomSource *random_source)
{
    Topology *topology = day->topology;
    static const char *const WORDS[] = {"", "", "all processes are killed", "all lose power",
                                        "all lose power, the leader also its disk"};
    topology_log(topology, "%s", WORDS[closing]);
    day->callers->closing_ms = topology_now_ms(topology);
    TopologyNode *wiped = closing == CLOSING_WIPE ? topology_leader(topology) : NULL;
    for (size_t i = 0; i < topology->server_count; i++)
        node_kill(&topology->servers[i], closing != CLOSING_KILL);
    for (size_t i = 0; i < topology->agent_count; i++)
        node_kill(&topology->agents[i], closing != CLOSING_KILL);
    if (wiped != NULL)
        sim_disk_wipe(topology->world, wiped->machine);
    sim_schedule(topology->world, topology_now_ms(topology) + random_source_between(random_source, 700, 1500),
                 restart_all, day);
}

/* Fills in the result: counts, and the jobs that were shown as done in time. Jobs that cannot be done, are
 * cancelled, or run in turns or without end are not measured. */
static void summarize(const Day *day, DayResult *result)
{
    const JobRecords *records = day->records;
    result->jobs = records->count;
    result->starts = records->starts;
    result->orders = day->operator->orders;
    memcpy(result->ends, records->ends_by_word, sizeof(result->ends));
    memcpy(result->bounds, day->topology->bounds, sizeof(result->bounds));
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
        const int64_t elapsed_ms = job->shown == JOB_WORD_DONE ? job->shown_ms - job->sent_ms : INT64_MAX;
        result->measured_jobs++;
        result->on_time_jobs += elapsed_ms <= target_ms;
        result->late_jobs += elapsed_ms > target_ms && elapsed_ms <= target_ms * 3;
    }
    if (checker_violations(day->topology->checker, INVARIANT_TWO_LEADERS) > 0)
        rules_record_break(&result->rules, RULE_LEADERS, topology_day_ms(day->topology), "%s",
                           checker_first_violation(day->topology->checker));
}

void day_run(const DaySettings *settings, DayResult *result)
{
    const Site *site = settings->site;
    void *mem = talloc_new(NULL);
    *result = (DayResult){0};
    RandomSource random_source = random_source_new(settings->seed, "day", 0);
    Day *day = talloc_zero(mem, Day);
    day->topology = topology_new(mem, site, settings->codec, settings->seed, &result->rules);
    Topology *topology = day->topology;
    topology->verbose = settings->loud;
    topology->job = settings->job;
    day->records = job_records_new(mem, topology);
    day->sent_documents = sent_documents_new(mem, topology);
    day->worker_models = worker_models_new(mem, day->records, day->sent_documents);
    day->listener = listener_new(mem, topology);
    day->callers = callers_new(mem, day->listener, day->records, day->sent_documents);
    day->operator= operator_new(mem, topology, day->sent_documents);
    topology_start(topology);
    if (settings->wrong_clocks)
        sim_schedule(topology->world, topology->traffic_start_ms + 2000, violate_clock_drift, day);
    listener_start(day->listener);
    sim_schedule(topology->world, topology_now_ms(topology) + random_source_between(&random_source, 0, 1500),
                 on_workers_start, day);
    sim_schedule(topology->world, topology_now_ms(topology) + 1000, on_operator_start, day);
    sim_schedule(topology->world, topology->traffic_start_ms, on_callers_start, day);
    Fault *faults = talloc_zero_array(mem, Fault, DAY_FAULTS_MAX);
    const size_t count = settings->fault_script != NULL ? parse_faults(day, settings, faults, result)
                                                        : generate_faults(day, settings, faults, result);
    for (size_t i = 0; i < count; i++)
        if (faults[i].kind != FAULT_COUNT) {
            sim_schedule(topology->world, topology->traffic_start_ms + faults[i].at_ms, on_fault_begin, &faults[i]);
            sim_schedule(topology->world, topology->traffic_start_ms + faults[i].at_ms + faults[i].for_ms, on_fault_end,
                         &faults[i]);
        }
    run_for(day, site->lead_ms + site->traffic_ms);
    Closing closing = settings->closing;
    if (closing == CLOSING_DRAWN)
        closing = (Closing)random_source_between(&random_source, CLOSING_NONE, CLOSING_COUNT - 1);
    if (closing != CLOSING_NONE) {
        inject_closing_fault(day, closing, &random_source);
        run_for(day, site->recover_ms + 7000);
    }
    topology_log(topology, "traffic ends");
    callers_confirm_all(day->callers);
    operator_finish(day->operator);
    for (int64_t passed_ms = 0; passed_ms < site->finish_ms; passed_ms += IDLE_CHECK_MS) {
        run_for(day, IDLE_CHECK_MS);
        callers_check_idle(day->callers, day->worker_models);
    }
    callers_check_end(day->callers);
    summarize(day, result);
    topology_dump(topology);
    talloc_free(mem);
}
