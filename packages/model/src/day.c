#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "trouble.h"

#define LOOK_MS 200            /* ms; between looks for jobs that stand still */
#define CALM_END_MS 3500       /* ms; troubles are over so long before the closing fault or the end of traffic */
#define CONTROLLER_GAP_MS 3000 /* ms; after a controller's return has stopped to count as a loss */

static void begin(void *arg)
{
    trouble_begin(arg);
}

static void end(void *arg)
{
    trouble_end(arg);
}

static void operator_begin(void *arg)
{
    operator_start(((Day *)arg)->operator);
}

static void callers_begin(void *arg)
{
    callers_start(((Day *)arg)->callers);
}

static void hands_begin(void *arg)
{
    hands_start(((Day *)arg)->hands);
}

/* For the checkers' own proof: the one assumption that no process can look after. */
static void clocks_spoil(void *arg)
{
    Ground *ground = ((Day *)arg)->ground;
    GroundNode *leader = ground_leader(ground);
    for (size_t i = 0; i < ground->edge_count && leader != NULL; i++) {
        GroundNode *node = &ground->edges[i];
        if (!node->disk || !node->used)
            continue;
        sim_clock_rate(ground->world, node->machine, node == leader ? 10 : 1000);
    }
    if (leader != NULL)
        node_cut(leader, true);
}

/* Troubles of the controller keep apart: no more is lost at once than is to be borne. */
static bool fits(const Trouble *list, size_t count, const Trouble *one, const Site *site)
{
    const int64_t gap_ms = site->sync_ms + CONTROLLER_GAP_MS;
    /* one zone is emptied at a time, too */
    for (size_t i = 0; i < count && one->kind == TROUBLE_ZONE_DRAIN; i++)
        if (list[i].kind == one->kind && one->at_ms < list[i].at_ms + list[i].for_ms + site->ack_ms &&
            list[i].at_ms < one->at_ms + one->for_ms + site->ack_ms)
            return false;
    for (size_t i = 0; i < count && trouble_controller(one->kind); i++)
        if (list[i].kind != TROUBLE_COUNT && trouble_controller(list[i].kind) &&
            one->at_ms < list[i].at_ms + list[i].for_ms + gap_ms && list[i].at_ms < one->at_ms + one->for_ms + gap_ms)
            return false;
    return true;
}

static size_t troubles_draw(Day *day, const DaySettings *settings, Trouble *list, DayResult *result)
{
    const Site *site = settings->site;
    const int64_t last_ms = site->traffic_ms - CALM_END_MS;
    for (size_t i = 0; i < settings->troubles; i++) {
        Dice dice = dice_of(settings->seed, "trouble", i);
        Trouble *one = &list[i];
        *one = (Trouble){.day = day};
        do
            one->kind = (TroubleKind)dice_span(&dice, 0, TROUBLE_COUNT - 1);
        while (settings->only != NULL && trouble_of(settings->only) < TROUBLE_COUNT &&
               one->kind != trouble_of(settings->only));
        bool good = false;
        for (int tries = 0; tries < 12 && !good; tries++) {
            one->at_ms = dice_span(&dice, 1500, last_ms - 2000);
            one->for_ms = dice_span(&dice, 800, 7000);
            /* a loss counts for a while after the return: the closing fault may be the next */
            const int64_t end_ms = last_ms - (trouble_controller(one->kind) ? site->sync_ms : 0);
            if (one->at_ms + one->for_ms > end_ms)
                one->for_ms = end_ms - one->at_ms;
            good = one->for_ms >= 500 && fits(list, i, one, site);
        }
        one->dice = dice_of(settings->seed, "strike", i);
        if (!good || settings->skipped[i]) {
            one->kind = TROUBLE_COUNT;
            continue;
        }
        snprintf(result->troubles[i], sizeof(result->troubles[i]), "%s@%" PRId64 "+%" PRId64, trouble_name(one->kind),
                 one->at_ms, one->for_ms);
    }
    result->trouble_count = settings->troubles;
    return settings->troubles;
}

/* KIND@AT+FOR=WHOM,... */
static size_t troubles_read(Day *day, const DaySettings *settings, Trouble *list, DayResult *result)
{
    size_t count = 0;
    char *text = talloc_strdup(day, settings->script), *save = NULL;
    for (char *one = strtok_r(text, ",", &save); one != NULL && count < DAY_TROUBLES_MAX;
         one = strtok_r(NULL, ",", &save)) {
        Trouble *trouble = &list[count];
        char kind[24] = "";
        *trouble = (Trouble){.day = day, .dice = dice_of(settings->seed, "strike", count)};
        const int got = sscanf(one, "%23[a-zA-Z]@%" SCNd64 "+%" SCNd64 "=%15s", kind, &trouble->at_ms, &trouble->for_ms,
                               trouble->whom);
        trouble->kind = got >= 3 ? trouble_of(kind) : TROUBLE_COUNT;
        if (trouble->kind == TROUBLE_COUNT || settings->skipped[count])
            trouble->kind = TROUBLE_COUNT;
        snprintf(result->troubles[count], sizeof(result->troubles[count]), "%s%s", one,
                 trouble->kind == TROUBLE_COUNT ? "(not understood, or left out)" : "");
        count++;
    }
    result->trouble_count = count;
    return count;
}

static void day_for(const Day *day, int64_t for_ms)
{
    sim_run_until(day->ground->world, ground_now_ms(day->ground) + for_ms);
}

static void closing_start(void *arg)
{
    Day *day = arg;
    Ground *ground = day->ground;
    for (size_t i = 0; i < ground->edge_count; i++)
        if (ground->edges[i].used && !ground->edges[i].gone)
            node_start(&ground->edges[i]);
    for (size_t i = 0; i < ground->side_count; i++)
        node_start(&ground->sides[i]);
    day->callers->back_ms = ground_now_ms(ground);
}

