/// Conversion of the messages on quotas to and from protobuf.
#pragma once

#include "fleet/messages.h"
#include "wire/generated/fleet.pb.h"

namespace bulrush::wire {

void toProto(const fleet::quota_reports &From, QuotaReports &To);
fleet::quota_reports fromProto(const QuotaReports &From);

void toProto(const fleet::quota_grants &From, QuotaGrants &To);
fleet::quota_grants fromProto(const QuotaGrants &From);

} // namespace bulrush::wire
