/* Growing buffers, and the checksum of journal records. */
#include "base/bytes.h"

#include <string.h>
#include <talloc.h>

#define CAPACITY_INITIAL_BYTES 64 /* Capacity of a new buffer */

/* Makes room for count more bytes. */
static void grow(void *mem, Bytes *bytes, size_t count)
{
    size_t capacity = bytes->capacity < CAPACITY_INITIAL_BYTES ? CAPACITY_INITIAL_BYTES : bytes->capacity * 2;
    while (capacity < bytes->count + count)
        capacity *= 2;
    bytes_reserve(mem, bytes, capacity);
}

void bytes_reserve(void *mem, Bytes *bytes, size_t capacity)
{
    if (capacity <= bytes->capacity)
        return;
    bytes->data = talloc_realloc(mem, bytes->data, uint8_t, (unsigned)capacity);
    bytes->capacity = capacity;
}

void bytes_add(void *mem, Bytes *bytes, const void *data, size_t count)
{
    if (count == 0)
        return;
    if (bytes->count + count > bytes->capacity)
        grow(mem, bytes, count);
    memcpy(bytes->data + bytes->count, data, count);
    bytes->count += count;
}

Bytes bytes_copy(void *mem, Bytes from)
{
    Bytes to = {0};
    bytes_reserve(mem, &to, from.count);
    bytes_add(mem, &to, from.data, from.count);
    return to;
}

bool bytes_equal(Bytes a, Bytes b)
{
    return a.count == b.count && (a.count == 0 || memcmp(a.data, b.data, a.count) == 0);
}

uint32_t bytes_crc(const void *data, size_t count)
{
    /* A table by nibble is small enough to be const, and fast enough compared with an fdatasync. */
    static const uint32_t TABLE[16] = {0x00000000, 0x1db71064, 0x3b6e20c8, 0x26d930ac, 0x76dc4190, 0x6b6b51f4,
                                       0x4db26158, 0x5005713c, 0xedb88320, 0xf00f9344, 0xd6d6a3e8, 0xcb61b38c,
                                       0x9b64c2b0, 0x86d3d2d4, 0xa00ae278, 0xbdbdf21c};
    const uint8_t *at = data;
    uint32_t crc = ~0u;
    for (size_t i = 0; i < count; i++) {
        crc ^= at[i];
        crc = TABLE[crc & 15] ^ (crc >> 4);
        crc = TABLE[crc & 15] ^ (crc >> 4);
    }
    return ~crc;
}
