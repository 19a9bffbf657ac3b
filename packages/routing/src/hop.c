/* Asking the next hop. */
#include "hop.h"

Status hop_ask(Rpc *rpc, void *mem, const LeaderHop *taken, RpcSending *sending, const ForwardAsk *ask, int64_t wait_ms,
               ForwardAnswer *answer)
{
    const RpcTarget target = {taken->address, taken->peer, sending};
    return rpc_ask_peer(rpc, mem, &target, MESSAGE_FORWARD, &ForwardAsk_shape, ask, wait_ms, &ForwardAnswer_shape,
                        answer);
}
