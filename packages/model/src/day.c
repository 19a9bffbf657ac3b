#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "trouble.h"

#define LOOK_MS 200      /* ms; between looks for jobs that stand still */
#define CALM_END_MS 3500 /* ms; troubles are over so long before the closing fault or the end of traffic */
#define CORE_GAP_MS 3000 /* ms; after a core's return has stopped to count as a loss */

static void begin(void *arg)
{
    troubleBegin(arg);
}

static void end(void *arg)
{
    troubleEnd(arg);
}

static void operatorBegin(void *arg)
{
    operatorStart(((Day *)arg)->operator);
}

static void callersBegin(void *arg)
{
    callersStart(((Day *)arg)->callers);
}

static void handsBegin(void *arg)
{
    handsStart(((Day *)arg)->hands);
}

/* For the checkers' own proof: the one assumption that no process can look after. */
static void clocksSpoil(void *arg)
{
    Ground *ground = ((Day *)arg)->ground;
    GroundNode *leader = groundLeader(ground);
    for (size_t i = 0; i < ground->edgeCount && leader != NULL; i++) {
        GroundNode *node = &ground->edges[i];
        if (!node->disk || !node->used)
            continue;
        sim_clock_rate(ground->world, node->machine, node == leader ? 10 : 1000);
    }
    if (leader != NULL)
        nodeCut(leader, true);
}

/* Troubles of the core keep apart: no more is lost at once than is to be borne. */
static bool fits(const Trouble *list, size_t count, const Trouble *one, const Site *site)
{
    const int64_t gap_ms = site->sync_ms + CORE_GAP_MS;
    /* one zone is emptied at a time, too */
    for (size_t i = 0; i < count && one->kind == TROUBLE_ZONE_DRAIN; i++)
        if (list[i].kind == one->kind && one->at_ms < list[i].at_ms + list[i].for_ms + site->ackMs &&
            list[i].at_ms < one->at_ms + one->for_ms + site->ackMs)
            return false;
    for (size_t i = 0; i < count && troubleCore(one->kind); i++)
        if (list[i].kind != TROUBLE_COUNT && troubleCore(list[i].kind) &&
            one->at_ms < list[i].at_ms + list[i].for_ms + gap_ms && list[i].at_ms < one->at_ms + one->for_ms + gap_ms)
            return false;
    return true;
}

static size_t troublesDraw(Day *day, const DayProps *props, Trouble *list, DayResult *result)
{
    const Site *site = props->site;
    const int64_t last_ms = site->trafficMs - CALM_END_MS;
    for (size_t i = 0; i < props->troubles; i++) {
        Dice dice = diceOf(props->seed, "trouble", i);
        Trouble *one = &list[i];
        *one = (Trouble){.day = day};
        do
            one->kind = (TroubleKind)diceSpan(&dice, 0, TROUBLE_COUNT - 1);
        while (props->only != NULL && troubleOf(props->only) < TROUBLE_COUNT && one->kind != troubleOf(props->only));
        bool good = false;
        for (int tries = 0; tries < 12 && !good; tries++) {
            one->at_ms = diceSpan(&dice, 1500, last_ms - 2000);
            one->for_ms = diceSpan(&dice, 800, 7000);
            /* a loss counts for a while after the return: the closing fault may be the next */
            const int64_t end_ms = last_ms - (troubleCore(one->kind) ? site->sync_ms : 0);
            if (one->at_ms + one->for_ms > end_ms)
                one->for_ms = end_ms - one->at_ms;
            good = one->for_ms >= 500 && fits(list, i, one, site);
        }
        one->dice = diceOf(props->seed, "strike", i);
        if (!good || props->skipped[i]) {
            one->kind = TROUBLE_COUNT;
            continue;
        }
        snprintf(result->troubles[i], sizeof(result->troubles[i]), "%s@%" PRId64 "+%" PRId64, troubleName(one->kind),
                 one->at_ms, one->for_ms);
    }
    result->troubleCount = props->troubles;
    return props->troubles;
}

/* KIND@AT+FOR=WHOM,... */
static size_t troublesRead(Day *day, const DayProps *props, Trouble *list, DayResult *result)
{
    size_t count = 0;
    char *text = talloc_strdup(day, props->script), *save = NULL;
    for (char *one = strtok_r(text, ",", &save); one != NULL && count < DAY_TROUBLES_MAX;
         one = strtok_r(NULL, ",", &save)) {
        Trouble *trouble = &list[count];
        char kind[24] = "";
        *trouble = (Trouble){.day = day, .dice = diceOf(props->seed, "strike", count)};
        const int got = sscanf(one, "%23[a-zA-Z]@%" SCNd64 "+%" SCNd64 "=%15s", kind, &trouble->at_ms, &trouble->for_ms,
                               trouble->whom);
        trouble->kind = got >= 3 ? troubleOf(kind) : TROUBLE_COUNT;
        if (trouble->kind == TROUBLE_COUNT || props->skipped[count])
            trouble->kind = TROUBLE_COUNT;
        snprintf(result->troubles[count], sizeof(result->troubles[count]), "%s%s", one,
                 trouble->kind == TROUBLE_COUNT ? "(not understood, or left out)" : "");
        count++;
    }
    result->troubleCount = count;
    return count;
}

static void dayFor(const Day *day, int64_t for_ms)
{
    sim_run_until(day->ground->world, groundNowMs(day->ground) + for_ms);
}

