#ifndef SIM_WORLD_H
#define SIM_WORLD_H

#include "base/map.h"
#include "loop/loop.h"

/* The simulated implementation of the loop: machines, networks and disks in one process on virtual time. Node code uses
 * it through loop/loop.h; tests and the model control it with this header. A run depends only on the seed and on the
 * calls made here, so it can be repeated. Times are in ms of the world's clock. */
typedef struct SimWorld SimWorld;

#define SIM_NODES_MAX 320 /* Machines of a world, at most. */

/* Starts the first tasks of a process on its loop. */
typedef void (*SimStart)(void *arg, Loop *loop);
/* An event or a watcher. */
typedef void (*SimFn)(void *arg);
/* Bytes were appended to a machine's file and synced; whole: bytes are the complete content, all of which was
 * synced. */
typedef void (*SimDiskFn)(void *arg, int machine, const char *path, Bytes bytes, bool whole);

/* A world owned by mem, without machines. */
SimWorld *sim_world_new(void *mem, uint64_t seed);
int64_t sim_now_ms(const SimWorld *world);
/* The true wall time, from which the wall clocks of machines differ. */
int64_t sim_wall_ms(const SimWorld *world);
/* The next random number of the world. */
uint64_t sim_random(SimWorld *world);
/* Runs all events up to until_ms, and sets the time to until_ms. */
void sim_run_until(SimWorld *world, int64_t until_ms);
/* Runs events up to until_ms, but stops after the next turn of the machine's loop. Returns whether there was one. */
bool sim_run_turn(SimWorld *world, int machine, int64_t until_ms);
/* Calls fn at when_ms, outside of all processes. */
void sim_schedule(SimWorld *world, int64_t when_ms, SimFn fn, void *arg);
/* Sets a watcher for checkers, called after each event; null: none. */
void sim_watch_events(SimWorld *world, SimFn fn, void *arg);

/* Sets a watcher, called with the bytes that a sync of a file covers after each sync, also a falsely acknowledged one;
 * null: none. */
void sim_watch_disks(SimWorld *world, SimDiskFn fn, void *arg);

/* Adds a machine with an IP address ("10.0.0.N") and a disk that outlives its processes. Returns its number. */
int sim_machine_new(SimWorld *world);
/* The machine's IP address. */
const char *sim_address(const SimWorld *world, int machine);
/* Starts a process; start is called immediately. No process may run on the machine. */
void sim_start(SimWorld *world, int machine, SimStart start, void *arg);
/* Whether a process runs on the machine. */
bool sim_running(const SimWorld *world, int machine);
/* The loop of the machine's process; there must be one. */
Loop *sim_loop(const SimWorld *world, int machine);
/* Kills the process, as SIGKILL does: its peers see the connections end. */
void sim_kill(SimWorld *world, int machine);
/* Cuts the machine's power: its peers see nothing, and unsynced writes may be lost. */
void sim_power_off(SimWorld *world, int machine);
/* Freezes the process until that time, as SIGSTOP does. */
void sim_freeze(SimWorld *world, int machine, int64_t until_ms);
/* Ends a freeze now. HTTP requests that came during the freeze still arrive at its former end. */
void sim_thaw(SimWorld *world, int machine);
bool sim_frozen(const SimWorld *world, int machine);
/* Makes the machine's wall clock jump; its loop_now_ms does not. */
void sim_clock_jump(SimWorld *world, int machine, int64_t by_ms);
/* Corrects the machine's wall clock. */
void sim_clock_correct(SimWorld *world, int machine);
/* Sets the rate of the machine's loop_now_ms, in percent of the true rate. Spancart relies on clocks that deviate by no
 * more than CLOCK_SLOW_PERCENT; larger deviations serve to test the checkers. */
void sim_clock_rate(SimWorld *world, int machine, int64_t percent);
/* Cuts or restores the link from one machine to another, in this direction only. */
void sim_link_cut(SimWorld *world, int from, int to, bool cut);
/* Makes the link, while it is cut, refuse new connections and reset a connection on which a frame is sent. */
void sim_link_refuse(SimWorld *world, int from, int to, bool refused);
bool sim_link_is_cut(const SimWorld *world, int from, int to);
/* Sets the range from which the delay of each frame and connection is drawn. */
void sim_link_delay(SimWorld *world, int64_t low_ms, int64_t high_ms);
/* Sets how many of a thousand frames are dropped while their connection stays open, and how many arrive a second time,
 * up to late_ms later and out of order. TCP does neither; the replicated log is tested with these faults. */
void sim_frame_faults(SimWorld *world, unsigned dropped, unsigned repeated, int64_t late_ms);
/* Sets the rate of the machine's link in each direction, in bytes per ms; 0: unlimited. */
void sim_link_rate(SimWorld *world, int machine, int64_t bytes_per_ms);
/* Bytes that the machine's processes have sent on connections so far. */
uint64_t sim_sent_bytes(const SimWorld *world, int machine);
/* Bytes that were sent on connections to the machine's processes so far. */
uint64_t sim_received_bytes(const SimWorld *world, int machine);
/* Sets an additional delay of every frame from and to the machine. */
void sim_machine_delay(SimWorld *world, int machine, int64_t more_ms);
/* Sets the duration of a sync; up to 2 ms are added at random. */
void sim_disk_slow(SimWorld *world, int machine, int64_t sync_ms);
/* Makes reads, writes and syncs of the machine's disk fail from now on, or work again. */
void sim_disk_fail(SimWorld *world, int machine, bool fails);
/* Limits the bytes of all files together; 0: no limit. */
void sim_disk_capacity(SimWorld *world, int machine, size_t bytes);
/* Bytes of all files on the machine's disk. */
size_t sim_disk_used(const SimWorld *world, int machine);
/* Makes the disk acknowledge syncs falsely: what was appended is lost at the next loss of power. */
void sim_disk_false_syncs(SimWorld *world, int machine, bool lies);
/* Whether the disk works and syncs within most_ms. */
bool sim_disk_healthy(const SimWorld *world, int machine, int64_t most_ms);
/* Empties the disk, as if the machine was replaced. */
void sim_disk_wipe(SimWorld *world, int machine);
/* The content of a file, for tests that damage it; all of it counts as synced. Valid until a process replaces the
 * file. */
Bytes *sim_disk_content(SimWorld *world, int machine, const char *path);
/* Number of events that have run. */
uint64_t sim_events(const SimWorld *world);

#endif
