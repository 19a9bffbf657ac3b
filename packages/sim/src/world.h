#ifndef SIM_SRC_WORLD_H
#define SIM_SRC_WORLD_H

/* State and functions that the files of the simulated loop share. Layers: events.c (clock and queue of events);
 * machine.c and link.c (machines and their network); net.c, http.c and disk.c (what a process does there); world.c. */

#include "loop/internal.h"
#include "sim/world.h"

#define HELD_RETRY_MS 100 /* ms; a held-back frame looks again, as TCP sends again */

typedef struct SimEvent {
    int64_t when_ms;
    uint64_t order;
    SimFn fn;
    void *arg;
} SimEvent;

#define DISK_WRITES_MOST 64 /* count; unsynced writes of one file told from each other */

/* A file, as processes see it; it outlives them.
 * Invariants: bytes past synced_count may be lost at the next loss of power, each write
 * by itself; write_ends tells where those writes end, in order. */
typedef struct SimContent {
    Bytes bytes;
    size_t synced_count;
    size_t write_ends[DISK_WRITES_MOST], write_count;
    Bytes inflight; /* being written: a kill leaves a random prefix of it */
} SimContent;

/* A name of the folder. Invariant: lasting differs from content only after a rename or a
 * removal that no sync of the folder followed; null: no such file. */
typedef struct SimName {
    SimContent *content, *lasting;
} SimName;

typedef struct SimPort {
    ChannelFn on_channel;
    HttpFn on_http;
    void *arg;
} SimPort;

typedef struct SimLoop {
    Loop loop; /* first */
    SimWorld *world;
    int machine;
    Map *ports;
    int next_port;
    HttpLimits limits;
    size_t http_tasks; /* in work now */
    int64_t armed_ms;  /* an event that runs this loop is due then; INT64_MAX: none */
} SimLoop;

/* Invariant: loop is null exactly when no process runs there. */
typedef struct SimMachine {
    SimWorld *world;
    int number;
    char ip[24];
    SimLoop *loop;
    uint64_t turns;
    uint64_t life; /* grows with each start */
    bool silent;   /* it ends without telling its peers */
    int64_t frozen_until_ms;
    int64_t boot_offset_ms;
    int64_t rate_percent, rate_from_ms; /* of its clock, since that world time */
    int64_t wall_offset_ms;
    uint64_t sent_bytes, received_bytes;
    int64_t bytes_per_ms;               /* of its link; 0: unbounded */
    int64_t send_free_us, take_free_us; /* world time in us; when its link has carried what it was given */
    int64_t far_ms;                     /* its frames take so much longer */
    int64_t sync_ms;
    bool disk_fails, disk_lies;
    size_t disk_capacity; /* bytes of all its files together; 0: no bound */
    Map *disk;            /* path to SimName */
} SimMachine;

struct SimWorld {
    int64_t now_ms;
    uint64_t state; /* of the random numbers */
    uint64_t order;
    uint64_t event_count;
    SimEvent *events;
    size_t count, capacity;
    SimMachine machines[SIM_NODES_MAX];
    int machine_count;
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX];
    bool refused[SIM_NODES_MAX][SIM_NODES_MAX]; /* ... and who sends or connects is told so */
    int64_t delay_low_ms, delay_high_ms;
    SimFn watch;
    void *watch_arg;
    SimDiskFn disk_watch;
    void *disk_watch_arg;
    unsigned frame_dropped, frame_repeated; /* of a thousand */
    int64_t frame_late_ms;
};

/* The delay of one frame or connection, drawn. */
int64_t sim_link_ms(SimWorld *world);
/* When bytes that leave one machine now arrive at another; both links carry them from now on. */
int64_t sim_arrival_ms(SimWorld *world, int from, int to, size_t bytes);
/* The machine and port behind "10.0.0.N:port"; false when there is none. */
bool sim_find(SimWorld *world, const char *address, int *machine, const char **port);
/* Runs the machine's loop when that is next due. */
void sim_arm(Loop *loop, int64_t when_ms);
/* Gives a port of the process to a listener: the address's, or a free one for port 0; bound receives the address. */
int sim_take_port(SimLoop *loop, const char *address, SimPort port, char *bound);

Status sim_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status sim_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status sim_send(Channel *channel, Bytes frame);
void sim_shut(Channel *channel);
Status sim_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void sim_limit(Loop *loop, const HttpLimits *limits);
void sim_leave(Loop *loop);
size_t sim_busy(const Loop *loop);
Status sim_call(Loop *loop, HttpCall *call);
Status sim_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status sim_file_read(File *file, void *mem, Bytes *content);
Status sim_file_append(File *file, Bytes bytes);
Status sim_file_replace(File *file, Bytes bytes);
Status sim_hint_write(File *file, Bytes bytes);
Status sim_hint_read(File *file, void *mem, Bytes *content);
/* What a process's end does to its disk. */
void sim_disk_after_end(SimMachine *machine, bool power);

#endif
