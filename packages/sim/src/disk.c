/* Simulated disks: slow, failing, lying, torn. */
#include <string.h>
#include <talloc.h>

#include "world.h"

typedef struct SimFile {
    File file; /* first */
    SimMachine *machine;
    SimContent *content;
} SimFile;

static SimContent *contentOf(SimMachine *machine, const char *path)
{
    SimContent *content = mapGet(machine->disk, path);
    if (content == NULL) {
        content = talloc_zero(machine->disk, SimContent);
        content->path = talloc_strdup(content, path);
        mapSet(machine->disk, path, content);
    }
    return content;
}

Status simFileOpen(Loop *loop, void *mem, const char *path, File **file, Failure *failure)
{
    SimLoop *sim = (SimLoop *)loop;
    (void)failure;
    SimFile *sf = talloc_zero(mem, SimFile);
    sf->file.loop = loop;
    sf->machine = &sim->world->machines[sim->machine];
    sf->content = contentOf(sf->machine, path);
    *file = &sf->file;
    return STATUS_OK;
}

Status simFileRead(File *file, void *mem, Bytes *content)
{
    SimFile *sf = (SimFile *)file;
    loopSleep(file->loop, 1);
    *content = bytesCopy(mem, sf->content->durable);
    return STATUS_OK;
}

static void tell(const SimMachine *machine, const SimContent *content, Bytes bytes, bool whole)
{
    const SimWorld *world = machine->world;
    if (world->diskWatch != NULL)
        world->diskWatch(world->diskWatchArg, machine->number, content->path, bytes, whole);
}

static void syncWait(SimFile *sf)
{
    SimWorld *world = sf->machine->world;
    loopSleep(sf->file.loop, sf->machine->syncMs + (int64_t)(simRandom(world) % 3));
}

static void settle(SimFile *sf)
{
    if (!sf->machine->diskLies)
        sf->content->honestCount = sf->content->durable.count;
    sf->content->inflight = (Bytes){0};
}

Status simFileAppend(File *file, Bytes bytes)
{
    SimFile *sf = (SimFile *)file;
    SimContent *content = sf->content;
    content->inflight = bytes;
    syncWait(sf);
    if (sf->machine->diskFails) {
        content->inflight = (Bytes){0};
        return STATUS_DISK_FAILED;
    }
    bytesAdd(content, &content->durable, bytes.data, bytes.count);
    settle(sf);
    tell(sf->machine, content, bytes, false);
    return STATUS_OK;
}

Status simFileReplace(File *file, Bytes bytes)
{
    SimFile *sf = (SimFile *)file;
    SimContent *content = sf->content;
    syncWait(sf);
    if (sf->machine->diskFails)
        return STATUS_DISK_FAILED;
    content->durable.count = 0;
    bytesAdd(content, &content->durable, bytes.data, bytes.count);
    /* a rename is honest even on a disk that lies about appends */
    content->honestCount = content->durable.count;
    content->inflight = (Bytes){0};
    tell(sf->machine, content, content->durable, true);
    return STATUS_OK;
}

void simDiskAfterEnd(SimMachine *machine, bool power)
{
    const char **paths;
    void *mem = talloc_new(NULL);
    const size_t count = mapKeys(machine->disk, mem, &paths);
    for (size_t i = 0; i < count; i++) {
        SimContent *content = mapGet(machine->disk, paths[i]);
        const size_t before = content->durable.count;
        if (power && machine->diskLies && content->durable.count > content->honestCount)
            content->durable.count = content->honestCount;
        else if (content->inflight.count > 0)
            bytesAdd(content, &content->durable, content->inflight.data,
                     (size_t)(simRandom(machine->world) % (content->inflight.count + 1)));
        content->inflight = (Bytes){0};
        content->honestCount = content->durable.count;
        if (content->durable.count > before)
            tell(machine, content, (Bytes){content->durable.data + before, content->durable.count - before, 0}, false);
        else if (content->durable.count < before)
            tell(machine, content, content->durable, true);
    }
    talloc_free(mem);
}

void simDiskSlow(SimWorld *world, int machine, int64_t syncMs)
{
    world->machines[machine].syncMs = syncMs;
}

void simDiskFail(SimWorld *world, int machine, bool fails)
{
    world->machines[machine].diskFails = fails;
}

void simDiskLie(SimWorld *world, int machine, bool lies)
{
    world->machines[machine].diskLies = lies;
}

bool simDiskGood(const SimWorld *world, int machine, int64_t mostMs)
{
    return !world->machines[machine].diskFails && world->machines[machine].syncMs <= mostMs;
}

void simDiskWipe(SimWorld *world, int machine)
{
    SimMachine *one = &world->machines[machine];
    talloc_free(one->disk);
    one->disk = mapNew(world);
}

Bytes *simDiskContent(SimWorld *world, int machine, const char *path)
{
    return &contentOf(&world->machines[machine], path)->durable;
}