/* All machines of the system at once; workers run on. */
static void closing_strike(Day *day, Closing closing, Dice *dice)
{
    Ground *ground = day->ground;
    static const char *const WORDS[] = {"", "", "all processes are killed", "all lose power",
                                        "all lose power, one its disk"};
    ground_say(ground, "%s", WORDS[closing]);
    day->callers->closing_ms = ground_now_ms(ground);
    GroundNode *wiped = closing == CLOSING_WIPE ? ground_leader(ground) : NULL;
    for (size_t i = 0; i < ground->edge_count; i++)
        node_kill(&ground->edges[i], closing != CLOSING_KILL);
    for (size_t i = 0; i < ground->side_count; i++)
        node_kill(&ground->sides[i], closing != CLOSING_KILL);
    if (wiped != NULL)
        sim_disk_wipe(ground->world, wiped->machine);
    sim_at(ground->world, ground_now_ms(ground) + dice_span(dice, 700, 1500), closing_start, day);
}

/* How much of what could be done was shown as done in time. */
static void sum(const Day *day, DayResult *result)
{
    const Book *book = day->book;
    result->jobs = book->count;
    result->starts = book->starts;
    result->orders = day->operator->orders;
    memcpy(result->ends, book->kinds, sizeof(result->ends));
    for (size_t i = 0; i < book->count; i++) {
        const BookJob *job = book->jobs[i];
        const Draft *draft = &job->draft;
        result->accepted += job->accepted_ms != 0;
        result->refused += job->refused_ms != 0;
        if (draft->lasting || draft->turns > 0 || job->poison || job->cancel_sent_ms != 0)
            continue;
        int64_t chain_ms[DRAFT_STEPS_MAX] = {0}, longest_ms = 0;
        for (size_t s = 0; s < draft->step_count; s++) {
            for (size_t a = 0; a < draft->steps[s].after_count; a++)
                if (chain_ms[draft->steps[s].after[a]] > chain_ms[s])
                    chain_ms[s] = chain_ms[draft->steps[s].after[a]];
            chain_ms[s] += draft->steps[s].work_ms;
            longest_ms = chain_ms[s] > longest_ms ? chain_ms[s] : longest_ms;
        }
        const int64_t target_ms = longest_ms * job->kind->stretch_percent / 100 + job->kind->target_ms;
        const int64_t took_ms = job->shown == JOB_WORD_DONE ? job->shown_ms - job->sent_ms : INT64_MAX;
        result->owed++;
        result->timely += took_ms <= target_ms;
        result->late += took_ms > target_ms && took_ms <= target_ms * 3;
    }
    if (checker_broken(day->ground->checker, NEVER_TWO_LEADERS) > 0)
        rules_broke(&result->rules, RULE_LEADERS, ground_day_ms(day->ground), "%s",
                    checker_first(day->ground->checker));
}

void day_run(const DaySettings *settings, DayResult *result)
{
    const Site *site = settings->site;
    void *mem = talloc_new(NULL);
    *result = (DayResult){0};
    Dice dice = dice_of(settings->seed, "day", 0);
    Day *day = talloc_zero(mem, Day);
    day->ground = ground_new(mem, site, settings->tongue, settings->seed, &result->rules);
    Ground *ground = day->ground;
    ground->loud = settings->loud;
    ground->job = settings->job;
    day->book = book_new(mem, ground);
    day->ledger = ledger_new(mem, ground);
    day->hands = hands_new(mem, day->book, day->ledger);
    day->door = door_new(mem, ground);
    day->callers = callers_new(mem, day->door, day->book, day->ledger);
    day->operator= operator_new(mem, ground, day->ledger);
    ground_start(ground);
    if (settings->wrong_clocks)
        sim_at(ground->world, ground->began_ms + 2000, clocks_spoil, day);
    door_start(day->door);
    sim_at(ground->world, ground_now_ms(ground) + dice_span(&dice, 0, 1500), hands_begin, day);
    sim_at(ground->world, ground_now_ms(ground) + 1000, operator_begin, day);
    sim_at(ground->world, ground->began_ms, callers_begin, day);
    Trouble *troubles = talloc_zero_array(mem, Trouble, DAY_TROUBLES_MAX);
    const size_t count = settings->script != NULL ? troubles_read(day, settings, troubles, result)
                                                  : troubles_draw(day, settings, troubles, result);
    for (size_t i = 0; i < count; i++)
        if (troubles[i].kind != TROUBLE_COUNT) {
            sim_at(ground->world, ground->began_ms + troubles[i].at_ms, begin, &troubles[i]);
            sim_at(ground->world, ground->began_ms + troubles[i].at_ms + troubles[i].for_ms, end, &troubles[i]);
        }
    day_for(day, site->lead_ms + site->traffic_ms);
    Closing closing = settings->closing;
    if (closing == CLOSING_DRAWN)
        closing = (Closing)dice_span(&dice, CLOSING_NONE, CLOSING_COUNT - 1);
    if (closing != CLOSING_NONE) {
        closing_strike(day, closing, &dice);
        day_for(day, site->recover_ms + 7000);
    }
    ground_say(ground, "traffic ends");
    callers_finish(day->callers);
    operator_finish(day->operator);
    for (int64_t passed_ms = 0; passed_ms < site->finish_ms; passed_ms += LOOK_MS) {
        day_for(day, LOOK_MS);
        callers_idle(day->callers, day->hands);
    }
    callers_end(day->callers);
    sum(day, result);
    ground_dump(ground);
    talloc_free(mem);
}
