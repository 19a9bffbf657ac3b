/* Files: each has a thread that reads, writes and syncs, so that a slow disk never blocks the loop. The thread accesses
 * no talloc memory except the bytes to write, which the waiting task owns. */
#include <errno.h>
#include <fcntl.h>
#include <libgen.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>
#include <unistd.h>

#include "real.h"

typedef enum DiskWork { DISK_READ, DISK_APPEND, DISK_REPLACE, DISK_HINT_WRITE, DISK_HINT_READ } DiskWork;

typedef struct RealFile RealFile;

/* One operation on a file, on the stack of the task that waits for it. */
typedef struct DiskJob {
    h2o_multithread_message_t super; /* first member, as h2o requires */
    RealFile *file;
    DiskWork work;
    Bytes bytes;   /* bytes to write */
    uint8_t *read; /* bytes read, allocated by malloc */
    size_t read_count;
    bool ok;
    bool done;
    Signal ended;
} DiskJob;

/* Invariant: job is non-null from its submission by a task until the thread has taken it. */
struct RealFile {
    File file; /* first member, so that a File can be cast to a RealFile */
    RealLoop *real;
    char path[PATH_MAX];
    char directory[PATH_MAX];
    int fd;
    pthread_mutex_t lock;
    pthread_cond_t submitted;
    DiskJob *job;
};

static bool write_all(int fd, Bytes bytes)
{
    for (size_t at = 0; at < bytes.count;) {
        const ssize_t n = write(fd, bytes.data + at, bytes.count - at);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        at += (size_t)n;
    }
    return true;
}

