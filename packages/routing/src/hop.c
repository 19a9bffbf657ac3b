/* Sends a forwarded request to a next hop. */
#include "hop.h"

Status hop_request(Rpc *rpc, void *mem, const LeaderHop *hop, RpcSendState *sending, const ForwardAsk *ask,
                   int64_t wait_ms, ForwardAnswer *answer)
{
    const RpcTarget target = {hop->address, hop->peer, sending};
    return rpc_call_peer(rpc, mem, &target, MESSAGE_FORWARD, &ForwardAsk_shape, ask, wait_ms, &ForwardAnswer_shape,
                         answer);
}
