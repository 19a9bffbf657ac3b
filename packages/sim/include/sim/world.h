#ifndef SIM_WORLD_H
#define SIM_WORLD_H

#include "base/map.h"
#include "loop/loop.h"

/* The simulated implementation of the loop: machines, networks and disks in one process on virtual time. Node code sees
 * it as loop/loop.h; tests and the model drive it by this header. All that happens follows from the seed and from the
 * calls made here, so that a run can be repeated. Times are in milliseconds of the world's clock. */
typedef struct SimWorld SimWorld;

#define SIM_NODES_MAX 320

/* Starts the tasks of a process on its loop. */
typedef void (*SimStart)(void *arg, Loop *loop);
typedef void (*SimFn)(void *arg);
/* Bytes were added to a machine's file and synced; whole: they are all that it has. */
typedef void (*SimDiskFn)(void *arg, int machine, const char *path, Bytes bytes, bool whole);

SimWorld *sim_world_new(void *mem, uint64_t seed);
int64_t sim_now_ms(const SimWorld *world);
/* True wall time, which machines' clocks are off from. */
int64_t sim_wall_ms(const SimWorld *world);
uint64_t sim_random(SimWorld *world);
/* Runs all events up to until_ms, which is the time afterwards. */
void sim_run_until(SimWorld *world, int64_t until_ms);
/* Runs until the machine has had its next turn (true) or until_ms has come (false). */
bool sim_turn(SimWorld *world, int machine, int64_t until_ms);
/* Calls fn at when_ms, outside of any process. */
void sim_at(SimWorld *world, int64_t when_ms, SimFn fn, void *arg);
/* fn is called after each event, for checkers; null: none. */
void sim_watch(SimWorld *world, SimFn fn, void *arg);

/* fn is called after each sync of a file, with what outlasts a loss of power from now on; null: none. */
void sim_watch_disks(SimWorld *world, SimDiskFn fn, void *arg);

/* A new machine, by its number: an IP of its own ("10.0.0.N") and a disk that outlives its processes. */
int sim_machine(SimWorld *world);
const char *sim_address(const SimWorld *world, int machine);
/* Starts a process; start is called at once. There must be none. */
void sim_start(SimWorld *world, int machine, SimStart start, void *arg);
bool sim_alive(const SimWorld *world, int machine);
/* Of the process there; there must be one. */
Loop *sim_loop(const SimWorld *world, int machine);
/* SIGKILL: the peers see the connections end. */
void sim_kill(SimWorld *world, int machine);
/* Power off: the peers are not told, and what the disk has not synced is lost. */
void sim_power_off(SimWorld *world, int machine);
/* SIGSTOP until that time. */
void sim_freeze(SimWorld *world, int machine, int64_t until_ms);
/* A frozen process goes on now. HTTP requests that came meanwhile arrive at the former end. */
void sim_thaw(SimWorld *world, int machine);
bool sim_frozen(const SimWorld *world, int machine);
/* Wall time jumps; now_ms does not. */
void sim_jump(SimWorld *world, int machine, int64_t by_ms);
/* Its wall clock is right again. */
void sim_clock_right(SimWorld *world, int machine);
/* The machine's loop_now_ms runs at this percentage of the true speed from now on. A machine on which spancart relies
 * does not do this beyond CLOCK_SLOW_PERCENT; the checkers are tested with it. */
void sim_clock_rate(SimWorld *world, int machine, int64_t percent);
/* Cuts, or joins again, the link from one machine to another; one way only. */
void sim_cut(SimWorld *world, int from, int to, bool cut);
/* A cut link is not silent: connections are refused, and one on which something is sent is reset at both ends. */
void sim_refuse(SimWorld *world, int from, int to, bool refused);
bool sim_is_cut(const SimWorld *world, int from, int to);
/* The delay of each frame and connection is drawn from low_ms to high_ms. */
void sim_delay(SimWorld *world, int64_t low_ms, int64_t high_ms);
/* Of a thousand frames, how many are dropped while their connection goes on, and how many come once more, up to late_ms
 * later and out of order. TCP does neither: the replicated log is tested with it. */
void sim_frames(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms);
/* The machine's link carries this many bytes in a millisecond each way; 0: any number at once. */
void sim_link_rate(SimWorld *world, int machine, int64_t bytes_per_ms);
/* Bytes that a machine's processes have sent to others so far. */
uint64_t sim_sent_bytes(const SimWorld *world, int machine);
/* Bytes that others have sent to a machine's processes so far. */
uint64_t sim_received_bytes(const SimWorld *world, int machine);
/* Every frame from and to the machine takes this much longer. */
void sim_far(SimWorld *world, int machine, int64_t more_ms);
/* Each sync takes this long from now on. */
void sim_disk_slow(SimWorld *world, int machine, int64_t sync_ms);
/* Syncs fail from now on. */
void sim_disk_fail(SimWorld *world, int machine, bool fails);
/* All files together hold at most this many bytes from now on; 0: no bound. */
void sim_disk_capacity(SimWorld *world, int machine, size_t bytes);
/* Bytes of all its files. */
size_t sim_disk_used(const SimWorld *world, int machine);
/* Syncs are acknowledged but lost at the next power-off (or kill). */
void sim_disk_lie(SimWorld *world, int machine, bool lies);
/* Whether the disk does not fail and syncs within most_ms. */
bool sim_disk_good(const SimWorld *world, int machine, int64_t most_ms);
/* An empty disk: a machine replaced. */
void sim_disk_wipe(SimWorld *world, int machine);
/* The content of a file, all of it synced, for tests that spoil it; valid until a process
 * puts another file in its place. */
Bytes *sim_disk_content(SimWorld *world, int machine, const char *path);
/* Events so far. */
uint64_t sim_events(const SimWorld *world);

#endif
