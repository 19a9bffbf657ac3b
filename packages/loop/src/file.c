/* Files: passes calls of node code to the implementation of the loop. */
#include "loop/internal.h"

Status file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure)
{
    return loop->ops->file_open(loop, mem, path, file, failure);
}

Status file_read(File *file, void *mem, Bytes *content)
{
    return file->loop->ops->file_read(file, mem, content);
}

Status file_append(File *file, Bytes bytes)
{
    return file->loop->ops->file_append(file, bytes);
}

Status file_replace(File *file, Bytes bytes)
{
    return file->loop->ops->file_replace(file, bytes);
}

Status file_hint_write(File *file, Bytes bytes)
{
    return bytes.count <= FILE_HINT_MAX_BYTES ? file->loop->ops->hint_write(file, bytes) : STATUS_DISK_FAILED;
}

Status file_hint_read(File *file, void *mem, Bytes *content)
{
    return file->loop->ops->hint_read(file, mem, content);
}
