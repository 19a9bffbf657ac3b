#ifndef SIM_SRC_WORLD_H
#define SIM_SRC_WORLD_H

#include "loop/inside.h"
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
 * Invariants: bytes past syncedCount may be lost at the next loss of power, each write
 * by itself; writeEnds tells where those writes end, in order. */
typedef struct SimContent {
    Bytes bytes;
    size_t syncedCount;
    size_t writeEnds[DISK_WRITES_MOST], writeCount;
    Bytes inflight; /* being written: a kill leaves a random prefix of it */
} SimContent;

/* A name of the folder. Invariant: lasting differs from content only after a rename or a
 * removal that no sync of the folder followed; null: no such file. */
typedef struct SimName {
    SimContent *content, *lasting;
} SimName;

typedef struct SimPort {
    ChannelFn onChannel;
    HttpFn on_http;
    void *arg;
} SimPort;

typedef struct SimLoop {
    Loop loop; /* first */
    SimWorld *world;
    int machine;
    Map *ports;
    int nextPort;
    HttpLimits limits;
    size_t http_tasks; /* in work now */
    int64_t armedMs;   /* an event that runs this loop is due then; INT64_MAX: none */
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
    int64_t frozenUntilMs;
    int64_t bootOffsetMs;
    int64_t rate_percent, rateFromMs; /* of its clock, since that world time */
    int64_t wall_offset_ms;
    uint64_t sentBytes;
    int64_t bytesPerMs;             /* of its link; 0: unbounded */
    int64_t sendFreeUs, takeFreeUs; /* world time in us; when its link has carried what it was given */
    int64_t farMs;                  /* its frames take so much longer */
    int64_t sync_ms;
    bool diskFails, diskLies;
    size_t diskRoom; /* bytes of all its files together; 0: no bound */
    Map *disk;       /* path to SimName */
} SimMachine;

struct SimWorld {
    int64_t now_ms;
    uint64_t state; /* of the random numbers */
    uint64_t order;
    uint64_t eventCount;
    SimEvent *events;
    size_t count, room;
    SimMachine machines[SIM_NODES_MAX];
    int machineCount;
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX];
    bool refused[SIM_NODES_MAX][SIM_NODES_MAX]; /* ... and who sends or connects is told so */
    int64_t delayLowMs, delayHighMs;
    SimFn watch;
    void *watchArg;
    SimDiskFn diskWatch;
    void *diskWatchArg;
    unsigned frameDropped, frameRepeated; /* of a thousand */
    int64_t frameLateMs;
};

int64_t simLinkMs(SimWorld *world);
/* When bytes that leave now have come from one machine to another. */
int64_t simArrivalMs(SimWorld *world, int from, int to, size_t bytes);
/* The machine and port behind "10.0.0.N:port"; false when there is none. */
bool simFind(SimWorld *world, const char *address, int *machine, const char **port);
/* Runs the machine's loop when that is next due. */
void simArm(Loop *loop, int64_t when_ms);
int simTakePort(SimLoop *loop, const char *address, SimPort port, char *bound);

Status simListen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status simOpen(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status simSend(Channel *channel, Bytes frame);
void simShut(Channel *channel);
Status simServe(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void simLimit(Loop *loop, const HttpLimits *limits);
void simLeave(Loop *loop);
size_t simBusy(const Loop *loop);
Status simCall(Loop *loop, HttpCall *call);
Status simFileOpen(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status simFileRead(File *file, void *mem, Bytes *content);
Status simFileAppend(File *file, Bytes bytes);
Status simFileReplace(File *file, Bytes bytes);
/* What a process's end does to its disk. */
void simDiskAfterEnd(SimMachine *machine, bool power);

#endif
