/* Simulated disks: slow, full, failing, lying, torn. What a process has written is seen
 * by the next one at once; a loss of power takes what no sync has covered: of a file,
 * each write made since by itself; of a folder, each rename and removal by itself. */
#include <string.h>
#include <talloc.h>

#include "world.h"

typedef struct SimFile {
    File file; /* first */
    SimMachine *machine;
    char *path;
} SimFile;

static SimName *name_of(SimMachine *machine, const char *path)
{
    SimName *name = map_get(machine->disk, path);
    if (name == NULL) {
        name = talloc_zero(machine->disk, SimName);
        map_set(machine->disk, path, name);
    }
    return name;
}

static SimContent *content_of(SimMachine *machine, const char *path)
{
    SimName *name = name_of(machine, path);
    if (name->content == NULL) /* a new file lasts once it has been synced itself: empty, it loses nothing */
        name->lasting = name->content = talloc_zero(machine->disk, SimContent);
    return name->content;
}

static void written(SimContent *content, Bytes bytes)
{
    if (bytes.count == 0)
        return;
    bytes_add(content, &content->bytes, bytes.data, bytes.count);
    if (content->write_count == DISK_WRITES_MOST) /* the last ones count as one */
        content->write_count--;
    content->write_ends[content->write_count++] = content->bytes.count;
}

/* What of a file has been synced: bytes at its end, or all of it. */
static void notify(const SimMachine *machine, const char *path, Bytes bytes, bool whole)
{
    const SimWorld *world = machine->world;
    if (world->disk_watch != NULL && bytes.count + whole > 0)
        world->disk_watch(world->disk_watch_arg, machine->number, path, bytes, whole);
}

static void synced(SimMachine *machine, SimContent *content)
{
    if (machine->disk_lies)
        return;
    content->synced_count = content->bytes.count;
    content->write_count = 0;
}

static size_t used_of(const SimMachine *machine)
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

/* Whether the disk takes the bytes. */
static bool takes(const SimMachine *machine, size_t count)
{
    return !machine->disk_fails && (machine->disk_capacity == 0 || used_of(machine) + count <= machine->disk_capacity);
}

/* How much of a write that was broken off is there: all, nothing, or a beginning. */
static size_t part_of(SimMachine *machine, size_t count)
{
    const uint64_t fate = sim_random(machine->world) % 3;
    if (fate == 2)
        return (size_t)(sim_random(machine->world) % (count + 1));
    return fate == 1 ? count : 0;
}

static Bytes begun(SimMachine *machine, Bytes bytes)
{
    return (Bytes){bytes.data, part_of(machine, bytes.count), 0};
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
    /* the folder is synced at each opening */
    SimName *name = name_of(sim_file->machine, path);
    name->lasting = name->content;
    *file = &sim_file->file;
    return STATUS_OK;
}

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
    synced(sim_file->machine, from);
    notify(sim_file->machine, sim_file->path, from->bytes, true);
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
    if (!takes(machine, bytes.count)) {
        written(content, begun(machine, bytes)); /* what a refused write has done nobody knows */
        return STATUS_DISK_FAILED;
    }
    written(content, bytes);
    synced(machine, content);
    notify(machine, sim_file->path, bytes, false);
    return STATUS_OK;
}

/* New file, its sync, rename, sync of the folder; a process or its power may end between
 * any two of them. */
Status sim_file_replace(File *file, Bytes bytes)
{
    SimFile *sim_file = (SimFile *)file;
    SimMachine *machine = sim_file->machine;
    const int64_t whole_ms = sync_ms(sim_file);
    SimName *fresh = name_of(machine, talloc_asprintf(sim_file, "%s.new", sim_file->path));
    SimContent *content = talloc_zero(machine->disk, SimContent);
    fresh->content = fresh->lasting = content;
    content->inflight = bytes;
    loop_sleep(file->loop, whole_ms / 2);
    content->inflight = (Bytes){0};
    if (!takes(machine, bytes.count)) {
        written(content, begun(machine, bytes));
        return STATUS_DISK_FAILED;
    }
    written(content, bytes);
    content->synced_count = content->bytes.count; /* honest also on a disk that lies about appends */
    content->write_count = 0;
    SimName *name = name_of(machine, sim_file->path);
    name->content = content;
    fresh->content = NULL;
    loop_sleep(file->loop, whole_ms - whole_ms / 2);
    if (machine->disk_fails)
        return STATUS_DISK_FAILED; /* the folder was not synced: the rename may be lost */
    name->lasting = name->content;
    fresh->lasting = fresh->content;
    notify(machine, sim_file->path, content->bytes, true);
    return STATUS_OK;
}

/* --- hints ------------------------------------------------------------------------- */

static const char *hint_path(void *mem, const SimFile *sim_file)
{
    return talloc_asprintf(mem, "%s.hint", sim_file->path);
}

/* It takes no time, and outlasts all but a wiped disk: the journal's tests leave old, torn and foreign ones. */
Status sim_hint_write(File *file, Bytes bytes)
{
    SimFile *sim_file = (SimFile *)file;
    if (!takes(sim_file->machine, bytes.count))
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

/* Each write that no sync has covered is there, missing or torn; what is missing before
 * what is there reads as zeroes. Some losses of power remove all of them. */
static void power_lost(SimMachine *machine, SimContent *content)
{
    size_t kept = content->synced_count, from = kept;
    const bool all = machine->disk_lies || sim_random(machine->world) % 3 == 0;
    for (size_t i = 0; i < content->write_count && !all; i++) {
        const size_t end = content->write_ends[i];
        const size_t there = part_of(machine, end - from);
        memset(content->bytes.data + from + there, 0, end - from - there);
        if (there > 0)
            kept = from + there;
        from = end;
    }
    content->bytes.count = content->synced_count = kept;
    content->write_count = 0;
}

static void content_ends(SimMachine *machine, SimContent *content, bool power)
{
    if (content == NULL)
        return;
    const Bytes inflight = content->inflight;
    content->inflight = (Bytes){0};
    if (inflight.count > 0)
        written(content, begun(machine, inflight));
    if (power && content->write_count > 0)
        power_lost(machine, content);
}

void sim_disk_after_end(SimMachine *machine, bool power)
{
    const char **paths;
    void *mem = talloc_new(NULL);
    const size_t count = map_keys(machine->disk, mem, &paths);
    for (size_t i = 0; i < count; i++) {
        SimName *name = map_get(machine->disk, paths[i]);
        content_ends(machine, name->content, power);
        if (power && name->content != name->lasting) {
            if (sim_random(machine->world) % 2 == 0) /* the rename or removal is lost */
                name->content = name->lasting;
            name->lasting = name->content;
        }
    }
    talloc_free(mem);
}

/* --- troubles -------------------------------------------------------------------------- */

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
    return used_of(&world->machines[machine]);
}

void sim_disk_lie(SimWorld *world, int machine, bool lies)
{
    world->machines[machine].disk_lies = lies;
}

bool sim_disk_good(const SimWorld *world, int machine, int64_t most_ms)
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
    /* whatever a test leaves there is what stands */
    content->synced_count = content->bytes.count;
    content->write_count = 0;
    return &content->bytes;
}
