#ifndef CORE_CORE_H
#define CORE_CORE_H

#include "props/props.h"
#include "table/table.h"

/* A core: a disk, perhaps a voter, perhaps the lead. */
typedef struct Core Core;

/* What a watcher of proofs is told; null in production. */
typedef struct CoreWatch {
    void *arg;
    /* It decides something as leader, under this term, now. */
    void (*plans)(void *arg, const char *name, uint64_t term);
} CoreWatch;

/* Waits. Opens the disk and the addresses and starts all tasks. */
Status core_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, const CoreWatch *watch,
                  Core **core, Failure *failure);
/* Waits. A request as if it had come to the own HTTP address: whoever translates
 * for callers of another kind hands it in here. */
void core_take(Core *core, HttpTask *task);
/* Whether callers should come here: it leads and serves, or reaches a leader that
 * does, or did so a moment ago; false once it leaves. */
bool core_ready(const Core *core);
/* Waits. Not ready at once, the lock handed over, then ended. */
void core_drain(Core *core);
/* Other seeds from now on. */
void core_seeds(Core *core, const char *const seeds[SEEDS]);
Replication *core_view(Core *core);
const Table *core_table(const Core *core);
const char *core_http_address(const Core *core);
const char *core_address(const Core *core);

#endif
