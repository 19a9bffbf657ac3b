#ifndef SIM_TIMELINE_H
#define SIM_TIMELINE_H

#include "sim/fleet.h"

/* Timelines: scenarios drawn as text, one column a node, one row a moment. Used by tests and the timeline tool.
 *
 *     ms     leader        worker2     callers
 *     0      .             .           call:10
 *     5000   kill          .           .
 *     9000   !leads        runs        .
 *     20000  .             .           end+gap<6000
 *
 * Columns: leader (the controller that leads when the timeline begins), second and
 * third (the other controllers in order), core1.., gate1.., agent1.., worker1..,
 * ring of a zone (zone:north), callers. A cell is "." or actions and claims
 * joined by "+". Times count from the beginning of the timeline, which is when
 * the fleet has settled and has its configuration.
 *
 * Actions on nodes: kill, start, roll (drain, end, start), off (power), wipe (an empty disk), freeze:MS,
 * cut, join, cut>COLUMN and join>COLUMN (one way), slow:MS (syncs), lie, honest,
 * blind, sees (cut off from all entry points and agents, not from controllers), diskfails, diskworks, jump:MS (wall
 * clock), rate:PERCENT (of its own clock: a machine nobody may trust), leave (a worker), fails, heals (a worker fails
 * every task). On a zone: kill, start, off, cut, join, drain, back. On callers: call:N (jobs a second) or call:N/MS,
 * cancel (all that was handed in), end (until every accepted job has ended), links:MS (each frame takes up to so long).
 * Claims: leads, !leads, runs (a worker runs something), idle, up, !up; on callers gap<MS (longest time between two
 * acceptances) and allDone (every job of the last call is done). */
typedef struct Timeline Timeline;

/* Builds the fleet, plays the timeline, and checks every safety property at each step. return: true when all claims
 * held and no property broke; otherwise why says what did not hold. */
bool timeline_run(uint64_t seed, FleetShape shape, const char *text, char *why, size_t why_size);

#endif
