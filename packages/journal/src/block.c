/* The format of a journal: blocks of records, each with checksums. All numbers are big-endian. */
#include "block.h"

#include <talloc.h>

#include "journal/journal.h"

#define BLOCK_HEAD 16 /* size of a block's header, in bytes: magic, length, checksum of both, checksum of the body */
static const uint32_t MAGIC = 0x53504A31u; /* "SPJ1" */

static void put32(uint8_t *at, uint32_t value)
{
    for (int i = 0; i < 4; i++)
        at[i] = (uint8_t)(value >> (24 - 8 * i));
}

static uint32_t get32(const uint8_t *at)
{
    return (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 | (uint32_t)at[2] << 8 | at[3];
}

void block_add(void *mem, Bytes *to, Bytes body)
{
    uint8_t head[BLOCK_HEAD];
    put32(head, MAGIC);
    put32(head + 4, (uint32_t)body.count);
    put32(head + 8, bytes_crc(head, 8));
    put32(head + 12, bytes_crc(body.data, body.count));
    bytes_add(mem, to, head, sizeof(head));
    bytes_add(mem, to, body.data, body.count);
}

/* Whether a valid block starts at this byte. body (out): its records, within content. */
static bool block_at(Bytes content, size_t at, Bytes *body)
{
    if (content.count - at < BLOCK_HEAD)
        return false;
    const uint8_t *head = content.data + at;
    const uint32_t count = get32(head + 4);
    if (get32(head) != MAGIC || get32(head + 8) != bytes_crc(head, 8) || count > RECORD_MAX_BYTES ||
        count > content.count - at - BLOCK_HEAD)
        return false;
    *body = (Bytes){content.data + at + BLOCK_HEAD, count, 0};
    return get32(head + 12) == bytes_crc(body->data, body->count);
}

void record_add(void *mem, Bytes *body, const Record *record)
{
    void *scratch = talloc_new(mem);
    Bytes packed = {0};
    shape_pack(&Record_shape, record, scratch, &packed);
    uint8_t count[4];
    put32(count, (uint32_t)packed.count);
    bytes_add(mem, body, count, sizeof(count));
    bytes_add(mem, body, packed.data, packed.count);
    talloc_free(scratch);
}

/* Passes the records of a block that starts at byte at to on_record. */
static Status block_read(Bytes body, size_t at, JournalFn on_record, void *arg, Failure *failure)
{
    for (size_t k = 0; k < body.count;) {
        const uint32_t count = body.count - k >= 4 ? get32(body.data + k) : UINT32_MAX;
        if (count > body.count - k - 4)
            return failure_set(failure, STATUS_JOURNAL_CORRUPT, "record exceeds its block at byte %zu",
                               at + BLOCK_HEAD + k);
        void *mem = talloc_new(NULL);
        Record record;
        const Status status = shape_unpack(&Record_shape, (Bytes){body.data + k + 4, count, 0}, mem, &record, failure);
        if (status != STATUS_OK) {
            talloc_free(mem);
            return failure_set(failure, STATUS_JOURNAL_CORRUPT, "record does not parse at byte %zu",
                               at + BLOCK_HEAD + k);
        }
        if (on_record != NULL)
            on_record(arg, &record);
        talloc_free(mem);
        k += 4 + count;
    }
    return STATUS_OK;
}

Status journal_read(Bytes content, JournalFn on_record, void *arg, size_t *valid_bytes, Failure *failure)
{
    size_t at = 0;
    *valid_bytes = 0;
    while (at < content.count) {
        Bytes body;
        if (!block_at(content, at, &body)) {
            for (size_t later = at + 1; later < content.count; later++)
                if (content.data[later] == (uint8_t)(MAGIC >> 24) && block_at(content, later, &body))
                    return failure_set(failure, STATUS_JOURNAL_CORRUPT,
                                       "invalid block at byte %zu is followed by a valid block at byte %zu", at, later);
            return STATUS_OK; /* no valid block follows: this is a torn tail */
        }
        const Status status = block_read(body, at, on_record, arg, failure);
        if (status != STATUS_OK)
            return status;
        at += BLOCK_HEAD + body.count;
        *valid_bytes = at;
    }
    return STATUS_OK;
}
