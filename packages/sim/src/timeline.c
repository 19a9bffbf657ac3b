/* Timelines: parses the rows of the text and runs them on a fleet. */
#include "sim/timeline.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "timeline_act.h"

/* Runs the words of one cell. */
static bool run_cell(Timeline *timeline, const Column *column, char *cell)
{
    for (char *save = NULL, *word = strtok_r(cell, "+", &save); word != NULL; word = strtok_r(NULL, "+", &save)) {
        if (strcmp(word, ".") == 0)
            continue;
        char *value = strchr(word, ':');
        if (value != NULL)
            *value++ = '\0';
        if ((column->zone != NULL || column->node != NULL) && !timeline_is_check(word))
            checker_fault(timeline->fleet->checker);
        const bool good = column->zone != NULL   ? timeline_zone(timeline, column, word)
                          : column->node != NULL ? timeline_node(timeline, column, word, value)
                                                 : timeline_callers(timeline, column, word, value);
        if (!good)
            return false;
    }
    return true;
}

/* Runs all rows, each at its time. The text is modified. */
static bool run_rows(Timeline *timeline, char *text)
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
                if (i >= COLUMNS_MAX || !timeline_column(timeline, cell, &timeline->columns[i]))
                    return timeline_fail(timeline, cell, "no such column");
                timeline->column_count = i + 1;
            } else if (i >= timeline->column_count || !run_cell(timeline, &timeline->columns[i], cell)) {
                return i < timeline->column_count ? false : timeline_fail(timeline, cell, "more cells than columns");
            }
        }
        header = false;
        if (checker_violations_total(fleet->checker) > 0)
            return timeline_fail(timeline, "checker", checker_first_violation(fleet->checker));
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
    bool good = fleet_wait_ready(fleet, 30000) && fleet_configure(fleet);
    if (!good)
        timeline_fail(timeline, "-", "the fleet did not settle");
    timeline->start_ms = sim_now_ms(fleet->world);
    if (shape.mix == MIX_VARIED)
        checker_quota_changed(fleet->checker, "bounded", (Resources){3000, 0, 0}, TENANT_PRESENT);
    good = good && run_rows(timeline, talloc_strdup(mem, text));
    if (!good)
        fleet_dump(fleet);
    talloc_free(mem);
    return good;
}
