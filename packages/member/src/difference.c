/* Selects the records that a hello carries. Every process knows all controllers: a digest of them shows two processes
 * that they differ, and then the answer contains all controllers. A controller knows all members: each table numbers
 * its changes, and a controller is sent those after its watermark, which is the last change that it received from that
 * table. A wrong watermark or digest costs records that are sent unnecessarily, or delays records until their members
 * are heard from directly. Members prove by direct contact that they are alive, so only ticks of controllers are passed
 * on. */
#include "difference.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "state.h"
#include "loop/loop.h"
#include "table.h"

/* Which records an answer contains. */
typedef enum AnswerKind {
    ANSWER_WHOLE,       /* all records, including those of quiet members */
    ANSWER_ALIVE,       /* all records of members that are not quiet */
    ANSWER_CONTROLLERS, /* records of controllers */
    ANSWER_NONE         /* only what changed after the requester's watermark */
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
            digest += row->hash; /* a sum does not depend on the order */
    }
    return digest != 0 ? digest : 1;
}

static void record_add(void *mem, const MemberRecord *record, Hello *hello)
{
    shape_copy(&MemberRecord_shape, record, mem, &hello->members[hello->members_count++]);
}

/* --- requests -------------------------------------------------------------------- */

/* Whether a controller may name the member to the receiver. Entry points need other entry points, to which they hand
 * over their repair buffers. */
static bool may_sample(const Members *members, const Member *row, const MemberRecord *receiver)
{
    return !is_controller(&row->record) && strcmp(row->record.id, receiver->id) != 0 &&
           (receiver->role != ROLE_ENTRY_POINT || row->record.role == ROLE_ENTRY_POINT) &&
           !member_quiet(row, loop_now_ms(members->loop));
}

/* Adds random members for the receiver's partial view. */
static void sample_add(Members *members, void *mem, const MemberRecord *receiver, Hello *hello)
{
    const MemberTable *table = members->table;
    hello->members = talloc_array(mem, MemberRecord, PARTIAL_VIEW_SAMPLE);
    const size_t first = loop_random(members->loop) % table->count;
    for (size_t i = 0; i < table->count && hello->members_count < PARTIAL_VIEW_SAMPLE; i++) {
        const Member *row = &table->rows[(first + i) % table->count];
        if (may_sample(members, row, receiver))
            record_add(mem, &row->record, hello);
    }
}

void difference_ask(Members *members, void *mem, const char *address, Hello *hello)
{
    const Member *receiver = table_find_address(members, address);
    if (receiver == NULL || members->self.role != ROLE_CONTROLLER)
        return;
    hello->have = receiver->watermark;
    hello->have_id = member_peer(&receiver->record).id;
    hello->have_incarnation = receiver->watermark_incarnation;
    if (!is_controller(&receiver->record))
        sample_add(members, mem, &receiver->record, hello);
}

/* --- answers --------------------------------------------------------------------- */

static AnswerKind answer_kind(const Members *members, const Hello *ask)
{
    if (ask->whole)
        return ANSWER_WHOLE;
    if (ask->digest == 0) /* from an earlier release */
        return ANSWER_ALIVE;
    const bool both_controllers = is_controller(&ask->self) && members->self.role == ROLE_CONTROLLER;
    return both_controllers || ask->digest != difference_digest(members) ? ANSWER_CONTROLLERS : ANSWER_NONE;
}

/* The last change of this table that the requester has received. UINT64_MAX if the requester does not follow the
 * changes. */
static uint64_t requester_watermark(const Members *members, const Hello *ask)
{
    if (!is_controller(&ask->self))
        return UINT64_MAX;
    const PeerIdentity self = member_peer(&members->self);
    const bool same_process = ask->have_id == self.id && ask->have_incarnation == self.incarnation;
    return same_process && ask->have <= members->sequence ? ask->have : 0;
}

/* Whether the record is of a process that the requester has replaced: the requester has to choose a higher
 * incarnation. */
static bool conflicts_with_requester(const MemberRecord *record, const MemberRecord *requester)
{
    const bool namesake =
        is_controller(record) && is_controller(requester) && strcmp(record->name, requester->name) == 0;
    return (namesake || strcmp(record->id, requester->id) == 0) && record->incarnation >= requester->incarnation &&
           (record->incarnation > requester->incarnation || strcmp(record->id, requester->id) != 0);
}

static bool belongs_in_answer(const Members *members, const Member *row, AnswerKind kind, uint64_t watermark)
{
    if (kind == ANSWER_WHOLE)
        return true;
    if (member_quiet(row, loop_now_ms(members->loop)))
        return false;
    return kind == ANSWER_ALIVE || row->changed_sequence > watermark ||
           (kind == ANSWER_CONTROLLERS && is_controller(&row->record));
}

void difference_answer(Members *members, void *mem, const Hello *ask, Hello *hello)
{
    const MemberTable *table = members->table;
    const AnswerKind kind = answer_kind(members, ask);
    const uint64_t watermark = requester_watermark(members, ask);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (conflicts_with_requester(&row->record, &ask->self) ||
            (!table_is_self(members, &row->record) && strcmp(row->record.id, ask->self.id) != 0 &&
             belongs_in_answer(members, row, kind, watermark)))
            record_add(mem, &row->record, hello);
    }
}

void difference_received(Members *members, const Hello *answer)
{
    if (members->self.role != ROLE_CONTROLLER || answer->digest == 0)
        return;
    for (size_t i = 0; i < members->table->count; i++) {
        Member *row = table_row(members, i);
        if (strcmp(row->record.id, answer->self.id) == 0) {
            row->watermark = answer->sequence;
            row->watermark_incarnation = answer->self.incarnation;
        }
    }
}
