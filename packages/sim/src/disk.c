/* Simulated disks, which may be slow, full or failing, acknowledge syncs falsely, or leave torn writes. A new process
 * sees everything that the former one wrote. A loss of power may lose what no sync has covered: of a file, each write
 * since the last sync independently of the others; of a directory, each rename and removal likewise. */
#include <string.h>
#include <talloc.h>

#include "world.h"

/* A file that a process has opened. */
typedef struct SimFile {
    File file; /* must be first */
    SimMachine *machine;
    char *path;
} SimFile;

/* The name at that path, added if the directory lacks it. */
static SimName *name_of(SimMachine *machine, const char *path)
{
    SimName *name = map_get(machine->disk, path);
    if (name == NULL) {
        name = talloc_zero(machine->disk, SimName);
        map_set(machine->disk, path, name);
    }
    return name;
}

/* The content of the file at that path, created if there is none. */
static SimContent *content_of(SimMachine *machine, const char *path)
{
    SimName *name = name_of(machine, path);
    /* A new file's name is durable immediately: a file that has not been synced is empty after a loss of power. */
    if (name->content == NULL)
        name->durable = name->content = talloc_zero(machine->disk, SimContent);
    return name->content;
}

/* Appends a write to the content, not synced yet. */
static void content_append(SimContent *content, Bytes bytes)
{
    if (bytes.count == 0)
        return;
    bytes_add(content, &content->bytes, bytes.data, bytes.count);
    if (content->write_count == DISK_WRITES_MOST) /* the last two writes are merged into one */
        content->write_count--;
    content->write_ends[content->write_count++] = content->bytes.count;
}

/* Calls the watcher after a sync of a file. bytes: what was added at its end; whole: the complete content instead. */
static void notify_watcher(const SimMachine *machine, const char *path, Bytes bytes, bool whole)
{
    const SimWorld *world = machine->world;
    if (world->disk_watch != NULL && bytes.count + whole > 0)
        world->disk_watch(world->disk_watch_arg, machine->number, path, bytes, whole);
}

/* Marks the content as synced, unless the disk acknowledges syncs falsely. */
static void content_sync(SimMachine *machine, SimContent *content)
{
    if (machine->disk_lies)
        return;
    content->synced_count = content->bytes.count;
    content->write_count = 0;
}

/* Bytes of all files of the machine. */
static size_t disk_used(const SimMachine *machine)
{
    const char **paths;
    void *mem = talloc_new(NULL);
    const size_t count = map_keys(machine->disk, mem, &paths);
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        const SimName *name = map_get(machine->disk, paths[i]);
        used += name->content != NULL ? name->content->bytes.count : 0;
    }
    talloc_free(mem);
    return used;
}

/* Whether the disk works and has capacity for count more bytes. */
static bool disk_accepts(const SimMachine *machine, size_t count)
{
    return !machine->disk_fails &&
           (machine->disk_capacity == 0 || disk_used(machine) + count <= machine->disk_capacity);
}

/* How many bytes of an interrupted write of count bytes are stored: all, none, or a random prefix. */
static size_t stored_count(SimMachine *machine, size_t count)
{
    const uint64_t fate = sim_random(machine->world) % 3;
    if (fate == 2)
        return (size_t)(sim_random(machine->world) % (count + 1));
    return fate == 1 ? count : 0;
}

/* The prefix of an interrupted write that is stored. */
static Bytes stored_prefix(SimMachine *machine, Bytes bytes)
{
    return (Bytes){bytes.data, stored_count(machine, bytes.count), 0};
}

Status sim_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure)
{
    SimLoop *sim = (SimLoop *)loop;
    (void)failure;
    SimFile *sim_file = talloc_zero(mem, SimFile);
    sim_file->file.loop = loop;
    sim_file->machine = &sim->world->machines[sim->machine];
    sim_file->path = talloc_strdup(sim_file, path);
    content_of(sim_file->machine, path);
    /* opening a file syncs its directory */
    SimName *name = name_of(sim_file->machine, path);
    name->durable = name->content;
    *file = &sim_file->file;
    return STATUS_OK;
}

