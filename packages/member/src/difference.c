/* What a hello carries. Every process has all controllers: their digest tells two processes that they differ, and then
 * the answer has them all. A controller has all members: each table counts its changes, and a controller is
 * sent those after its watermark, the last change that it has taken from that table. A watermark or digest that
 * is wrong costs records that were known already, or delays them until the members themselves are heard; members
 * prove by direct contact that they are alive, so no tick but those of controllers is passed on. */
#include "difference.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"
#include "loop/loop.h"
#include "table.h"

/* Which of the records an answer has. */
typedef enum AnswerKind {
    ANSWER_WHOLE,       /* all, also of quiet members */
    ANSWER_ALIVE,       /* all of members that are not quiet */
    ANSWER_CONTROLLERS, /* controllers */
    ANSWER_NONE
} AnswerKind;

static bool is_controller(const MemberRecord *record)
{
    return record->role == ROLE_CONTROLLER;
}

uint64_t difference_digest(const Members *members)
{
    uint64_t digest = 0;
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (is_controller(&row->record) && !member_quiet(row, loop_now_ms(members->loop)))
            digest += row->hash; /* a sum has no order */
    }
    return digest != 0 ? digest : 1;
}

static void record_add(void *mem, const MemberRecord *record, Hello *hello)
{
    shape_copy(&MemberRecord_shape, record, mem, &hello->members[hello->members_count++]);
}

/* --- requests -------------------------------------------------------------------- */

/* Whether a controller names the member to the receiver: entry points need other entry points, which take over what
 * they keep for repair. */
static bool sampled(const Members *members, const Member *row, const MemberRecord *receiver)
{
    return !is_controller(&row->record) && strcmp(row->record.id, receiver->id) != 0 &&
           (receiver->role != ROLE_ENTRY_POINT || row->record.role == ROLE_ENTRY_POINT) &&
           !member_quiet(row, loop_now_ms(members->loop));
}

/* Members drawn for the receiver's partial view. */
static void sample_add(Members *members, void *mem, const MemberRecord *receiver, Hello *hello)
{
    const MemberTable *table = members->table;
    hello->members = talloc_array(mem, MemberRecord, VIEW_SAMPLE);
    const size_t first = loop_random(members->loop) % table->count;
    for (size_t i = 0; i < table->count && hello->members_count < VIEW_SAMPLE; i++) {
        const Member *row = &table->rows[(first + i) % table->count];
        if (sampled(members, row, receiver))
            record_add(mem, &row->record, hello);
    }
}

void difference_ask(Members *members, void *mem, const char *address, Hello *hello)
{
    const Member *receiver = table_row_at(members, address);
    if (receiver == NULL || members->self.role != ROLE_CONTROLLER)
        return;
    hello->have = receiver->taken;
    hello->have_id = member_peer(&receiver->record).id;
    hello->have_incarnation = receiver->taken_incarnation;
    if (!is_controller(&receiver->record))
        sample_add(members, mem, &receiver->record, hello);
}

/* --- answers --------------------------------------------------------------------- */

static AnswerKind answer_kind(const Members *members, const Hello *ask)
{
    if (ask->whole)
        return ANSWER_WHOLE;
    if (ask->digest == 0) /* an earlier release */
        return ANSWER_ALIVE;
    const bool both = is_controller(&ask->self) && members->self.role == ROLE_CONTROLLER;
    return both || ask->digest != difference_digest(members) ? ANSWER_CONTROLLERS : ANSWER_NONE;
}

/* The last change of this table that the asker has taken; the largest number: it does not follow the changes. */
static uint64_t asker_watermark(const Members *members, const Hello *ask)
{
    if (!is_controller(&ask->self))
        return UINT64_MAX;
    const PeerIdentity self = member_peer(&members->self);
    const bool ours = ask->have_id == self.id && ask->have_incarnation == self.incarnation;
    return ours && ask->have <= members->sequence ? ask->have : 0;
}

/* Whether the record is of a process that the asker has replaced: it has to choose a higher incarnation. */
static bool claims_asker(const MemberRecord *record, const MemberRecord *asker)
{
    const bool namesake = is_controller(record) && is_controller(asker) && strcmp(record->name, asker->name) == 0;
    return (namesake || strcmp(record->id, asker->id) == 0) && record->incarnation >= asker->incarnation &&
           (record->incarnation > asker->incarnation || strcmp(record->id, asker->id) != 0);
}

static bool answered(const Members *members, const Member *row, AnswerKind kind, uint64_t watermark)
{
    if (kind == ANSWER_WHOLE)
        return true;
    if (member_quiet(row, loop_now_ms(members->loop)))
        return false;
    return kind == ANSWER_ALIVE || row->changed > watermark ||
           (kind == ANSWER_CONTROLLERS && is_controller(&row->record));
}

void difference_answer(Members *members, void *mem, const Hello *ask, Hello *hello)
{
    const MemberTable *table = members->table;
    const AnswerKind kind = answer_kind(members, ask);
    const uint64_t watermark = asker_watermark(members, ask);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (claims_asker(&row->record, &ask->self) ||
            (!table_is_self(members, &row->record) && strcmp(row->record.id, ask->self.id) != 0 &&
             answered(members, row, kind, watermark)))
            record_add(mem, &row->record, hello);
    }
}

void difference_taken(Members *members, const Hello *answer)
{
    if (members->self.role != ROLE_CONTROLLER || answer->digest == 0)
        return;
    for (size_t i = 0; i < members->table->count; i++) {
        Member *row = table_row(members, i);
        if (strcmp(row->record.id, answer->self.id) == 0) {
            row->taken = answer->sequence;
            row->taken_incarnation = answer->self.incarnation;
        }
    }
}
