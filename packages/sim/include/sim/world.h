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
int64_t sim_wall_ms(const SimWorld *world);
uint64_t sim_random(SimWorld *world);
/* Runs until virtual time has come to until_ms. */
void sim_run_until(SimWorld *world, int64_t until_ms);
/* Runs until the machine has had its next turn, or virtual time has come to
 * until_ms; true when it had one. */
bool sim_turn(SimWorld *world, int machine, int64_t until_ms);
/* Calls fn at when_ms, outside of any node. */
void sim_at(SimWorld *world, int64_t when_ms, SimFn fn, void *arg);
/* Called after each event: the place of the checkers. */
void sim_watch(SimWorld *world, SimFn fn, void *arg);

/* Called after each sync of a file, with what it now keeps through a loss of power. */
void sim_watch_disks(SimWorld *world, SimDiskFn fn, void *arg);

/* A machine: an IP of its own ("10.0.0.N") and a disk that outlives its
 * processes. */
int sim_machine(SimWorld *world);
const char *sim_address(const SimWorld *world, int machine);
/* Starts a process there; start is called at once and spawns its tasks. */
void sim_start(SimWorld *world, int machine, SimStart start, void *arg);
bool sim_alive(const SimWorld *world, int machine);
Loop *sim_loop(const SimWorld *world, int machine);
/* SIGKILL: the kernel tells the peers. */
void sim_kill(SimWorld *world, int machine);
/* Power off: nobody is told, what the disk held back is lost. */
void sim_power_off(SimWorld *world, int machine);
/* SIGSTOP until the given time. */
void sim_freeze(SimWorld *world, int machine, int64_t until_ms);
bool sim_frozen(const SimWorld *world, int machine);
/* Wall time jumps; now_ms does not. */
void sim_jump(SimWorld *world, int machine, int64_t by_ms);
/* Its wall clock is right again. */
void sim_clock_right(SimWorld *world, int machine);
/* The machine's now_ms runs at so many hundredths of the true speed from now on:
 * no machine that spancart trusts does this; the checkers are tried with it. */
void sim_clock_rate(SimWorld *world, int machine, int64_t percent);
/* Cuts (or joins again) the way from one machine to another; one way only. */
void sim_cut(SimWorld *world, int from, int to, bool cut);
/* A cut way is not silent: connections are refused, and one on which something is sent is
 * reset, at both ends. */
void sim_refuse(SimWorld *world, int from, int to, bool refused);
bool sim_is_cut(const SimWorld *world, int from, int to);
/* Delay of each frame and connection: from low up to high. */
void sim_delay(SimWorld *world, int64_t low_ms, int64_t high_ms);
/* Of a thousand frames so many are dropped, while their connection goes on, and so
 * many come once more, up to late_ms later and out of order. No connection of the
 * platform's does this: the replicated log is tried with it. */
void sim_frames(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms);
/* The machine's link carries so many bytes in a millisecond each way, one after the
 * other; 0: any number at once. */
void sim_link_rate(SimWorld *world, int machine, int64_t bytes_per_ms);
/* Bytes that a machine's processes have sent to others so far. */
uint64_t sim_sent_bytes(const SimWorld *world, int machine);
/* Every frame from and to the machine takes so much longer. */
void sim_far(SimWorld *world, int machine, int64_t more_ms);
/* Each sync takes so long from now on. */
void sim_disk_slow(SimWorld *world, int machine, int64_t sync_ms);
/* Syncs fail from now on. */
void sim_disk_fail(SimWorld *world, int machine, bool fails);
/* All files together hold so many bytes at most from now on; 0: no bound. */
void sim_disk_room(SimWorld *world, int machine, size_t bytes);
/* Bytes of all its files. */
size_t sim_disk_used(const SimWorld *world, int machine);
/* Syncs are acknowledged but lost at the next power-off (or kill). */
void sim_disk_lie(SimWorld *world, int machine, bool lies);
/* Whether the disk syncs within so long, and does not fail. */
bool sim_disk_good(const SimWorld *world, int machine, int64_t most_ms);
/* An empty disk: a machine replaced. */
void sim_disk_wipe(SimWorld *world, int machine);
/* The content of a file, all of it synced, for tests that spoil it; valid until a process
 * puts another file in its place. */
Bytes *sim_disk_content(SimWorld *world, int machine, const char *path);
uint64_t sim_events(const SimWorld *world);

#endif
