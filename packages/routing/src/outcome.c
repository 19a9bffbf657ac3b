/* What the end of an attempt implies for the request. */
#include "outcome.h"

bool outcome_not_accepted(Status status)
{
    switch (status) {
    case STATUS_UNREACHABLE:
    case STATUS_FOREIGN_CLUSTER:
    case STATUS_NOT_LEADER:
    case STATUS_NO_LEADER:
    case STATUS_REPAIRING:
    case STATUS_LEAVING:
    case STATUS_TOO_LARGE:
    case STATUS_OTHER_PEER:
    case STATUS_OTHER_INCARNATION:
    case STATUS_OTHER_VERSION:
    case STATUS_UNKNOWN_REQUEST:
        return true;
    default:
        return false;
    }
}

bool outcome_leader_lost(const ForwardAnswer *answer, bool *maybe_accepted)
{
    if (answer->code == HTTP_OUTCOME_UNKNOWN && answer->status == STATUS_OUTCOME_UNKNOWN) {
        *maybe_accepted = true;
        return true;
    }
    return answer->code == HTTP_NOT_ACCEPTED &&
           (answer->status == STATUS_NOT_LEADER || answer->status == STATUS_LEAVING);
}

bool outcome_leader_serves(const ForwardAnswer *answer)
{
    return answer->code != HTTP_NOT_ACCEPTED ||
           (answer->status != STATUS_NOT_LEADER && answer->status != STATUS_REPAIRING &&
            answer->status != STATUS_LEAVING);
}
