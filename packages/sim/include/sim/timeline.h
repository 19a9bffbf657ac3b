#ifndef SIM_TIMELINE_H
#define SIM_TIMELINE_H

#include "sim/fleet.h"

/* Timelines: fault scenarios as a table in text, with a column for each node and a row for each time, in ms. Used by
 * tests and the timeline tool.
 *
 *     ms     leader        worker2     callers
 *     0      .             .           call:10
 *     5000   kill          .           .
 *     9000   !leads        runs        .
 *     20000  .             .           end+gap<6000
 *
 * Columns: leader (the controller that leads when the timeline begins), second and third (the other controllers in
 * order), core1.. (controllers), gate1.. (entry points), agent1.., worker1.., zone:NAME (all nodes of a zone), callers.
 * A cell is "." or words joined by "+"; a word is an action or a check. Times count from the beginning of the timeline,
 * when the fleet has a leader, all its workers and its configuration.
 *
 * Actions on a node:
 *   kill, start, off (loss of power), freeze:MS, roll (graceful shutdown, then a start)
 *   cut, join (all links of the node), cut>COLUMN, join>COLUMN (the link in this direction only)
 *   blind, sees (the links to all entry points and agents, but not to controllers, are cut or restored)
 *   wipe (empties the disk), slow:MS (duration of a sync), diskfails, diskworks
 *   lie, honest (syncs are acknowledged falsely, or truly again)
 *   jump:MS (wall clock), rate:PERCENT (rate of its monotonic clock, which a correct machine would keep near 100)
 *   leave (a worker announces that it leaves), fails, heals (a worker fails every attempt, or works again)
 * Actions on a zone: kill, start, off, cut, join, drain, back (takes the drain back).
 * Actions on callers:
 *   call:N, call:N/MS (submit N jobs per second, without end or for MS)
 *   cancel (cancel every job submitted so far), end (stop callers and wait until every accepted job has ended)
 *   links:MS (frames are delayed by up to MS)
 * Checks of a node: leads, !leads, runs (a worker runs an attempt or has just started one), idle, up, !up.
 * Checks of callers: gap<MS (longest time between two acceptances), allDone (every job of the last call is done). */
typedef struct Timeline Timeline;

/* Builds a fleet, runs the timeline on it, and checks all safety properties after each row. Returns true if all checks
 * held and no property was violated; otherwise why receives the reason. */
bool timeline_run(uint64_t seed, FleetShape shape, const char *text, char *why, size_t why_size);

#endif