static bool directory_sync(const RealFile *real_file)
{
    const int fd = open(real_file->directory, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool ok = fd >= 0 && fsync(fd) == 0;
    if (fd >= 0)
        close(fd);
    return ok;
}

static bool file_read_all(RealFile *real_file, DiskJob *job)
{
    struct stat file_status;
    /* a previous process may have ended between a write and its sync */
    if (fdatasync(real_file->fd) != 0 || fstat(real_file->fd, &file_status) != 0)
        return false;
    const size_t size = (size_t)file_status.st_size;
    uint8_t *bytes = malloc(size + 1);
    size_t count = 0;
    while (bytes != NULL && count < size) {
        const ssize_t n = pread(real_file->fd, bytes + count, size - count, (off_t)count);
        if (n <= 0)
            break;
        count += (size_t)n;
    }
    if (count < size) {
        free(bytes);
        return false;
    }
    job->read = bytes;
    job->read_count = count;
    return bytes != NULL;
}

static bool file_replace_all(RealFile *real_file, Bytes bytes)
{
    char new_path[PATH_MAX + 8];
    snprintf(new_path, sizeof(new_path), "%s.new", real_file->path);
    const int fd = open(new_path, O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0640);
    if (fd < 0)
        return false;
    if (!write_all(fd, bytes) || fsync(fd) != 0 || rename(new_path, real_file->path) != 0 ||
        !directory_sync(real_file)) {
        close(fd);
        return false;
    }
    close(real_file->fd);
    real_file->fd = fd;
    return true;
}

/* Opens the hint beside the file; returns -1 on failure. */
static int hint_open(const RealFile *real_file, int flags)
{
    char path[PATH_MAX + 8];
    snprintf(path, sizeof(path), "%s.hint", real_file->path);
    return open(path, flags | O_CLOEXEC, 0640);
}

static bool hint_replace(const RealFile *real_file, Bytes bytes)
{
    const int fd = hint_open(real_file, O_WRONLY | O_CREAT | O_TRUNC);
    if (fd < 0)
        return false;
    const bool ok = write_all(fd, bytes);
    close(fd);
    return ok;
}

static bool hint_read_all(const RealFile *real_file, DiskJob *job)
{
    const int fd = hint_open(real_file, O_RDONLY);
    if (fd < 0)
        return errno == ENOENT;
    uint8_t *bytes = malloc(FILE_HINT_MAX_BYTES);
    const ssize_t count = bytes != NULL ? read(fd, bytes, FILE_HINT_MAX_BYTES) : -1;
    close(fd);
    job->read = bytes;
    job->read_count = count > 0 ? (size_t)count : 0;
    return count >= 0;
}

/* The task that submitted a job frees the bytes read, which the analyzer does not see. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wanalyzer-malloc-leak"
/* The thread of a file. */
static void *disk_main(void *arg)
{
    RealFile *real_file = arg;
    for (;;) {
        pthread_mutex_lock(&real_file->lock);
        while (real_file->job == NULL)
            pthread_cond_wait(&real_file->submitted, &real_file->lock);
        DiskJob *job = real_file->job;
        real_file->job = NULL;
        pthread_mutex_unlock(&real_file->lock);
        switch (job->work) {
        case DISK_READ:
            job->ok = file_read_all(real_file, job);
            break;
        case DISK_APPEND:
            job->ok = write_all(real_file->fd, job->bytes) && fdatasync(real_file->fd) == 0;
            break;
        case DISK_REPLACE:
            job->ok = file_replace_all(real_file, job->bytes);
            break;
        case DISK_HINT_WRITE:
            job->ok = hint_replace(real_file, job->bytes);
            break;
        case DISK_HINT_READ:
            job->ok = hint_read_all(real_file, job);
            break;
        }
        h2o_multithread_send_message(&real_file->real->disk_done, &job->super);
    }
    return NULL;
}
#pragma GCC diagnostic pop

void real_disk_done(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
    (void)receiver;
    while (!h2o_linklist_is_empty(messages)) {
        DiskJob *job = H2O_STRUCT_FROM_MEMBER(DiskJob, super.link, messages->next);
        h2o_linklist_unlink(&job->super.link);
        job->done = true;
        signal_raise(&job->file->real->loop, &job->ended);
    }
}

/* Submits a job to the file's thread. Suspends the coroutine until the job is done. */
static Status job_run(File *file, DiskWork work, Bytes bytes, DiskJob *job)
{
    RealFile *real_file = (RealFile *)file;
    *job = (DiskJob){.file = real_file, .work = work, .bytes = bytes};
    pthread_mutex_lock(&real_file->lock);
    real_file->job = job;
    pthread_cond_signal(&real_file->submitted);
    pthread_mutex_unlock(&real_file->lock);
    while (!job->done)
        signal_wait(file->loop, &job->ended, INT64_MAX);
    return job->ok ? STATUS_OK : STATUS_DISK_FAILED;
}

Status real_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure)
{
    RealFile *real_file = talloc_zero(mem, RealFile);
    real_file->file.loop = loop;
    real_file->real = (RealLoop *)loop;
    snprintf(real_file->path, sizeof(real_file->path), "%s", path);
    char scratch[PATH_MAX];
    snprintf(scratch, sizeof(scratch), "%s", path);
    snprintf(real_file->directory, sizeof(real_file->directory), "%s", dirname(scratch));
    if (mkdir(real_file->directory, 0750) != 0 && errno != EEXIST)
        return failure_set(failure, STATUS_DISK_FAILED, "cannot create directory %s: %s", real_file->directory,
                           strerror(errno));
    real_file->fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (real_file->fd < 0)
        return failure_set(failure, STATUS_DISK_FAILED, "cannot open %s: %s", path, strerror(errno));
    if (!directory_sync(real_file))
        return failure_set(failure, STATUS_DISK_FAILED, "cannot sync directory %s: %s", real_file->directory,
                           strerror(errno));
    pthread_mutex_init(&real_file->lock, NULL);
    pthread_cond_init(&real_file->submitted, NULL);
    pthread_t thread;
    if (pthread_create(&thread, NULL, disk_main, real_file) != 0)
        return failure_set(failure, STATUS_DISK_FAILED, "cannot start the disk thread");
    pthread_detach(thread);
    *file = &real_file->file;
    return STATUS_OK;
}

/* Suspends the coroutine. Has the thread read the file or the hint, and copies the bytes read onto mem. */
static Status read_onto(File *file, DiskWork work, void *mem, Bytes *content)
{
    DiskJob job;
    const Status status = job_run(file, work, (Bytes){0}, &job);
    *content = (Bytes){0};
    if (status == STATUS_OK)
        bytes_add(mem, content, job.read, job.read_count);
    free(job.read);
    return status;
}

Status real_file_read(File *file, void *mem, Bytes *content)
{
    return read_onto(file, DISK_READ, mem, content);
}

Status real_hint_read(File *file, void *mem, Bytes *content)
{
    return read_onto(file, DISK_HINT_READ, mem, content);
}

Status real_hint_write(File *file, Bytes bytes)
{
    DiskJob job;
    return job_run(file, DISK_HINT_WRITE, bytes, &job);
}

Status real_file_append(File *file, Bytes bytes)
{
    DiskJob job;
    return job_run(file, DISK_APPEND, bytes, &job);
}

Status real_file_replace(File *file, Bytes bytes)
{
    DiskJob job;
    return job_run(file, DISK_REPLACE, bytes, &job);
}