static void closingStart(void *arg)
{
    Day *day = arg;
    Ground *ground = day->ground;
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (ground->edges[i].used && !ground->edges[i].gone)
            node_start(&ground->edges[i]);
    for (size_t i = 0; i < ground->sideCount; i++)
        node_start(&ground->sides[i]);
    day->callers->backMs = groundNowMs(ground);
}

/* All machines of the system at once; workers run on. */
static void closingStrike(Day *day, Closing closing, Dice *dice)
{
    Ground *ground = day->ground;
    static const char *const WORDS[] = {"", "", "all processes are killed", "all lose power",
                                        "all lose power, one its disk"};
    groundSay(ground, "%s", WORDS[closing]);
    day->callers->closingMs = groundNowMs(ground);
    GroundNode *wiped = closing == CLOSING_WIPE ? groundLeader(ground) : NULL;
    for (size_t i = 0; i < ground->edgeCount; i++)
        nodeKill(&ground->edges[i], closing != CLOSING_KILL);
    for (size_t i = 0; i < ground->sideCount; i++)
        nodeKill(&ground->sides[i], closing != CLOSING_KILL);
    if (wiped != NULL)
        sim_disk_wipe(ground->world, wiped->machine);
    sim_at(ground->world, groundNowMs(ground) + diceSpan(dice, 700, 1500), closingStart, day);
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
        result->refused += job->refusedMs != 0;
        if (draft->lasting || draft->turns > 0 || job->poison || job->cancelSentMs != 0)
            continue;
        int64_t chainMs[DRAFT_STEPS_MAX] = {0}, longest_ms = 0;
        for (size_t s = 0; s < draft->stepCount; s++) {
            for (size_t a = 0; a < draft->steps[s].after_count; a++)
                if (chainMs[draft->steps[s].after[a]] > chainMs[s])
                    chainMs[s] = chainMs[draft->steps[s].after[a]];
            chainMs[s] += draft->steps[s].work_ms;
            longest_ms = chainMs[s] > longest_ms ? chainMs[s] : longest_ms;
        }
        const int64_t aimMs = longest_ms * job->kind->stretchPercent / 100 + job->kind->aimMs;
        const int64_t took_ms = job->shown == JOB_WORD_DONE ? job->shownMs - job->sent_ms : INT64_MAX;
        result->owed++;
        result->timely += took_ms <= aimMs;
        result->late += took_ms > aimMs && took_ms <= aimMs * 3;
    }
    if (checker_broken(day->ground->checker, NEVER_TWO_LEADERS) > 0)
        rulesBroke(&result->rules, RULE_LEADERS, groundDayMs(day->ground), "%s", checker_first(day->ground->checker));
}

void dayRun(const DayProps *props, DayResult *result)
{
    const Site *site = props->site;
    void *mem = talloc_new(NULL);
    *result = (DayResult){0};
    Dice dice = diceOf(props->seed, "day", 0);
    Day *day = talloc_zero(mem, Day);
    day->ground = groundNew(mem, site, props->tongue, props->seed, &result->rules);
    Ground *ground = day->ground;
    ground->loud = props->loud;
    ground->job = props->job;
    day->book = bookNew(mem, ground);
    day->ledger = ledgerNew(mem, ground);
    day->hands = handsNew(mem, day->book, day->ledger);
    day->door = doorNew(mem, ground);
    day->callers = callersNew(mem, day->door, day->book, day->ledger);
    day->operator= operator_new(mem, ground, day->ledger);
    groundStart(ground);
    if (props->wrongClocks)
        sim_at(ground->world, ground->began_ms + 2000, clocksSpoil, day);
    doorStart(day->door);
    sim_at(ground->world, groundNowMs(ground) + diceSpan(&dice, 0, 1500), handsBegin, day);
    sim_at(ground->world, groundNowMs(ground) + 1000, operatorBegin, day);
    sim_at(ground->world, ground->began_ms, callersBegin, day);
    Trouble *troubles = talloc_zero_array(mem, Trouble, DAY_TROUBLES_MAX);
    const size_t count =
        props->script != NULL ? troublesRead(day, props, troubles, result) : troublesDraw(day, props, troubles, result);
    for (size_t i = 0; i < count; i++)
        if (troubles[i].kind != TROUBLE_COUNT) {
            sim_at(ground->world, ground->began_ms + troubles[i].at_ms, begin, &troubles[i]);
            sim_at(ground->world, ground->began_ms + troubles[i].at_ms + troubles[i].for_ms, end, &troubles[i]);
        }
    dayFor(day, site->leadMs + site->trafficMs);
    Closing closing = props->closing;
    if (closing == CLOSING_DRAWN)
        closing = (Closing)diceSpan(&dice, CLOSING_NONE, CLOSING_COUNT - 1);
    if (closing != CLOSING_NONE) {
        closingStrike(day, closing, &dice);
        dayFor(day, site->recoverMs + 7000);
    }
    groundSay(ground, "traffic ends");
    callersFinish(day->callers);
    operatorFinish(day->operator);
    for (int64_t passed_ms = 0; passed_ms < site->finishMs; passed_ms += LOOK_MS) {
        dayFor(day, LOOK_MS);
        callersIdle(day->callers, day->hands);
    }
    callersEnd(day->callers);
    sum(day, result);
    groundDump(ground);
    talloc_free(mem);
}
