#ifndef SIM_SRC_WORLD_H
#define SIM_SRC_WORLD_H

/* State and functions that the source files of the simulated loop share. Layers, from the lowest: events.c (clock and
 * event queue); machine.c and link.c (machines and their network); net.c, http.c and disk.c (operations of a process);
 * world.c. */

#include "loop/internal.h"
#include "sim/world.h"

#define HELD_RETRY_MS 100 /* Retry interval of a frame that is held back, like a TCP retransmission. */

/* An entry of the event queue. order: number of the event, which orders events of the same time. */
typedef struct SimEvent {
    int64_t when_ms;
    uint64_t order;
    SimFn fn;
    void *arg;
} SimEvent;

#define DISK_WRITES_MOST 64 /* Unsynced writes of a file that are tracked separately. */

/* The content of a file as processes see it; it outlives them. Invariants: bytes from synced_count on may be lost at
 * the next loss of power, each write independently; write_ends holds the end offsets of these writes, in order. */
typedef struct SimContent {
    Bytes bytes;
    size_t synced_count;
    size_t write_ends[DISK_WRITES_MOST], write_count;
    Bytes inflight; /* the write in progress, of which the end of the process leaves a random prefix */
} SimContent;

/* A name in the directory: the file that it names now, and the one that it names after a loss of power; null: no such
 * file. Invariant: the two differ only after a rename or a removal that no sync of the directory has followed. */
typedef struct SimName {
    SimContent *content, *durable;
} SimName;

/* A port on which a process listens, for connections or for HTTP requests. */
typedef struct SimPort {
    ChannelFn on_channel;
    HttpFn on_http;
    void *arg;
} SimPort;

/* The loop of one process. */
typedef struct SimLoop {
    Loop loop; /* must be first */
    SimWorld *world;
    int machine;
    Map *ports;              /* port number to SimPort */
    int next_port;           /* the next port for a listener that asks for any */
    HttpLimits limits;       /* of its HTTP server */
    size_t http_tasks;       /* HTTP requests in progress */
    size_t http_connections; /* connections of callers whose request is in transit */
    bool http_closed;        /* the HTTP server has stopped listening */
    int64_t armed_ms;        /* when the next turn of this loop is scheduled, on the machine's clock; INT64_MAX: none */
} SimLoop;

/* A machine with its disk and link. Invariant: loop is null exactly when no process runs on it. */
typedef struct SimMachine {
    SimWorld *world;
    int number;
    char ip[24];
    SimLoop *loop;
    uint64_t turns;       /* turns of its loops so far */
    uint64_t incarnation; /* number of its process, incremented at each start */
    bool silent;          /* the last process ended by a loss of power: peers see nothing */
    int64_t frozen_until_ms;
    int64_t boot_offset_ms;             /* offset of its clock from world time, with the gain of former rates */
    int64_t rate_percent, rate_from_ms; /* rate of its clock, and the world time from which on it applies */
    int64_t wall_offset_ms;             /* error of its wall clock */
    uint64_t sent_bytes, received_bytes;
    int64_t bytes_per_ms;                  /* rate of its link in each direction; 0: unlimited */
    int64_t send_free_us, receive_free_us; /* world time in us at which its link is free for sending and receiving */
    int64_t extra_delay_ms;                /* additional delay of its frames */
    int64_t sync_ms;                       /* duration of a sync, with up to 2 ms added at random */
    bool disk_fails, disk_lies;
    size_t disk_capacity; /* limit for the bytes of all its files together; 0: none */
    Map *disk;            /* path to SimName */
} SimMachine;

struct SimWorld {
    int64_t now_ms;        /* virtual time, also called world time */
    uint64_t random_state; /* state of the random number generator */
    uint64_t order;        /* of the next event added */
    uint64_t event_count;  /* events that have run */
    SimEvent *events;
    size_t count, capacity;
    SimMachine machines[SIM_NODES_MAX];
    int machine_count;
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX];     /* the link from the first machine to the second */
    bool refused[SIM_NODES_MAX][SIM_NODES_MAX]; /* while cut, the link refuses and resets connections */
    int64_t delay_low_ms, delay_high_ms;        /* range of the delay of a frame or connection */
    SimFn watch;                                /* called after each event; null: none */
    void *watch_arg;
    SimDiskFn disk_watch; /* called after each sync of a file; null: none */
    void *disk_watch_arg;
    unsigned frame_dropped, frame_repeated; /* per thousand frames */
    int64_t frame_late_ms;                  /* the most by which a duplicated frame is delayed in addition */
};

/* Draws the delay of one frame or connection, in ms. */
int64_t sim_link_ms(SimWorld *world);
/* World time at which bytes sent now from one machine arrive at another. Occupies both links for them. */
int64_t sim_arrival_ms(SimWorld *world, int from, int to, size_t bytes);
/* Finds the machine and port of an address "10.0.0.N:port". Returns false if there is no such machine. */
bool sim_find(SimWorld *world, const char *address, int *machine, const char **port);
/* Schedules a turn of the loop at when_ms of its machine's clock, unless an earlier one is scheduled. */
void sim_arm(Loop *loop, int64_t when_ms);
/* Registers a listener at the address's port, or at a free one for port 0. bound receives the address. Returns 0. */
int sim_take_port(SimLoop *loop, const char *address, SimPort port, char *bound);

/* The operations of LoopOps, see loop/loop.h. */
Status sim_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status sim_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status sim_send(Channel *channel, Bytes frame);
void sim_shut(Channel *channel);
Status sim_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void sim_limit(Loop *loop, const HttpLimits *limits);
void sim_leave(Loop *loop);
void sim_serve_status(const Loop *loop, HttpServeStatus *status);
void sim_serve_close(Loop *loop);
size_t sim_serve_close_idle(Loop *loop);
Status sim_call(Loop *loop, HttpCall *call);
Status sim_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status sim_file_read(File *file, void *mem, Bytes *content);
Status sim_file_append(File *file, Bytes bytes);
Status sim_file_replace(File *file, Bytes bytes);
Status sim_hint_write(File *file, Bytes bytes);
Status sim_hint_read(File *file, void *mem, Bytes *content);
/* Applies the end of the machine's process to its disk. power: by a loss of power. */
void sim_disk_after_end(SimMachine *machine, bool power);

#endif
