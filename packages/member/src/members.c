/* The membership service of a process: its construction, its seeds, and its own record. */
#include "member/members.h"

#include <string.h>
#include <talloc.h>

#include "gossip.h"
#include "hello.h"
#include "state.h"
#include "table.h"
#include "vote.h"

Members *members_new(void *mem, Loop *loop, Rpc *rpc, Recorder *recorder, const MemberRecord *self,
                     const char *const seeds[SEEDS])
{
    Members *members = talloc_zero(mem, Members);
    members->loop = loop;
    members->rpc = rpc;
    members->recorder = recorder;
    shape_copy(&MemberRecord_shape, self, members, &members->self);
    rpc_set_self(rpc, member_peer(&members->self));
    members->leader_id = talloc_strdup(members, "");
    for (int i = 0; i < SEEDS; i++)
        members->seeds[i] = talloc_strdup(members, seeds[i]);
    members->controller_heard_ms = INT64_MIN;
    members->seek_since_ms = INT64_MAX;
    table_init(members);
    return members;
}

void members_start(Members *members)
{
    hello_serve(members);
    vote_serve(members);
    gossip_start(members);
}

void members_set_seeds(Members *members, const char *const seeds[SEEDS])
{
    for (int i = 0; i < SEEDS; i++) /* the old text is not freed: a request in progress may still use it */
        if (strcmp(members->seeds[i], seeds[i]) != 0)
            members->seeds[i] = talloc_strdup(members, seeds[i]);
}

const MemberRecord *members_self(const Members *members)
{
    return &members->self;
}

void members_set_empty(Members *members, bool empty)
{
    members->self.empty = empty;
}

void members_set_leaving(Members *members)
{
    members->self.leaving = true;
}

uint64_t members_refused_count(const Members *members)
{
    return members->refused;
}

PeerIdentity member_peer(const MemberRecord *record)
{
    return peer_identity(record->id, record->incarnation);
}
