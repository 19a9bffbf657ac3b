#ifndef SIM_WORLD_H
#define SIM_WORLD_H

#include "base/map.h"
#include "loop/loop.h"

/* A world of nodes in one process on virtual time. All that happens follows
 * from the seed and from the calls made here, so a run can be had again. */
typedef struct SimWorld SimWorld;

#define SIM_NODES_MAX 160

typedef void (*SimStart)(void *arg, Loop *loop);
typedef void (*SimFn)(void *arg);
/* bytes were added to a machine's file and synced, or are all that it has (whole). */
typedef void (*SimDiskFn)(void *arg, int machine, const char *path, Bytes bytes, bool whole);

SimWorld *sim_world_new(void *mem, uint64_t seed);
int64_t sim_now_ms(const SimWorld *world);
/* True wall time, which machines' clocks are off from. */
int64_t simWallMs(const SimWorld *world);
uint64_t simRandom(SimWorld *world);
/* Runs until virtual time has come to until_ms. */
void sim_run_until(SimWorld *world, int64_t until_ms);
/* Runs until the machine has had its next turn, or virtual time has come to
 * until_ms; true when it had one. */
bool simTurn(SimWorld *world, int machine, int64_t until_ms);
/* Calls fn at when_ms, outside of any node. */
void simAt(SimWorld *world, int64_t when_ms, SimFn fn, void *arg);
/* Called after each event: the place of the checkers. */
void simWatch(SimWorld *world, SimFn fn, void *arg);

/* Called after each sync of a file, with what it now keeps through a loss of power. */
void simWatchDisks(SimWorld *world, SimDiskFn fn, void *arg);

/* A machine: an IP of its own ("10.0.0.N") and a disk that outlives its
 * processes. */
int sim_machine(SimWorld *world);
const char *simAddress(const SimWorld *world, int machine);
/* Starts a process there; start is called at once and spawns its tasks. */
void sim_start(SimWorld *world, int machine, SimStart start, void *arg);
bool simAlive(const SimWorld *world, int machine);
Loop *sim_loop(const SimWorld *world, int machine);
/* SIGKILL: the kernel tells the peers. */
void sim_kill(SimWorld *world, int machine);
/* Power off: nobody is told, what the disk held back is lost. */
void sim_power_off(SimWorld *world, int machine);
/* SIGSTOP until the given time. */
void simFreeze(SimWorld *world, int machine, int64_t until_ms);
bool simFrozen(const SimWorld *world, int machine);
/* Wall time jumps; now_ms does not. */
void simJump(SimWorld *world, int machine, int64_t byMs);
/* Its wall clock is right again. */
void simClockRight(SimWorld *world, int machine);
/* The machine's now_ms runs at so many hundredths of the true speed from now on:
 * no machine that spancart trusts does this; the checkers are tried with it. */
void simClockRate(SimWorld *world, int machine, int64_t percent);
/* Cuts (or joins again) the way from one machine to another; one way only. */
void sim_cut(SimWorld *world, int from, int to, bool cut);
/* A cut way is not silent: connections are refused, and one on which something is sent is
 * reset, at both ends. */
void simRefuse(SimWorld *world, int from, int to, bool refused);
bool simIsCut(const SimWorld *world, int from, int to);
/* Delay of each frame and connection: from low up to high. */
void simDelay(SimWorld *world, int64_t lowMs, int64_t highMs);
/* Of a thousand frames so many are dropped, while their connection goes on, and so
 * many come once more, up to late_ms later and out of order. No connection of the
 * platform's does this: the replicated log is tried with it. */
void simFrames(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms);
/* The machine's link carries so many bytes in a millisecond each way, one after the
 * other; 0: any number at once. */
void simLinkRate(SimWorld *world, int machine, int64_t bytesPerMs);
/* Bytes that a machine's processes have sent to others so far. */
uint64_t simSentBytes(const SimWorld *world, int machine);
/* Every frame from and to the machine takes so much longer. */
void simFar(SimWorld *world, int machine, int64_t moreMs);
/* Each sync takes so long from now on. */
void sim_disk_slow(SimWorld *world, int machine, int64_t sync_ms);
/* Syncs fail from now on. */
void sim_disk_fail(SimWorld *world, int machine, bool fails);
/* All files together hold so many bytes at most from now on; 0: no bound. */
void sim_disk_room(SimWorld *world, int machine, size_t bytes);
/* Bytes of all its files. */
size_t sim_disk_used(const SimWorld *world, int machine);
/* Syncs are acknowledged but lost at the next power-off (or kill). */
void simDiskLie(SimWorld *world, int machine, bool lies);
/* Whether the disk syncs within so long, and does not fail. */
bool simDiskGood(const SimWorld *world, int machine, int64_t most_ms);
/* An empty disk: a machine replaced. */
void simDiskWipe(SimWorld *world, int machine);
/* The content of a file, all of it synced, for tests that spoil it; valid until a process
 * puts another file in its place. */
Bytes *sim_disk_content(SimWorld *world, int machine, const char *path);
uint64_t simEvents(const SimWorld *world);

#endif
