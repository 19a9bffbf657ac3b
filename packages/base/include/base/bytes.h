#ifndef BASE_BYTES_H
#define BASE_BYTES_H

/* Byte buffers, into which messages, journal records and snapshots are packed. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A byte buffer on talloc memory.
 * Invariant: count <= capacity, or the bytes are borrowed: capacity is 0 and nothing may be appended. data is null
 * until memory is first allocated. */
typedef struct Bytes {
    uint8_t *data;
    size_t count;
    size_t capacity;
} Bytes;

/* Allocates room for capacity bytes in total. */
void bytes_reserve(void *mem, Bytes *bytes, size_t capacity);
/* Appends a copy of the data. The first call allocates the buffer on mem, and it grows there. */
void bytes_add(void *mem, Bytes *bytes, const void *data, size_t count);
/* Returns a copy with a buffer of its own on mem. */
Bytes bytes_copy(void *mem, Bytes from);
bool bytes_equal(Bytes a, Bytes b);
/* CRC-32 (IEEE), the checksum of journal records. */
uint32_t bytes_crc(const void *data, size_t count);

#endif