/* The duration of one sync, drawn at random. */
static int64_t sync_ms(const SimFile *sim_file)
{
    return sim_file->machine->sync_ms + (int64_t)(sim_random(sim_file->machine->world) % 3);
}

Status sim_file_read(File *file, void *mem, Bytes *content)
{
    SimFile *sim_file = (SimFile *)file;
    SimContent *from = content_of(sim_file->machine, sim_file->path);
    loop_sleep(file->loop, 1);
    if (from->write_count > 0)
        loop_sleep(file->loop, sync_ms(sim_file));
    if (sim_file->machine->disk_fails)
        return STATUS_DISK_FAILED;
    content_sync(sim_file->machine, from);
    notify_watcher(sim_file->machine, sim_file->path, from->bytes, true);
    *content = bytes_copy(mem, from->bytes);
    return STATUS_OK;
}

Status sim_file_append(File *file, Bytes bytes)
{
    SimFile *sim_file = (SimFile *)file;
    SimMachine *machine = sim_file->machine;
    SimContent *content = content_of(machine, sim_file->path);
    content->inflight = bytes;
    loop_sleep(file->loop, sync_ms(sim_file));
    content->inflight = (Bytes){0};
    if (!disk_accepts(machine, bytes.count)) {
        content_append(content, stored_prefix(machine, bytes)); /* a failed write may have stored any prefix */
        return STATUS_DISK_FAILED;
    }
    content_append(content, bytes);
    content_sync(machine, content);
    notify_watcher(machine, sim_file->path, bytes, false);
    return STATUS_OK;
}

/* Writes a new file, syncs it, renames it, and syncs the directory. The process may end, or the power be lost, between
 * any two of these steps. */
Status sim_file_replace(File *file, Bytes bytes)
{
    SimFile *sim_file = (SimFile *)file;
    SimMachine *machine = sim_file->machine;
    const int64_t duration_ms = sync_ms(sim_file);
    SimName *new_name = name_of(machine, talloc_asprintf(sim_file, "%s.new", sim_file->path));
    SimContent *content = talloc_zero(machine->disk, SimContent);
    new_name->content = new_name->durable = content;
    content->inflight = bytes;
    loop_sleep(file->loop, duration_ms / 2);
    content->inflight = (Bytes){0};
    if (!disk_accepts(machine, bytes.count)) {
        content_append(content, stored_prefix(machine, bytes));
        return STATUS_DISK_FAILED;
    }
    content_append(content, bytes);
    content->synced_count = content->bytes.count; /* synced also on a disk that acknowledges syncs of appends falsely */
    content->write_count = 0;
    SimName *name = name_of(machine, sim_file->path);
    name->content = content;
    new_name->content = NULL;
    loop_sleep(file->loop, duration_ms - duration_ms / 2);
    if (machine->disk_fails)
        return STATUS_DISK_FAILED; /* the directory was not synced, so the rename may be lost */
    name->durable = name->content;
    new_name->durable = new_name->content;
    notify_watcher(machine, sim_file->path, content->bytes, true);
    return STATUS_OK;
}

/* --- hints ------------------------------------------------------------------------- */

static const char *hint_path(void *mem, const SimFile *sim_file)
{
    return talloc_asprintf(mem, "%s.hint", sim_file->path);
}

/* Writing a hint takes no time, and the hint is lost only when the disk is wiped. Old, torn and foreign hints are set
 * up by the tests of the journal. */
Status sim_hint_write(File *file, Bytes bytes)
{
    SimFile *sim_file = (SimFile *)file;
    if (!disk_accepts(sim_file->machine, bytes.count))
        return STATUS_DISK_FAILED;
    void *mem = talloc_new(NULL);
    SimContent *content = content_of(sim_file->machine, hint_path(mem, sim_file));
    content->bytes.count = 0;
    bytes_add(content, &content->bytes, bytes.data, bytes.count);
    content->synced_count = content->bytes.count;
    talloc_free(mem);
    return STATUS_OK;
}

