/* The newest leader that this process knows: the one of the highest term that it has heard of. Terms are compared,
 * never times, so a late message of an earlier leader has no effect. */
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "state.h"
#include "loop/loop.h"
#include "member/members.h"

static const char *leader_name(const Members *members)
{
    const Member *row = members_find_id(members, members->leader_id);
    return row != NULL ? row->record.name : members->leader_id;
}

void members_set_leader(Members *members, uint64_t term, const char *id)
{
    if (term < members->leader_term || (term == members->leader_term && strcmp(id, members->leader_id) == 0))
        return;
    members->leader_term = term;
    talloc_free(members->leader_id);
    members->leader_id = talloc_strdup(members, id);
    if (strcmp(id, members->self.id) != 0) /* this process has logged its own election already */
        log_event(members->recorder, LOG_TERM_CHANGED, loop_now_ms(members->loop),
                  &(LogFields){.term = term_counter(term), .peer = leader_name(members)});
    signal_raise(members->loop, &members->leader_changed);
}

const char *members_leader_id(const Members *members)
{
    return members->leader_id;
}

uint64_t members_leader_term(const Members *members)
{
    return members->leader_term;
}

PeerIdentity members_leader_peer(const Members *members)
{
    const Member *row = members_find_id(members, members->leader_id);
    return row != NULL ? member_peer(&row->record) : (PeerIdentity){0};
}

const char *members_leader_address(const Members *members)
{
    const Member *member = members->leader_id[0] ? members_find_id(members, members->leader_id) : NULL;
    return member != NULL ? member->record.address : NULL;
}

Signal *members_leader_signal(Members *members)
{
    return &members->leader_changed;
}
