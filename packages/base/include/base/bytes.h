#ifndef BASE_BYTES_H
#define BASE_BYTES_H

/* Runs of bytes, which messages, journal records and snapshots are packed into. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A run of bytes on talloc memory.
 * Invariant: count <= capacity, or the bytes are borrowed: then capacity is 0 and nothing may be
 * added. data is null while nothing was ever added. */
typedef struct Bytes {
    uint8_t *data;
    size_t count;
    size_t capacity;
} Bytes;

/* Makes the buffer hold so many bytes in all without growing. */
void bytes_reserve(void *mem, Bytes *bytes, size_t capacity);
/* Appends a copy. The buffer is made on mem by the first call and grows there. */
void bytes_add(void *mem, Bytes *bytes, const void *data, size_t count);
/* A copy on memory of its own, on mem. */
Bytes bytes_copy(void *mem, Bytes from);
bool bytes_equal(Bytes a, Bytes b);
/* CRC-32 (IEEE), the checksum of journal records. */
uint32_t bytes_crc(const void *data, size_t count);

#endif