Status sim_hint_read(File *file, void *mem, Bytes *content)
{
    const SimFile *sim_file = (const SimFile *)file;
    void *scratch = talloc_new(NULL);
    const SimName *name = map_get(sim_file->machine->disk, hint_path(scratch, sim_file));
    *content = name != NULL && name->content != NULL ? bytes_copy(mem, name->content->bytes) : (Bytes){0};
    talloc_free(scratch);
    return sim_file->machine->disk_fails ? STATUS_DISK_FAILED : STATUS_OK;
}

/* --- the end of a process -------------------------------------------------------- */

/* Each unsynced write of the file is stored, lost or torn, at random; a gap before stored bytes reads as zeroes. With
 * probability 1/3, and always on a disk that acknowledges syncs falsely, the file loses all unsynced writes. */
static void content_lose_power(SimMachine *machine, SimContent *content)
{
    size_t kept = content->synced_count, from = kept;
    const bool all = machine->disk_lies || sim_random(machine->world) % 3 == 0;
    for (size_t i = 0; i < content->write_count && !all; i++) {
        const size_t end = content->write_ends[i];
        const size_t there = stored_count(machine, end - from);
        memset(content->bytes.data + from + there, 0, end - from - there);
        if (there > 0)
            kept = from + there;
        from = end;
    }
    content->bytes.count = content->synced_count = kept;
    content->write_count = 0;
}

/* Applies the end of the process to a file: a random prefix of the write in progress is stored, and a loss of power may
 * remove unsynced writes. */
static void content_end(SimMachine *machine, SimContent *content, bool power)
{
    if (content == NULL)
        return;
    const Bytes inflight = content->inflight;
    content->inflight = (Bytes){0};
    if (inflight.count > 0)
        content_append(content, stored_prefix(machine, inflight));
    if (power && content->write_count > 0)
        content_lose_power(machine, content);
}

void sim_disk_after_end(SimMachine *machine, bool power)
{
    const char **paths;
    void *mem = talloc_new(NULL);
    const size_t count = map_keys(machine->disk, mem, &paths);
    for (size_t i = 0; i < count; i++) {
        SimName *name = map_get(machine->disk, paths[i]);
        content_end(machine, name->content, power);
        if (power && name->content != name->durable) {
            if (sim_random(machine->world) % 2 == 0) /* the rename or the removal is lost */
                name->content = name->durable;
            name->durable = name->content;
        }
    }
    talloc_free(mem);
}

/* --- faults ---------------------------------------------------------------------------- */

void sim_disk_slow(SimWorld *world, int machine, int64_t sync_takes_ms)
{
    world->machines[machine].sync_ms = sync_takes_ms;
}

void sim_disk_fail(SimWorld *world, int machine, bool fails)
{
    world->machines[machine].disk_fails = fails;
}

void sim_disk_capacity(SimWorld *world, int machine, size_t bytes)
{
    world->machines[machine].disk_capacity = bytes;
}

size_t sim_disk_used(const SimWorld *world, int machine)
{
    return disk_used(&world->machines[machine]);
}

void sim_disk_false_syncs(SimWorld *world, int machine, bool lies)
{
    world->machines[machine].disk_lies = lies;
}

bool sim_disk_healthy(const SimWorld *world, int machine, int64_t most_ms)
{
    return !world->machines[machine].disk_fails && world->machines[machine].sync_ms <= most_ms;
}

void sim_disk_wipe(SimWorld *world, int machine)
{
    SimMachine *one = &world->machines[machine];
    talloc_free(one->disk);
    one->disk = map_new(world);
}

Bytes *sim_disk_content(SimWorld *world, int machine, const char *path)
{
    SimContent *content = content_of(&world->machines[machine], path);
    /* what the caller writes to the content counts as synced */
    content->synced_count = content->bytes.count;
    content->write_count = 0;
    return &content->bytes;
}
